package org.alderyard.cli.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandSpec;
import org.alderyard.cli.command.CommonOptions;
import org.alderyard.cli.command.Invocation;
import org.alderyard.cli.command.UsageException;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.control.check.ConfigurationCheck;
import org.alderyard.control.check.ConfigurationDiff;
import org.alderyard.control.check.Finding;
import org.alderyard.control.check.FindingCode;
import org.alderyard.daemon.ExitCode;
import org.alderyard.platform.ConfigurationDocument;
import org.alderyard.protocol.generated.state.Configuration;
import org.apache.commons.cli.Options;

/**
 * Checks a configuration before it is sent; prints one finding a line.
 *
 * <p>Example: {@code alderyard configuration check --against 10.0.0.1:7002 next.json}
 */
public final class ConfigurationCheckCommand implements Command {
  private static final String AGAINST = "against";
  private static final String PREVIOUS = "previous";
  private static final String QUOTA_WINDOW = "quota-window-seconds";
  private static final int DEFAULT_QUOTA_WINDOW_SECONDS = 5;
  private static final int MAX_QUOTA_WINDOW_SECONDS = 3_600;

  private static final CommandSpec SPEC =
      new CommandSpec(
          "configuration check",
          "check a configuration before it is sent",
          List.of("FILE"),
          new Options()
              .addOption(
                  CommonOptions.valued(
                      AGAINST, "IP:PORT", "compare with the version in force at this host"))
              .addOption(
                  CommonOptions.valued(PREVIOUS, "FILE", "compare with the version in a file"))
              .addOption(
                  CommonOptions.valued(
                      QUOTA_WINDOW,
                      "SECONDS",
                      "the hosts' setting quota-window; default: "
                          + DEFAULT_QUOTA_WINDOW_SECONDS)));

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    ConfigurationDocument document = read(invocation.arguments().get(0));
    Optional<Configuration> inForce = inForce(invocation);
    List<Finding> findings = check(document, inForce, quotaWindowSeconds(invocation));
    findings.forEach(invocation.out()::println);
    return findings.stream().anyMatch(Finding::isFault) ? ExitCode.FAILED : ExitCode.OK;
  }

  private static long quotaWindowSeconds(Invocation invocation) {
    return invocation.numberOption(
        QUOTA_WINDOW, DEFAULT_QUOTA_WINDOW_SECONDS, 1, MAX_QUOTA_WINDOW_SECONDS);
  }

  private static List<Finding> check(
      ConfigurationDocument document, Optional<Configuration> inForce, long quotaWindowSeconds) {
    Configuration configuration;
    try {
      configuration = document.parse();
    } catch (AlderyardException unreadable) {
      return List.of(new Finding(FindingCode.UNREADABLE, "configuration", unreadable.getMessage()));
    }
    List<Finding> findings =
        new ArrayList<>(new ConfigurationCheck(quotaWindowSeconds).check(configuration));
    document.checkSizeLimits().ifPresent(findings::add);
    inForce.ifPresent(
        previous -> findings.addAll(ConfigurationDiff.compare(previous, configuration)));
    return findings;
  }

  private static Optional<Configuration> inForce(Invocation invocation) {
    if (invocation.hasOption(AGAINST) && invocation.hasOption(PREVIOUS)) {
      throw new UsageException(SPEC, "--" + AGAINST + " and --" + PREVIOUS + " exclude each other");
    }
    return invocation
        .option(AGAINST)
        .map(ConfigurationDocument::fetch)
        .or(() -> invocation.option(PREVIOUS).map(ConfigurationCheckCommand::read))
        .map(ConfigurationDocument::parse);
  }

  private static ConfigurationDocument read(String file) {
    try {
      return ConfigurationDocument.of(Files.readAllBytes(Path.of(file)));
    } catch (IOException unreadable) {
      throw new UsageException(SPEC, "the configuration file '" + file + "' can't be read");
    }
  }
}
