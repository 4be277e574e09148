package org.alderyard.daemon;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.start.ProcessUse;
import org.alderyard.common.start.StartLog;
import org.alderyard.common.start.StartStage;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Entry point of {@code alderyardd}. */
public final class DaemonMain {
  private static final String USAGE = "usage: alderyardd --settings FILE [--check]";
  private static final Options OPTIONS =
      new Options()
          .addOption(Option.builder().longOpt("settings").hasArg().required().get())
          .addOption(Option.builder().longOpt("check").get());

  private DaemonMain() {}

  /**
   * Runs the daemon until the process is asked to stop; exits with an {@link ExitCode} on failure.
   */
  public static void main(String[] args) throws InterruptedException {
    Optional<ProcessUse> useAtStart = ProcessUse.read();
    LogProvider.install();
    DisabledMbeanServerBuilder.install();
    ExitCode code = run(args, System.out, System.err, useAtStart);
    if (code != ExitCode.OK) {
      System.exit(code.number());
    }
  }

  private static ExitCode run(
      String[] args, PrintStream out, PrintStream err, Optional<ProcessUse> useAtStart)
      throws InterruptedException {
    CommandLine line;
    try {
      line = new DefaultParser().parse(OPTIONS, args);
    } catch (ParseException parseError) {
      err.println(parseError.getMessage());
      err.println(USAGE);
      return ExitCode.USAGE;
    }
    try {
      Path file = Path.of(line.getOptionValue("settings"));
      SettingsWatch watch = new SettingsWatch(file);
      watch.handleSignal();
      DaemonSettings settings = DaemonSettings.read(file);
      if (line.hasOption("check")) {
        out.println("settings are valid: " + file);
        return ExitCode.OK;
      }
      runUntilShutdown(settings, watch, useAtStart);
      return ExitCode.OK;
    } catch (AlderyardException failure) {
      err.println(failure.code() + ": " + failure.getMessage());
      return exitCode(failure.code());
    }
  }

  /** Runs the daemon until shutdown, or throws the error that made it fail. */
  private static void runUntilShutdown(
      DaemonSettings settings, SettingsWatch watch, Optional<ProcessUse> useAtStart)
      throws InterruptedException {
    settings.log().apply();
    StartLog startLog = new StartLog();
    startLog.reached(StartStage.PROGRAM, useAtStart);
    startLog.reached(StartStage.SETTINGS);
    Daemon daemon = new Daemon(settings, startLog);
    daemon.watchSettings(watch);
    CompletableFuture<Void> ended = new CompletableFuture<>();
    daemon.failure().thenAccept(ended::completeExceptionally);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  daemon.close();
                  LogOptions.close();
                  ended.complete(null);
                },
                "shutdown"));
    try {
      ended.get();
    } catch (ExecutionException failed) {
      throw Futures.toAlderyardException(failed);
    }
  }

  private static ExitCode exitCode(ErrorCode code) {
    return switch (code) {
      case SETTINGS_INVALID -> ExitCode.SETTINGS;
      case STORAGE_DAMAGED, STORAGE_FAILED -> ExitCode.STORAGE;
      default -> ExitCode.FAILED;
    };
  }
}
