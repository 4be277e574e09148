package org.alderyard.common.view;

import java.util.Arrays;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/** A key that signs session tokens; its text form hides the secret. */
public final class SigningKey {
  /** The minimum length of a secret, in bytes. */
  public static final int MIN_SECRET_BYTES = 16;

  private final int id;
  private final byte[] secret;

  /**
   * Validates and copies the secret.
   *
   * @throws AlderyardException with {@code TICKET_INVALID} if the secret is too short
   */
  public SigningKey(int id, byte[] secret) {
    if (secret.length < MIN_SECRET_BYTES) {
      throw AlderyardException.notRun(
          ErrorCode.TICKET_INVALID,
          "key " + id + " has " + secret.length + " bytes; accepted are at least 16");
    }
    this.id = id;
    this.secret = secret.clone();
  }

  /** Returns the ID of the key, which is part of each token. */
  public int id() {
    return id;
  }

  /** Returns a copy of the secret. */
  public byte[] secret() {
    return secret.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SigningKey key && key.id == id && Arrays.equals(key.secret, secret);
  }

  @Override
  public int hashCode() {
    return id;
  }

  @Override
  public String toString() {
    return "SigningKey[id=" + id + "]";
  }
}
