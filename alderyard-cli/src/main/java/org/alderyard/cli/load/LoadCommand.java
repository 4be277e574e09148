package org.alderyard.cli.load;

import static org.alderyard.cli.command.CommonOptions.flag;
import static org.alderyard.cli.command.CommonOptions.valued;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandSpec;
import org.alderyard.cli.command.CommonOptions;
import org.alderyard.cli.command.Invocation;
import org.alderyard.cli.command.UsageException;
import org.alderyard.common.http.Json;
import org.alderyard.common.settings.SettingType;
import org.alderyard.common.settings.SettingTypes;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.daemon.ExitCode;
import org.apache.commons.cli.Options;

/**
 * Generates load on a running system and checks the history of responses.
 *
 * <p>Example: {@code alderyard load --proxies 127.0.0.1:7000,127.0.0.1:7010 --pool orders --mix
 * le-goff --rate 500 --seconds 10}
 */
public final class LoadCommand implements Command {
  private static final CommandSpec SPEC =
      new CommandSpec(
          "load", "generate load on proxies and check the responses", List.of(), options());

  private static Options options() {
    return new Options()
        .addOption(valued("proxies", "IP:PORT,...", "callers' ports of the proxies"))
        .addOption(valued("pool", "NAME", "name of the pool"))
        .addOption(valued("mix", "MIX", "workload: brazos or le-goff; default brazos"))
        .addOption(valued("rate", "N", "actions per second, 1 to 100000; default 200"))
        .addOption(valued("seconds", "N", "duration of the load, 1 to 86400; default 10"))
        .addOption(valued("keys", "N", "number of keys, 1 to 1000000; default 500"))
        .addOption(valued("seed", "N", "seed of the random number generators; default 1"))
        .addOption(valued("deadline-millis", "N", "time limit of a request; default 5000"))
        .addOption(valued("report", "FILE", "write the report as JSON to this file"))
        .addOption(valued("trace", "FILE", "write each latency in microseconds to this file"))
        .addOption(flag(CommonOptions.JSON, "print the report as JSON"));
  }

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    List<InetSocketAddress> proxies =
        parse(invocation, "proxies", SettingTypes.list(SettingTypes.address()));
    LoadPlan plan =
        new LoadPlan(
            () -> proxies,
            invocation.requiredOption("pool"),
            invocation.hasOption("mix")
                ? parse(invocation, "mix", SettingTypes.word(WorkloadMix.class))
                : WorkloadMix.BRAZOS,
            (int) invocation.numberOption("rate", 200, 1, 100_000),
            Duration.ofSeconds(invocation.numberOption("seconds", 10, 1, 86_400)),
            (int) invocation.numberOption("keys", 500, 1, 1_000_000),
            invocation.numberOption("seed", 1, 0, Long.MAX_VALUE),
            Duration.ofMillis(invocation.numberOption("deadline-millis", 5_000, 1, 600_000)));
    LoadReport report = new LoadRun(plan, MonotonicClock.system(), invocation.err()::println).run();
    invocation
        .option("report")
        .ifPresent(file -> write(Path.of(file), Json.bytes(report.toJson())));
    invocation
        .option("trace")
        .ifPresent(
            file -> write(Path.of(file), report.latencyTrace().getBytes(StandardCharsets.UTF_8)));
    invocation
        .out()
        .println(
            invocation.hasOption(CommonOptions.JSON)
                ? Json.pretty(report.toJson())
                : report.toText());
    return report.isClean() ? ExitCode.OK : ExitCode.FAILED;
  }

  private static <T> T parse(Invocation invocation, String option, SettingType<T> type) {
    String text = invocation.requiredOption(option);
    return type.parse(text)
        .orElseThrow(
            () ->
                new UsageException(
                    SPEC, "--" + option + " is '" + text + "'; accepted: " + type.accepted()));
  }

  private static void write(Path file, byte[] content) {
    try {
      Files.write(file, content);
    } catch (IOException unwritable) {
      throw new UsageException(SPEC, "the file '" + file + "' can't be written: " + unwritable);
    }
  }
}
