package org.alderyard.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandSpec;
import org.alderyard.cli.command.CommonOptions;
import org.alderyard.cli.command.Invocation;
import org.alderyard.cli.command.UsageException;
import org.alderyard.common.http.Json;
import org.alderyard.daemon.ExitCode;

/**
 * Submits a change ticket; submitting the same file again is safe and returns the first response.
 *
 * <p>Example: {@code alderyard ticket apply --operator 10.0.0.1:7002 --key-file op.key 17.json}
 */
public final class TicketApplyCommand implements Command {
  private static final CommandSpec SPEC =
      new CommandSpec(
          "ticket apply",
          "submit a change ticket; the file contains its number and objects",
          List.of("FILE"),
          CommonOptions.operatorOptions());

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    JsonNode ticket = read(invocation.arguments().get(0));
    if (!ticket.path("number").isIntegralNumber() || ticket.path("number").asLong() < 1) {
      throw new UsageException(
          SPEC, "number is " + ticket.path("number") + "; accepted: a whole number from 1");
    }
    ObjectNode body = Json.object();
    ticket
        .properties()
        .forEach(
            field -> {
              if (!field.getKey().equals("number")) {
                body.set(field.getKey(), field.getValue());
              }
            });
    JsonNode response =
        OperatorClient.of(invocation)
            .put("/v1/tickets/" + ticket.path("number").asLong(), Json.bytes(body));
    ShowCommand.print(response, invocation);
    return ExitCode.OK;
  }

  private static JsonNode read(String file) {
    try {
      return Json.parseObject(Files.readAllBytes(Path.of(file)));
    } catch (IOException unreadable) {
      throw new UsageException(SPEC, "the ticket file '" + file + "' can't be read");
    }
  }
}
