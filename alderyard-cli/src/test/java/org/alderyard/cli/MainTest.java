package org.alderyard.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import org.alderyard.daemon.ExitCode;
import org.alderyard.protocol.generated.session.GroupPosition;
import org.alderyard.protocol.generated.session.SessionToken;
import org.alderyard.protocol.generated.session.SignedToken;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests parsing, help, usage errors and exit codes of the command line. */
class MainTest {
  @TempDir Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @ParameterizedTest
  @CsvSource({
    "tikcet apply x, ticket apply",
    "grups, groups",
    "chek-settings x, check-settings",
    "loda --rate 5, load"
  })
  void unknownSubCommandSuggestsNearestName(String line, String nearest) {
    assertThat(run(line.split(" "))).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("the nearest is '" + nearest + "'");
  }

  @ParameterizedTest
  @CsvSource({
    "load --pool p, --proxies is missing",
    "load --proxies host:1 --pool p, accepted: a list",
    "load --proxies 127.0.0.1:1 --pool p --rate fast, accepted: a whole number 1 to 100000",
    "load --proxies 127.0.0.1:1 --pool p --mix tea, 'accepted: one of brazos, le-goff'",
    "drain, got 0 arguments; accepted: HOST",
    "groups --colour, Unrecognized option: --colour"
  })
  void usageErrorStatesAcceptedValues(String line, String text) {
    assertThat(run(line.split(" "))).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains(text);
  }

  @Test
  void helpListsEverySubCommand() {
    assertThat(run("--help")).isEqualTo(ExitCode.OK);
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("ticket apply");
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("check-settings");
  }

  @Test
  void invalidSettingsReturnSettingsExitCode() throws IOException {
    Path file = Files.writeString(folder.resolve("bad.ini"), "[host]\ncolour = red\n");
    assertThat(run("check-settings", file.toString())).isEqualTo(ExitCode.SETTINGS);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("[host] colour: the key is unknown");
  }

  @Test
  void tokenInspectPrintsPositions() {
    SessionToken token =
        SessionToken.newBuilder()
            .setPool("orders")
            .addPositions(GroupPosition.newBuilder().setGroup("g1").setTerm(2).setIndex(7))
            .build();
    byte[] signed = SignedToken.newBuilder().setContent(token.toByteString()).build().toByteArray();
    assertThat(run("token", "inspect", Base64.getUrlEncoder().encodeToString(signed)))
        .isEqualTo(ExitCode.OK);
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("\"index\" : 7");
    assertThat(run("token", "inspect", "!!")).isEqualTo(ExitCode.FAILED);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("TOKEN_DAMAGED");
  }

  private ExitCode run(String... args) {
    return Main.commandLine(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8))
        .run(args);
  }
}
