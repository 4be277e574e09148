package org.alderyard.cli.command;

import java.nio.file.Path;
import java.util.List;
import org.alderyard.daemon.DaemonSettings;
import org.alderyard.daemon.ExitCode;
import org.apache.commons.cli.Options;

/** Validates a settings file of the daemon without starting the daemon. */
public final class CheckSettingsCommand implements Command {
  private static final CommandSpec SPEC =
      new CommandSpec(
          "check-settings",
          "validate a settings file of alderyardd",
          List.of("FILE"),
          new Options());

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    DaemonSettings settings = DaemonSettings.read(Path.of(invocation.arguments().get(0)));
    invocation
        .out()
        .println("settings are valid: host " + settings.host() + ", roles " + settings.roles());
    return ExitCode.OK;
  }
}
