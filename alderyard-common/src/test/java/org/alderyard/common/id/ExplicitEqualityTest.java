package org.alderyard.common.id;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.alderyard.common.view.ViewVersion;
import org.junit.jupiter.api.Test;

/**
 * Guards against a slow start after a power loss of all hosts. Callers reconnect before the hosts
 * have a view and wait for the start of the control hosts; a tenth of a second of that start went
 * into linking the generated {@code equals} and {@code hashCode} of the records that are keys of
 * the first tables.
 */
class ExplicitEqualityTest {
  private static final List<Class<?>> KEY_TYPES =
      List.of(
          CallerId.class,
          GroupId.class,
          HostId.class,
          PoolName.class,
          Position.class,
          RequestId.class,
          ServerId.class,
          ZoneName.class,
          ViewVersion.class);

  @Test
  void keyTypesHaveNoGeneratedRecordMethods() throws IOException {
    for (Class<?> keyType : KEY_TYPES) {
      assertWithMessage(keyType.getSimpleName())
          .that(bytecode(keyType))
          .doesNotContain("java/lang/runtime/ObjectMethods");
    }
  }

  @Test
  void equalValuesHaveEqualHashCodes() {
    assertThat(new ServerId("s1")).isEqualTo(new ServerId("s1"));
    assertThat(new ServerId("s1").hashCode()).isEqualTo(new ServerId("s1").hashCode());
    assertThat(new Position(2, 7)).isEqualTo(new Position(2, 7));
    assertThat(new Position(2, 7).hashCode()).isEqualTo(new Position(2, 7).hashCode());
  }

  @Test
  void differentValuesAndTypesAreNotEqual() {
    assertThat(new ServerId("s1")).isNotEqualTo(new ServerId("s2"));
    assertThat((Object) new ServerId("s1")).isNotEqualTo(new HostId("s1"));
    assertThat(new Position(2, 7)).isNotEqualTo(new Position(7, 2));
    assertThat(new Position(2, 7)).isNotEqualTo(new Position(2, 8));
    assertThat(new ViewVersion(1, 3)).isNotEqualTo(new ViewVersion(2, 3));
  }

  private static String bytecode(Class<?> type) throws IOException {
    String file = type.getSimpleName() + ".class";
    try (InputStream in = type.getResourceAsStream(file)) {
      return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }
}
