package org.alderyard.benchmarks.log;

import java.nio.file.Path;
import org.alderyard.common.time.MonotonicClock;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Measures the replicated log and prints the results as Markdown tables.
 *
 * <pre>{@code
 * LogBenchmark --measure propose|election|restart --folder FOLDER
 * }</pre>
 */
public final class LogBenchmark {
  private static final int USAGE_CODE = 2;
  private static final Options OPTIONS =
      new Options()
          .addOption(Option.builder().longOpt("measure").hasArg().required().get())
          .addOption(Option.builder().longOpt("folder").hasArg().required().get());

  private LogBenchmark() {}

  /** Runs one benchmark; the folder must be empty and on the disk to be measured. */
  public static void main(String[] args) {
    try {
      CommandLine line = new DefaultParser().parse(OPTIONS, args);
      run(line.getOptionValue("measure"), Path.of(line.getOptionValue("folder")));
    } catch (ParseException invalidArguments) {
      System.err.println(invalidArguments.getMessage());
      System.exit(USAGE_CODE);
    } catch (RuntimeException failure) {
      failure.printStackTrace();
      System.exit(1);
    }
    System.exit(0);
  }

  private static void run(String measure, Path folder) throws ParseException {
    MonotonicClock clock = MonotonicClock.system();
    switch (measure) {
      case "propose" -> new ProposeBenchmark(clock, System.out).run(folder);
      case "election" -> new ElectionBenchmark(clock, System.out).run(folder);
      case "restart" -> new RestartBenchmark(clock, System.out).run(folder);
      default ->
          throw new ParseException(
              "--measure is '" + measure + "'; accepted: propose, election, restart");
    }
  }
}
