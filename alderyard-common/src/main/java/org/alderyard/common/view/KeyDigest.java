package org.alderyard.common.view;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Computes the digest by which a caller's key is stored and looked up.
 *
 * <p>Only the host that receives a key knows it. All other hosts have its digest.
 */
public final class KeyDigest {
  /** Distinguishes these digests from other SHA-256 digests of the same text. */
  private static final byte[] PREFIX =
      "alderyard organisation key\n".getBytes(StandardCharsets.UTF_8);

  private KeyDigest() {}

  /** Returns the SHA-256 digest of a key, as UTF-8. */
  public static Bytes of(String key) {
    return of(key.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the SHA-256 digest of the bytes of a key. */
  public static Bytes of(byte[] key) {
    byte[] input = Arrays.copyOf(PREFIX, PREFIX.length + key.length);
    System.arraycopy(key, 0, input, PREFIX.length, key.length);
    return Bytes.of(DigestUtils.sha256(input));
  }
}
