package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.protocol.generated.envelope.Hello;

/**
 * The shared secret of the hosts of a cluster, by which a peer proves that it belongs to the
 * cluster.
 */
public final class ClusterKey {
  /** The minimum length of a secret, in bytes. */
  public static final int MIN_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;

  /**
   * Validates and copies the secret.
   *
   * @throws AlderyardException with {@code SETTINGS_INVALID} if the secret is too short
   */
  public ClusterKey(byte[] secret) {
    if (secret.length < MIN_BYTES) {
      throw AlderyardException.notRun(
          ErrorCode.SETTINGS_INVALID,
          "the cluster key has " + secret.length + " bytes; accepted are at least " + MIN_BYTES);
    }
    key = new SecretKeySpec(secret, ALGORITHM);
  }

  /**
   * Returns the HMAC that one side of a handshake sends. It covers both hellos and the name of the
   * side.
   */
  byte[] computeProof(String side, Hello client, Hello server) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(side.getBytes(java.nio.charset.StandardCharsets.UTF_8));
      mac.update(client.toByteArray());
      mac.update(server.toByteArray());
      return mac.doFinal();
    } catch (GeneralSecurityException unavailable) {
      throw AlderyardException.notRun(
          ErrorCode.INTERNAL, "HMAC is not available in this Java runtime: " + unavailable);
    }
  }

  boolean verify(ByteString proof, String side, Hello client, Hello server) {
    return MessageDigest.isEqual(proof.toByteArray(), computeProof(side, client, server));
  }

  @Override
  public String toString() {
    return "ClusterKey[hidden]";
  }
}
