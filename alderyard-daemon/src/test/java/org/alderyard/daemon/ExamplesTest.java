package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.alderyard.common.http.Json;
import org.alderyard.control.operator.TicketParser;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the shipped example settings and tickets are valid once the key files exist. */
class ExamplesTest {
  private static final Path EXAMPLES = Path.of("..", "examples");
  private static final int ENTRY_HOSTS = 10;

  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(strings = {"brazos", "le-goff"})
  void everySettingsFileIsValid(String user) throws IOException {
    Files.createDirectory(folder.resolve("keys"));
    Files.createDirectory(folder.resolve("data"));
    Files.writeString(folder.resolve("keys/cluster.key"), "0123456789abcdef0123456789abcdef");
    Files.writeString(folder.resolve("keys/operator.key"), "operators");
    List<DaemonSettings> hosts = new ArrayList<>();
    try (Stream<Path> files = Files.list(EXAMPLES.resolve(user))) {
      for (Path file : files.filter(f -> f.toString().endsWith(".ini")).sorted().toList()) {
        hosts.add(DaemonSettings.read(Files.copy(file, folder.resolve(file.getFileName()))));
      }
    }
    assertThat(hosts).hasSize(ENTRY_HOSTS);
    assertThat(hosts.stream().filter(h -> h.roles().contains(Role.CONTROL)).toList()).hasSize(3);
    assertThat(hosts.stream().map(DaemonSettings::zone).distinct().toList()).hasSize(3);
    assertThat(hosts.stream().map(DaemonSettings::callerAddress).distinct().toList())
        .hasSize(ENTRY_HOSTS);
  }

  @ParameterizedTest
  @ValueSource(strings = {"brazos", "le-goff"})
  void ticketIsValid(String user) throws IOException {
    byte[] body = Files.readAllBytes(EXAMPLES.resolve(user).resolve("ticket-1.json"));
    var ticket = Json.parseObject(body);
    ((com.fasterxml.jackson.databind.node.ObjectNode) ticket).remove("number");
    assertThat(TicketParser.parse(1, ticket).faults()).isEmpty();
  }
}
