package org.alderyard.cli.operator;

import java.util.List;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandSpec;
import org.alderyard.cli.command.CommonOptions;
import org.alderyard.cli.command.Invocation;
import org.alderyard.common.http.Json;
import org.alderyard.daemon.ExitCode;

/** Drains a host, so that it can be stopped without interrupting requests in flight. */
public final class DrainCommand implements Command {
  private static final CommandSpec SPEC =
      new CommandSpec(
          "drain",
          "drain a host: the host accepts no new work",
          List.of("HOST"),
          CommonOptions.operatorOptions());

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    String path = "/v1/hosts/" + invocation.arguments().get(0) + "/drain";
    ShowCommand.print(
        OperatorClient.of(invocation).post(path, Json.bytes(Json.object())), invocation);
    return ExitCode.OK;
  }
}
