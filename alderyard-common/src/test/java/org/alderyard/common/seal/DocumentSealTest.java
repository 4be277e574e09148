package org.alderyard.common.seal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.junit.jupiter.api.Test;

class DocumentSealTest {
  private static final byte[] FIRST = "first-cluster-secret".getBytes(StandardCharsets.UTF_8);
  private static final byte[] SECOND = "second-cluster-secret".getBytes(StandardCharsets.UTF_8);
  private static final byte[] DOCUMENT = "{\"api_keys\":[\"k\"]}".getBytes(StandardCharsets.UTF_8);

  private static byte[] hex(String text) {
    return HexFormat.of().parseHex(text);
  }

  /** RFC 5869, test cases 1 and 3. */
  @Test
  void derivesKeysOfRfc5869() {
    assertThat(
            Hkdf.derive(
                hex("0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b"),
                hex("000102030405060708090a0b0c"),
                hex("f0f1f2f3f4f5f6f7f8f9"),
                42))
        .isEqualTo(
            hex(
                "3cb25f25faacd57a90434f64d0362f2a2d2d0a90cf1a5a4c5db02d56ecc4c5bf"
                    + "34007208d5b887185865"));
    assertThat(
            Hkdf.derive(
                hex("0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b0b"), new byte[0], new byte[0], 42))
        .isEqualTo(
            hex(
                "8da4e775a563c18f715f802a063c5a31b8a11f5c5ee1879ec3454e5f3c738d2d"
                    + "9d201395faa4b61a96c8"));
  }

  @Test
  void sealedDocumentHidesContentAndOpensAgain() {
    DocumentSeal seal = new DocumentSeal(List.of(FIRST));

    byte[] sealed = seal.seal(DOCUMENT);

    assertThat(new String(sealed, StandardCharsets.ISO_8859_1)).doesNotContain("api_keys");
    assertThat(seal.seal(DOCUMENT)).isNotEqualTo(sealed);
    assertThat(seal.open(sealed)).isEqualTo(DOCUMENT);
  }

  /** A damaged document must be an error and never a wrong document. */
  @Test
  void changedDocumentIsRejected() {
    DocumentSeal seal = new DocumentSeal(List.of(FIRST));
    byte[] sealed = seal.seal(DOCUMENT);
    for (int i = 0; i < sealed.length; i++) {
      byte[] changed = sealed.clone();
      changed[i] ^= 1;
      AlderyardException refused = assertThrows(AlderyardException.class, () -> seal.open(changed));
      assertThat(refused.code()).isEqualTo(ErrorCode.STORAGE_DAMAGED);
    }
    assertThrows(AlderyardException.class, () -> seal.open(new byte[3]));
  }

  /** While the secret is replaced, documents of both secrets must open. */
  @Test
  void opensDocumentsOfEarlierSecretDuringRotation() {
    byte[] old = new DocumentSeal(List.of(FIRST)).seal(DOCUMENT);
    DocumentSeal rotating = new DocumentSeal(List.of(SECOND, FIRST));

    assertThat(rotating.open(old)).isEqualTo(DOCUMENT);
    assertThat(new DocumentSeal(List.of(SECOND)).open(rotating.seal(DOCUMENT))).isEqualTo(DOCUMENT);
    assertThrows(AlderyardException.class, () -> new DocumentSeal(List.of(SECOND)).open(old));
  }
}
