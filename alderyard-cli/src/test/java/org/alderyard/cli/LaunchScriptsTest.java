package org.alderyard.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the options with which the scripts in {@code bin/} start Java. */
class LaunchScriptsTest {
  private static final String FIRST_COMPILER_ONLY = "-XX:TieredStopAtLevel=1";

  @TempDir Path folder;

  /** Guards against compiler threads that take the processors from hosts that have just started. */
  @Test
  @Timeout(value = 60, unit = TimeUnit.SECONDS)
  void processesStartWithoutSecondCompiler() throws Exception {
    assertThat(javaArguments("alderyardd", Optional.empty())).contains(FIRST_COMPILER_ONLY);
    assertThat(javaArguments("stand-in", Optional.empty())).contains(FIRST_COMPILER_ONLY);
    assertThat(javaArguments("alderyard", Optional.empty())).contains(FIRST_COMPILER_ONLY);
  }

  /** Guards against defaults that operators of large hosts cannot replace. */
  @Test
  @Timeout(value = 60, unit = TimeUnit.SECONDS)
  void operatorReplacesOptionsOfHost() throws Exception {
    String arguments = javaArguments("alderyardd", Optional.of("-Xmx2g"));
    assertThat(arguments).startsWith("-Xmx2g -cp ");
  }

  /** Runs a script with a {@code java} that prints its arguments. */
  private String javaArguments(String script, Optional<String> hostOptions) throws Exception {
    Path java = folder.resolve("java");
    if (Files.notExists(java)) {
      writeExecutable(java, "#!/bin/sh\necho \"$@\"\n");
    }
    ProcessBuilder builder = new ProcessBuilder(Path.of("..", "bin", script).toString());
    builder.environment().put("PATH", folder + ":" + System.getenv("PATH"));
    builder.environment().remove("ALDERYARD_JAVA_OPTS");
    builder.environment().remove("ALDERYARD_CLI_JAVA_OPTS");
    hostOptions.ifPresent(options -> builder.environment().put("ALDERYARD_JAVA_OPTS", options));
    Process process = builder.redirectError(ProcessBuilder.Redirect.INHERIT).start();
    String output =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
    assertThat(process.waitFor()).isEqualTo(0);
    return output;
  }

  private static void writeExecutable(Path file, String text) throws IOException {
    Files.writeString(file, text);
    Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rwx------"));
  }
}
