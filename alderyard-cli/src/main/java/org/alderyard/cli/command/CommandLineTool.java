package org.alderyard.cli.command;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.daemon.ExitCode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.ParseException;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Selects and runs the sub-command of a command line, and prints help and errors. */
public final class CommandLineTool {
  private static final int HELP_WIDTH = 100;

  private final String program;
  private final List<Command> commands;
  private final PrintStream out;
  private final PrintStream err;

  /** Creates a command line with the given program name and sub-commands. */
  public CommandLineTool(String program, List<Command> commands, PrintStream out, PrintStream err) {
    this.program = program;
    this.commands = List.copyOf(commands);
    this.out = out;
    this.err = err;
  }

  /** Runs the sub-command that the arguments select; failures are reported as exit codes. */
  public ExitCode run(String... args) {
    if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
      printOverview(out);
      return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
    }
    try {
      return runCommand(List.of(args));
    } catch (UsageException exception) {
      err.println(program + ": " + exception.getMessage());
      exception.spec().ifPresent(spec -> printHelp(spec, err));
      return ExitCode.USAGE;
    } catch (AlderyardException failure) {
      err.println(program + ": " + failure.code() + ": " + failure.getMessage());
      return exitCode(failure.code());
    }
  }

  private ExitCode runCommand(List<String> args) {
    Command command = findCommand(args).orElseThrow(() -> unknownCommand(args));
    CommandSpec spec = command.spec();
    List<String> remaining = args.subList(spec.words().size(), args.size());
    if (remaining.contains("--help")) {
      printHelp(spec, out);
      return ExitCode.OK;
    }
    CommandLine line = parse(spec, remaining);
    List<String> arguments = line.getArgList();
    if (arguments.size() != spec.arguments().size()) {
      throw new UsageException(
          spec, "got " + arguments.size() + " arguments; accepted: " + argumentText(spec, "none"));
    }
    return command.run(new Invocation(spec, line, arguments, out, err));
  }

  private static CommandLine parse(CommandSpec spec, List<String> remaining) {
    try {
      return new DefaultParser().parse(spec.options(), remaining.toArray(String[]::new));
    } catch (ParseException exception) {
      throw new UsageException(spec, exception.getMessage());
    }
  }

  private Optional<Command> findCommand(List<String> args) {
    return commands.stream()
        .filter(
            command -> {
              List<String> words = command.spec().words();
              return args.size() >= words.size() && args.subList(0, words.size()).equals(words);
            })
        .findFirst();
  }

  private UsageException unknownCommand(List<String> args) {
    String given =
        args.size() > 1 && !args.get(1).startsWith("-")
            ? args.get(0) + " " + args.get(1)
            : args.get(0);
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    String nearest =
        commands.stream()
            .map(command -> command.spec().name())
            .min(
                Comparator.comparingInt(
                    name ->
                        Math.min(distance.apply(name, given), distance.apply(name, args.get(0)))))
            .orElseThrow();
    return new UsageException(
        "no sub-command '" + given + "'; the nearest is '" + nearest + "', --help lists all");
  }

  private void printOverview(PrintStream stream) {
    stream.println("usage: " + program + " SUB-COMMAND [OPTIONS]");
    stream.println();
    for (Command command : commands) {
      stream.printf("  %-16s %s%n", command.spec().name(), command.spec().summary());
    }
    stream.println();
    stream.println(program + " SUB-COMMAND --help shows its options.");
  }

  private void printHelp(CommandSpec spec, PrintStream stream) {
    PrintWriter writer = new PrintWriter(stream, true, StandardCharsets.UTF_8);
    writer.println(
        "usage: " + program + " " + spec.name() + " [OPTIONS] " + argumentText(spec, ""));
    writer.println(spec.summary());
    for (Option option : spec.options().getOptions()) {
      String value = option.hasArg() ? " " + option.getArgName() : "";
      String text = "  --" + option.getLongOpt() + value;
      writer.printf("%-32s %s%n", text, wrap(option.getDescription()));
    }
    writer.flush();
  }

  private static String wrap(String text) {
    int width = HELP_WIDTH - 33;
    return org.apache.commons.text.WordUtils.wrap(
        String.valueOf(text), width, System.lineSeparator() + " ".repeat(33), false);
  }

  private static String argumentText(CommandSpec spec, String emptyText) {
    return spec.arguments().isEmpty() ? emptyText : String.join(" ", spec.arguments());
  }

  private static ExitCode exitCode(ErrorCode code) {
    return switch (code) {
      case SETTINGS_INVALID -> ExitCode.SETTINGS;
      case STORAGE_DAMAGED, STORAGE_FAILED -> ExitCode.STORAGE;
      case CONNECTION_LOST, DEADLINE_EXCEEDED -> ExitCode.UNREACHABLE;
      default -> ExitCode.FAILED;
    };
  }
}
