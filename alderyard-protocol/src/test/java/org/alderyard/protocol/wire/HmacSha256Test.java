package org.alderyard.protocol.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Random;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.junit.jupiter.api.Test;

class HmacSha256Test {
  private static final long SEED = 2104;

  /** Guards against a code that hosts of another build do not accept: RFC 4231, test case 2. */
  @Test
  void equalsThePublishedCode() {
    assertArrayEquals(
        HexFormat.of().parseHex("5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843"),
        HmacSha256.compute(
            "Jefe".getBytes(StandardCharsets.UTF_8),
            "what do ya want ".getBytes(StandardCharsets.UTF_8),
            "for nothing?".getBytes(StandardCharsets.UTF_8)));
  }

  /** Guards against a difference from the Java runtime for keys shorter and longer than a block. */
  @Test
  void equalsTheRuntimesCode() throws Exception {
    Random random = new Random(SEED);
    for (int keyBytes = 16; keyBytes < 200; keyBytes++) {
      byte[] key = new byte[keyBytes];
      byte[] message = new byte[keyBytes * 2];
      random.nextBytes(key);
      random.nextBytes(message);
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(key, "HmacSHA256"));
      assertArrayEquals(mac.doFinal(message), HmacSha256.compute(key, message));
    }
  }
}
