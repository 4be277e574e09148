package org.alderyard.common.seal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import javax.crypto.Cipher;
import javax.crypto.spec.GCMParameterSpec;
import javax.crypto.spec.SecretKeySpec;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/**
 * Encrypts documents with AES-GCM under a key derived from a shared secret.
 *
 * <p>A sealed document begins with a format byte and the id of its key, so that documents that were
 * sealed under an earlier secret can be opened while the secret is replaced. Thread-safe.
 */
public final class DocumentSeal {
  private static final byte FORMAT = 1;
  private static final int KEY_ID_BYTES = 4;
  private static final int NONCE_BYTES = 12;
  private static final int TAG_BITS = 128;
  private static final int KEY_BYTES = 32;
  private static final int HEADER_BYTES = 1 + KEY_ID_BYTES + NONCE_BYTES;
  private static final byte[] PURPOSE = "alderyard document seal".getBytes(StandardCharsets.UTF_8);

  private final List<Key> keys;
  private final SecureRandom random = new SecureRandom();

  private record Key(byte[] id, SecretKeySpec secret) {}

  /**
   * Creates a seal.
   *
   * @param secrets the secret under which documents are sealed, then secrets under which earlier
   *     documents may have been sealed
   */
  public DocumentSeal(List<byte[]> secrets) {
    keys = secrets.stream().map(DocumentSeal::key).toList();
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("at least one secret is needed");
    }
  }

  private static Key key(byte[] secret) {
    byte[] derived = Hkdf.derive(secret, new byte[0], PURPOSE, KEY_ID_BYTES + KEY_BYTES);
    byte[] id = Arrays.copyOf(derived, KEY_ID_BYTES);
    return new Key(id, new SecretKeySpec(derived, KEY_ID_BYTES, KEY_BYTES, "AES"));
  }

  /** Encrypts a document. Two calls with the same document return different bytes. */
  public byte[] seal(byte[] document) {
    Key key = keys.get(0);
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    byte[] header = header(key.id(), nonce);
    byte[] encrypted = run(Cipher.ENCRYPT_MODE, key, header, document);
    return ByteBuffer.allocate(header.length + encrypted.length).put(header).put(encrypted).array();
  }

  private static byte[] header(byte[] keyId, byte[] nonce) {
    return ByteBuffer.allocate(HEADER_BYTES).put(FORMAT).put(keyId).put(nonce).array();
  }

  /**
   * Decrypts a document.
   *
   * @throws AlderyardException with {@code STORAGE_DAMAGED} if the document was sealed under an
   *     unknown secret or has been changed
   */
  public byte[] open(byte[] sealed) {
    if (sealed.length < HEADER_BYTES || sealed[0] != FORMAT) {
      throw damaged("the format of the sealed document is unknown");
    }
    byte[] keyId = Arrays.copyOfRange(sealed, 1, 1 + KEY_ID_BYTES);
    Key key =
        findKey(keyId)
            .orElseThrow(
                () -> damaged("the document is sealed under a cluster key that is not set here"));
    byte[] header = Arrays.copyOf(sealed, HEADER_BYTES);
    return run(
        Cipher.DECRYPT_MODE, key, header, Arrays.copyOfRange(sealed, HEADER_BYTES, sealed.length));
  }

  private Optional<Key> findKey(byte[] id) {
    return keys.stream().filter(key -> Arrays.equals(key.id(), id)).findFirst();
  }

  private static byte[] run(int mode, Key key, byte[] header, byte[] input) {
    try {
      Cipher cipher = Cipher.getInstance("AES/GCM/NoPadding");
      cipher.init(
          mode,
          key.secret(),
          new GCMParameterSpec(TAG_BITS, header, HEADER_BYTES - NONCE_BYTES, NONCE_BYTES));
      cipher.updateAAD(header);
      return cipher.doFinal(input);
    } catch (GeneralSecurityException failure) {
      throw damaged("the sealed document can't be processed: " + failure.getMessage());
    }
  }

  private static AlderyardException damaged(String reason) {
    return AlderyardException.notRun(ErrorCode.STORAGE_DAMAGED, reason);
  }
}
