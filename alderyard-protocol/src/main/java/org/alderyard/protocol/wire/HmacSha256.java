package org.alderyard.protocol.wire;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/**
 * HMAC with SHA-256 (RFC 2104).
 *
 * <p>Replaces {@code javax.crypto.Mac}, whose first use loads all cryptographic providers and would
 * delay the first handshake of a host.
 */
final class HmacSha256 {
  private static final String DIGEST = "SHA-256";
  private static final int BLOCK_BYTES = 64;
  private static final byte INNER_PAD = 0x36;
  private static final byte OUTER_PAD = 0x5c;

  private HmacSha256() {}

  /** Returns the code of the concatenated parts. */
  static byte[] compute(byte[] key, byte[]... parts) {
    byte[] block =
        Arrays.copyOf(key.length > BLOCK_BYTES ? digest().digest(key) : key, BLOCK_BYTES);
    MessageDigest inner = digest();
    inner.update(padded(block, INNER_PAD));
    for (byte[] part : parts) {
      inner.update(part);
    }
    MessageDigest outer = digest();
    outer.update(padded(block, OUTER_PAD));
    return outer.digest(inner.digest());
  }

  private static byte[] padded(byte[] block, byte pad) {
    byte[] result = block.clone();
    for (int i = 0; i < result.length; i++) {
      result[i] ^= pad;
    }
    return result;
  }

  private static MessageDigest digest() {
    try {
      return MessageDigest.getInstance(DIGEST);
    } catch (NoSuchAlgorithmException unavailable) {
      throw AlderyardException.notRun(
          ErrorCode.INTERNAL, "SHA-256 is not available in this Java runtime: " + unavailable);
    }
  }
}
