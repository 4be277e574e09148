package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.alderyard.common.settings.SettingsException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Every fault of a settings file is refused with its place, its value and what is accepted. */
class DaemonSettingsTest {
  @TempDir Path folder;
  private String good;

  @BeforeEach
  void writeKeys() throws IOException {
    Files.writeString(folder.resolve("cluster.key"), "0123456789abcdef-secret\n");
    good =
        """
        [host]
        id = entry-1
        zone = quimper
        cluster-id = ledger
        [network]
        caller-address = 127.0.0.1:7000
        inner-address = 127.0.0.1:7001
        [control]
        hosts = 127.0.0.1:7001, 127.0.0.1:7011
        [keys]
        cluster-key-file = %s
        """
            .formatted(folder.resolve("cluster.key"));
  }

  @Test
  void goodFileIsReadWithPresets() throws IOException {
    DaemonSettings settings = read(good);
    assertThat(settings.host().value()).isEqualTo("entry-1");
    assertThat(settings.roles()).containsExactly(Role.PROXY);
    assertThat(settings.controlHosts()).hasSize(2);
    assertThat(settings.drainTimeout().toMillis()).isEqualTo(30_000);
    assertThat(settings.tls().forPort(TlsPort.OPERATOR)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          [wrong]\\nx = 1                        | [wrong]: the section is unknown
          [host]\\ncolour = red                  | [host] colour: the key is unknown
          [proxy]\\ndrain-timeout = 30           | '30' is not accepted; accepted: a duration
          [proxy]\\ndrain-timeout = 30 parsecs   | '30 parsecs' is not accepted
          [proxy]\\ndrain-timeout = 11min        | from 0ms to 600000ms
          [proxy]\\nworker-threads = many        | accepted: a whole number from 1 to 256
          [limits]\\nmax-body-size = 1MB         | accepted: a size with its unit
          [host]\\nid = again                    | the key is given 2 times
          [network]\\noperator-address = h:1     | accepted: an IP number with a port
          [network]\\noperator-address = 1.2.3.4:9 | [network] operator-address needs it
          [host]\\nroles = proxy, butler         | one of proxy, control
          [tls]\\nkeystore-file = k.p12          | [tls] keystore-file needs it
          [log]\\nformat = xml                   | one of text, json
          """)
  void faultIsNamedWithItsPlaceAndWhatIsAccepted(String addition, String message) {
    SettingsException refused =
        assertThrows(
            SettingsException.class, () -> read(good + addition.replace("\\n", "\n") + "\n"));
    assertThat(refused).hasMessageThat().contains(message);
    assertThat(refused).hasMessageThat().contains("test.ini");
  }

  @ParameterizedTest
  @ValueSource(strings = {"id = entry-1", "inner-address = 127.0.0.1:7001"})
  void missingKeyIsNamed(String line) {
    SettingsException refused =
        assertThrows(SettingsException.class, () -> read(good.replace(line, "")));
    assertThat(refused).hasMessageThat().contains("the key is missing");
  }

  @Test
  void secretNeverShowsInMessagesOrText() throws IOException {
    Files.writeString(folder.resolve("operator.key"), "the-key-of-operators");
    String withOperators = good + "operator-key-file = " + folder.resolve("operator.key");
    assertThat(read(withOperators).operatorKey()).isPresent();
    assertThat(read(withOperators).toString()).doesNotContain("0123456789abcdef");
    assertThat(read(withOperators).toString()).doesNotContain("the-key-of-operators");
    Files.writeString(folder.resolve("cluster.key"), "short-secret");
    SettingsException refused = assertThrows(SettingsException.class, () -> read(good));
    assertThat(refused).hasMessageThat().contains("the secret has 12 bytes");
    assertThat(refused).hasMessageThat().doesNotContain("short-secret");
  }

  @Test
  void controlHostMustBeInTheListAndHaveItsFolder() {
    String control = good.replace("zone =", "roles = control,proxy\nzone =");
    String elsewhere =
        control.replace("inner-address = 127.0.0.1:7001", "inner-address = 127.0.0.1:9");
    assertThat(assertThrows(SettingsException.class, () -> read(elsewhere)))
        .hasMessageThat()
        .contains("is not in the list");
    String noFolder = control.replace("[control]", "[control]\ndata-folder = /no/such/folder");
    assertThat(assertThrows(SettingsException.class, () -> read(noFolder)))
        .hasMessageThat()
        .contains("is not a folder that can be read and written");
  }

  private DaemonSettings read(String text) throws IOException {
    Path file = folder.resolve("test.ini");
    Files.writeString(file, text);
    return DaemonSettings.read(file);
  }
}
