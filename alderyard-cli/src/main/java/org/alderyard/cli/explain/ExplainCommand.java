package org.alderyard.cli.explain;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.alderyard.cli.command.Command;
import org.alderyard.cli.command.CommandSpec;
import org.alderyard.cli.command.CommonOptions;
import org.alderyard.cli.command.Invocation;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.daemon.ExitCode;
import org.apache.commons.cli.Options;

/**
 * Prints the log lines of several processes that explain how one request was handled.
 *
 * <pre>alderyard explain --request 5c0e7a21d94b36f8 LOG-FOLDER</pre>
 */
public final class ExplainCommand implements Command {
  /** Long enough to include a failover and its cause before or after a request. */
  private static final long DEFAULT_MARGIN_MILLIS = 3_000;

  private static final CommandSpec SPEC =
      new CommandSpec(
          "explain",
          "print the log lines in a folder that explain one request",
          List.of("FOLDER"),
          new Options()
              .addOption(CommonOptions.valued("request", "ID", "the request's id"))
              .addOption(
                  CommonOptions.valued(
                      "margin-millis",
                      "N",
                      "time shown before and after the request; default 3000"))
              .addOption(
                  CommonOptions.flag(
                      "strict", "fail at a line that is not a log line of alderyardd")));

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    String request = invocation.requiredOption("request");
    long margin = invocation.numberOption("margin-millis", DEFAULT_MARGIN_MILLIS, 0, 3_600_000);
    List<LogLine> lines = new ArrayList<>();
    int skipped = 0;
    for (Path file : files(Path.of(invocation.arguments().get(0)))) {
      skipped += read(file, invocation.hasOption("strict"), lines);
    }
    if (skipped > 0) {
      invocation.err().println(skipped + " lines are not log lines of alderyardd and were skipped");
    }
    List<LogLine> timeline = new RequestTimeline(lines).linesAround(request, margin);
    if (timeline.isEmpty()) {
      invocation.err().println("no log line contains request " + request);
      return ExitCode.FAILED;
    }
    timeline.forEach(
        line ->
            invocation
                .out()
                .printf(
                    "%s %-24s %s%n",
                    Instant.ofEpochMilli(line.timeMillis()), line.source(), line.message()));
    return ExitCode.OK;
  }

  private static List<Path> files(Path folder) {
    try (var entries = Files.list(folder)) {
      return entries.filter(Files::isRegularFile).sorted().toList();
    } catch (IOException unreadable) {
      throw AlderyardException.notRun(
          ErrorCode.BAD_REQUEST, "the folder '" + folder + "' can't be read: " + unreadable);
    }
  }

  private static int read(Path file, boolean strict, List<LogLine> lines) {
    String source = file.getFileName().toString().replaceFirst("\\.[a-z]+$", "");
    List<String> texts;
    try {
      texts = Files.readAllLines(file);
    } catch (IOException unreadable) {
      throw AlderyardException.notRun(
          ErrorCode.BAD_REQUEST, "the file '" + file + "' can't be read: " + unreadable);
    }
    int skipped = 0;
    for (int i = 0; i < texts.size(); i++) {
      try {
        lines.add(LogLine.parse(source, i + 1, texts.get(i)));
      } catch (AlderyardException malformed) {
        if (strict) {
          throw malformed;
        }
        skipped++;
      }
    }
    return skipped;
  }
}
