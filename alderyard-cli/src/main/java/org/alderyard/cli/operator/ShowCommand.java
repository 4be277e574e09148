package org.alderyard.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandSpec;
import org.alderyard.cli.command.CommonOptions;
import org.alderyard.cli.command.Invocation;
import org.alderyard.common.http.Json;
import org.alderyard.daemon.ExitCode;

/** A sub-command that fetches a resource from a host and prints it. */
public final class ShowCommand implements Command {
  private static final String ARGUMENT_PLACEHOLDER = "{}";

  private final CommandSpec spec;
  private final String path;

  /**
   * Creates a sub-command that shows the resource at a path.
   *
   * @param path path of the resource; {@code {}} is replaced by the positional argument
   */
  public ShowCommand(String name, String summary, List<String> arguments, String path) {
    spec = new CommandSpec(name, summary, arguments, CommonOptions.operatorOptions());
    this.path = path;
  }

  @Override
  public CommandSpec spec() {
    return spec;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    String resource =
        invocation.arguments().isEmpty()
            ? path
            : path.replace(ARGUMENT_PLACEHOLDER, invocation.arguments().get(0));
    print(OperatorClient.of(invocation).get(resource), invocation);
    return ExitCode.OK;
  }

  static void print(JsonNode response, Invocation invocation) {
    if (invocation.hasOption(CommonOptions.JSON)) {
      invocation.out().println(Json.pretty(response));
    } else {
      TextTable.print(response, invocation.out());
    }
  }
}
