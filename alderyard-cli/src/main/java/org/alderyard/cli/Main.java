package org.alderyard.cli;

import java.io.PrintStream;
import java.util.List;
import org.alderyard.cli.command.CheckSettingsCommand;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandLineTool;
import org.alderyard.cli.command.TokenInspectCommand;
import org.alderyard.cli.demo.DemoCommand;
import org.alderyard.cli.explain.ExplainCommand;
import org.alderyard.cli.load.LoadCommand;
import org.alderyard.cli.operator.ConfigurationCheckCommand;
import org.alderyard.cli.operator.DrainCommand;
import org.alderyard.cli.operator.ShowCommand;
import org.alderyard.cli.operator.TicketApplyCommand;
import org.alderyard.cli.prove.ProveCommand;
import org.alderyard.cli.prove.SoakCommand;

/** Entry point of the {@code alderyard} command line. */
public final class Main {

  private Main() {}

  /** Runs a sub-command and exits the process with the exit code of the sub-command. */
  public static void main(String[] args) {
    System.exit(commandLine(System.out, System.err).run(args).number());
  }

  static CommandLineTool commandLine(PrintStream out, PrintStream err) {
    return new CommandLineTool("alderyard", commands(), out, err);
  }

  private static List<Command> commands() {
    return List.of(
        new TicketApplyCommand(),
        new ShowCommand(
            "ticket show", "show the response to a ticket", List.of("NUMBER"), "/v1/tickets/{}"),
        new ShowCommand("ticket list", "list the tickets", List.of(), "/v1/tickets"),
        new ShowCommand("status", "show the status of the system", List.of(), "/v1/status"),
        new ShowCommand("pools", "list the pools", List.of(), "/v1/pools"),
        new ShowCommand("groups", "list the database groups", List.of(), "/v1/groups"),
        new ShowCommand("servers", "list the backend servers", List.of(), "/v1/servers"),
        new ShowCommand("hosts", "list the hosts of the system", List.of(), "/v1/hosts"),
        new DrainCommand(),
        new ConfigurationCheckCommand(),
        new TokenInspectCommand(),
        new CheckSettingsCommand(),
        new ExplainCommand(),
        new LoadCommand(),
        new DemoCommand(),
        new ProveCommand(),
        new SoakCommand());
  }
}
