package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.protocol.generated.envelope.Hello;

/** The secret that the hosts of one cluster share; it proves that a peer belongs to it. */
public final class ClusterKey {
  /** The shortest secret that is accepted, in bytes. */
  public static final int MIN_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;

  /** Checks and copies the secret. */
  public ClusterKey(byte[] secret) {
    if (secret.length < MIN_BYTES) {
      throw AlderyardException.notRun(
          ErrorCode.SETTINGS_INVALID,
          "the cluster key has " + secret.length + " bytes; accepted are at least " + MIN_BYTES);
    }
    key = new SecretKeySpec(secret, ALGORITHM);
  }

  /** Returns the proof that one side of a handshake sends: both hellos and the side are signed. */
  byte[] prove(String side, Hello client, Hello server) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(side.getBytes(java.nio.charset.StandardCharsets.UTF_8));
      mac.update(client.toByteArray());
      mac.update(server.toByteArray());
      return mac.doFinal();
    } catch (GeneralSecurityException missing) {
      throw AlderyardException.notRun(ErrorCode.INTERNAL, "no HMAC in this runtime: " + missing);
    }
  }

  boolean verify(ByteString proof, String side, Hello client, Hello server) {
    return MessageDigest.isEqual(proof.toByteArray(), prove(side, client, server));
  }

  @Override
  public String toString() {
    return "ClusterKey[hidden]";
  }
}
