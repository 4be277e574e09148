package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.alderyard.common.settings.SettingsException;
import org.alderyard.proxy.admission.AdmissionMode;
import org.alderyard.proxy.callersession.StartOpenings;
import org.alderyard.proxy.pool.ConnectionSharing;
import org.alderyard.proxy.quota.QuotaCounters;
import org.alderyard.proxy.serverhealth.HealthOptions;
import org.alderyard.proxy.serverhealth.PaceMode;
import org.alderyard.proxy.serverhealth.ServerKnowledge;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that invalid settings are refused with their location, the value and the accepted values.
 */
class DaemonSettingsTest {
  @TempDir Path folder;
  private String validSettings;

  @BeforeEach
  void writeKeys() throws IOException {
    Files.writeString(folder.resolve("cluster.key"), "0123456789abcdef-secret\n");
    validSettings =
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
  void validFileIsReadWithDefaults() throws IOException {
    DaemonSettings settings = read(validSettings);
    assertThat(settings.host().value()).isEqualTo("entry-1");
    assertThat(settings.roles()).containsExactly(Role.PROXY);
    assertThat(settings.controlHosts()).hasSize(2);
    assertThat(settings.drainTimeout().toMillis()).isEqualTo(30_000);
    assertThat(settings.tls().forPort(TlsPort.OPERATOR)).isEmpty();
  }

  /** Guards deployments that set nothing against another start than before. */
  @Test
  void startIsAsBeforeUnlessSet() throws IOException {
    String sessions = validSettings + "[sessions]\nready-address = 127.0.0.1:7002\n";
    assertThat(read(sessions).sessions().get().startOpenings()).isEqualTo(StartOpenings.WAIT);
    assertThat(read(sessions).sessions().get().httpStart()).isEqualTo(HttpStart.TIMED);
    String refusing = sessions + "[load]\nstart-openings = refuse\n";
    assertThat(read(refusing).sessions().get().startOpenings()).isEqualTo(StartOpenings.REFUSE);
  }

  /** Guards against server health that changes a deployment that does not set it. */
  @Test
  void serverHealthIsOffUnlessSet() throws IOException {
    String sessions = validSettings + "[sessions]\nready-address = 127.0.0.1:7002\n";
    assertThat(read(sessions).sessions().get().health()).isEqualTo(HealthOptions.DEFAULT);
    String set = sessions + "[load]\nserver-knowledge = shared\nserver-pace = adaptive\n";
    assertThat(read(set).sessions().get().health())
        .isEqualTo(new HealthOptions(ServerKnowledge.SHARED, PaceMode.ADAPTIVE));
  }

  /** Guards against a change of how limits are divided where nothing is set. */
  @Test
  void limitsAreDividedAmongZonesUnlessDemandIsSet() throws IOException {
    String sessions = "[sessions]\nready-address = 127.0.0.1:7002\n";
    String load = "[load]\nquota-counters = demand\n";
    assertThat(quotaCounters(validSettings + sessions)).isEqualTo(QuotaCounters.ZONES);
    assertThat(quotaCounters(validSettings + sessions + load)).isEqualTo(QuotaCounters.DEMAND);
  }

  /** Guards against a change of who holds connections where nothing is set. */
  @Test
  void connectionsAreSharedByRecencyUnlessWeightedIsSet() throws IOException {
    String sessions = "[sessions]\nready-address = 127.0.0.1:7002\n";
    String load = "[load]\nconnection-sharing = weighted\n";
    assertThat(connectionSharing(validSettings + sessions)).isEqualTo(ConnectionSharing.RECENCY);
    assertThat(connectionSharing(validSettings + sessions + load))
        .isEqualTo(ConnectionSharing.WEIGHTED);
  }

  private ConnectionSharing connectionSharing(String text) throws IOException {
    return read(text).sessions().orElseThrow().connectionSharing();
  }

  private QuotaCounters quotaCounters(String text) throws IOException {
    return read(text).sessions().orElseThrow().quotaCounters();
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
          [load]\\nadmission = always            | one of none, deadline
          """)
  void errorNamesLocationAndAcceptedValues(String addition, String message) {
    SettingsException refused =
        assertThrows(
            SettingsException.class,
            () -> read(validSettings + addition.replace("\\n", "\n") + "\n"));
    assertThat(refused).hasMessageThat().contains(message);
    assertThat(refused).hasMessageThat().contains("test.ini");
  }

  /** Guards against another order of statements on hosts whose settings do not ask for it. */
  @Test
  void admissionIsOffUnlessSet() throws IOException {
    String sessions = validSettings + "[sessions]\nready-address = 127.0.0.1:7002\n";

    assertThat(read(sessions).sessions().orElseThrow().admission()).isEqualTo(AdmissionMode.NONE);
    assertThat(
            read(sessions + "[load]\nadmission = deadline\n").sessions().orElseThrow().admission())
        .isEqualTo(AdmissionMode.DEADLINE);
  }

  @ParameterizedTest
  @ValueSource(strings = {"id = entry-1", "inner-address = 127.0.0.1:7001"})
  void missingKeyIsNamed(String line) {
    SettingsException refused =
        assertThrows(SettingsException.class, () -> read(validSettings.replace(line, "")));
    assertThat(refused).hasMessageThat().contains("the key is missing");
  }

  @Test
  void secretsNeverAppearInMessagesOrToString() throws IOException {
    Files.writeString(folder.resolve("operator.key"), "the-key-of-operators");
    String withOperators = validSettings + "operator-key-file = " + folder.resolve("operator.key");
    assertThat(read(withOperators).operatorKey()).isPresent();
    assertThat(read(withOperators).toString()).doesNotContain("0123456789abcdef");
    assertThat(read(withOperators).toString()).doesNotContain("the-key-of-operators");
    Files.writeString(folder.resolve("cluster.key"), "short-secret");
    SettingsException refused = assertThrows(SettingsException.class, () -> read(validSettings));
    assertThat(refused).hasMessageThat().contains("the secret has 12 bytes");
    assertThat(refused).hasMessageThat().doesNotContain("short-secret");
  }

  @Test
  void controlHostMustBeListedAndHaveDataFolder() {
    String control = validSettings.replace("zone =", "roles = control,proxy\nzone =");
    String unlistedAddress =
        control.replace("inner-address = 127.0.0.1:7001", "inner-address = 127.0.0.1:9");
    assertThat(assertThrows(SettingsException.class, () -> read(unlistedAddress)))
        .hasMessageThat()
        .contains("is not in the list");
    String missingFolder = control.replace("[control]", "[control]\ndata-folder = /no/such/folder");
    assertThat(assertThrows(SettingsException.class, () -> read(missingFolder)))
        .hasMessageThat()
        .contains("is not a folder that can be read and written");
  }

  private DaemonSettings read(String text) throws IOException {
    Path file = folder.resolve("test.ini");
    Files.writeString(file, text);
    return DaemonSettings.read(file);
  }
}
