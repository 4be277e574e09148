package org.alderyard.protocol.wire;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.seal.DocumentSeal;
import org.alderyard.protocol.generated.envelope.Hello;

/**
 * The shared secret of the hosts of a cluster, by which a peer proves that it belongs to the
 * cluster.
 */
public final class ClusterKey {
  /** The minimum length of a secret, in bytes. */
  public static final int MIN_BYTES = 16;

  private final List<byte[]> secrets;
  private Optional<DocumentSeal> documentSeal = Optional.empty();

  /**
   * Validates and copies the secret.
   *
   * @throws AlderyardException with {@code SETTINGS_INVALID} if the secret is too short
   */
  public ClusterKey(byte[] secret) {
    this(secret, List.of());
  }

  /**
   * Validates and copies the secrets.
   *
   * @param secret the secret that this host uses
   * @param alsoAccepted secrets that other hosts may use while the secret is replaced
   * @throws AlderyardException with {@code SETTINGS_INVALID} if a secret is too short
   */
  public ClusterKey(byte[] secret, List<byte[]> alsoAccepted) {
    secrets =
        Stream.concat(Stream.of(secret), alsoAccepted.stream()).map(ClusterKey::copy).toList();
  }

  private static byte[] copy(byte[] secret) {
    if (secret.length < MIN_BYTES) {
      throw AlderyardException.notRun(
          ErrorCode.SETTINGS_INVALID,
          "the cluster key has " + secret.length + " bytes; accepted are at least " + MIN_BYTES);
    }
    return secret.clone();
  }

  /** Returns the seal of documents that hosts store and exchange. */
  public synchronized DocumentSeal documentSeal() {
    if (documentSeal.isEmpty()) {
      documentSeal = Optional.of(new DocumentSeal(secrets));
    }
    return documentSeal.get();
  }

  /**
   * Returns the HMAC that one side of a handshake sends. It covers both hellos and the name of the
   * side.
   */
  byte[] computeProof(String side, Hello client, Hello server) {
    return computeProof(secrets.get(0), side, client, server);
  }

  private static byte[] computeProof(byte[] secret, String side, Hello client, Hello server) {
    return HmacSha256.compute(
        secret, side.getBytes(StandardCharsets.UTF_8), client.toByteArray(), server.toByteArray());
  }

  boolean verify(ByteString proof, String side, Hello client, Hello server) {
    byte[] received = proof.toByteArray();
    return secrets.stream()
        .anyMatch(
            secret -> MessageDigest.isEqual(received, computeProof(secret, side, client, server)));
  }

  @Override
  public String toString() {
    return "ClusterKey[hidden]";
  }
}
