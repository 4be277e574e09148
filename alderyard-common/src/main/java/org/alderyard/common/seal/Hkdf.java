package org.alderyard.common.seal;

import java.io.ByteArrayOutputStream;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** The key derivation function HKDF of RFC 5869 with HMAC-SHA-256. */
final class Hkdf {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int HASH_BYTES = 32;

  private Hkdf() {}

  /**
   * Derives key material from a secret.
   *
   * @param salt may be empty
   * @param info the purpose of the key material
   * @param length the number of bytes to return, at most 255 times 32
   */
  static byte[] derive(byte[] secret, byte[] salt, byte[] info, int length) {
    byte[] pseudorandomKey = hmac(salt.length == 0 ? new byte[HASH_BYTES] : salt, secret);
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    byte[] block = new byte[0];
    for (int counter = 1; output.size() < length; counter++) {
      block = hmac(pseudorandomKey, block, info, new byte[] {(byte) counter});
      output.writeBytes(block);
    }
    return Arrays.copyOf(output.toByteArray(), length);
  }

  private static byte[] hmac(byte[] key, byte[]... parts) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      for (byte[] part : parts) {
        mac.update(part);
      }
      return mac.doFinal();
    } catch (GeneralSecurityException unavailable) {
      throw AlderyardException.notRun(
          ErrorCode.INTERNAL, "HMAC is not available in this Java runtime: " + unavailable);
    }
  }
}
