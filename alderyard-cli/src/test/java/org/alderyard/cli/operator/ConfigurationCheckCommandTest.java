package org.alderyard.cli.operator;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.alderyard.cli.command.CommandLineTool;
import org.alderyard.daemon.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Output and exit codes of the check of configuration files. */
class ConfigurationCheckCommandTest {
  private static final String VALID =
      "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"orders\",\"path_prefix\":\"/\","
          + "\"route_type\":\"primary\",\"timeout_ms\":400,\"target_latency_ms\":200,"
          + "\"service\":\"g1\"}],\"services\":[{\"name\":\"g1\",\"max_connections\":4}],"
          + "\"limits\":{},\"tenants\":[{\"name\":\"o1\",\"api_keys\":[\"secret-key\"],"
          + "\"rate_per_s\":5,\"burst\":5}]}";

  @TempDir Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private ExitCode run(String... args) {
    return new CommandLineTool(
            "alderyard",
            List.of(new ConfigurationCheckCommand()),
            new PrintStream(out, true, UTF_8),
            new PrintStream(err, true, UTF_8))
        .run(args);
  }

  private String write(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text).toString();
  }

  @Test
  void validFileHasNoFindings() throws IOException {
    assertThat(run("configuration", "check", write("next.json", VALID))).isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8)).isEmpty();
  }

  @Test
  void faultsGiveExitCodeOne() throws IOException {
    String late = write("late.json", VALID.replace("\"timeout_ms\":400", "\"timeout_ms\":100"));
    assertThat(run("configuration", "check", late)).isEqualTo(ExitCode.FAILED);
    assertThat(out.toString(UTF_8)).startsWith("OBJECTIVE_ABOVE_TIMEOUT database/orders: ");

    assertThat(run("configuration", "check", write("broken.json", "{\"version\":")))
        .isEqualTo(ExitCode.FAILED);
    assertThat(out.toString(UTF_8)).contains("UNREADABLE configuration: ");
  }

  /** Guards against a script that fails on each change, and against keys in the output. */
  @Test
  void differencesAloneAreNoFault() throws IOException {
    String previous = write("previous.json", VALID);
    String next =
        write(
            "next.json",
            VALID.replace("\"version\":7", "\"version\":9").replace("secret-key", "other-key"));

    assertThat(run("configuration", "check", "--previous", previous, next)).isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8))
        .isEqualTo("CHANGED organisation/o1: keys: 1 added, 1 removed" + System.lineSeparator());
  }

  @Test
  void missingFileAndSilentHostHaveTheirOwnExitCodes() throws IOException {
    assertThat(run("configuration", "check", folder.resolve("none.json").toString()))
        .isEqualTo(ExitCode.USAGE);
    assertThat(run("configuration", "check", "--against", "127.0.0.1:1", write("next.json", VALID)))
        .isEqualTo(ExitCode.UNREACHABLE);
  }
}
