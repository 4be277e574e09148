import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One review case: a small installation on loopback addresses, its disruption and its check. */
abstract class Scenario {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int CANNOT_RUN = 2;

  private static final int HOSTS = 3;
  private static final long START_LIMIT_MILLIS = 45_000;

  protected RunRecord record;
  protected DatabaseGroup group;
  protected Platform platform;
  protected HostProcesses hosts;
  protected boolean trouble;

  /** Creates the group with its servers. */
  protected abstract DatabaseGroup createGroup() throws IOException;

  /** Returns the routes of the configuration. */
  protected abstract List<String> routes();

  /** Runs the case; returns {@link #HELD}, {@link #BROKEN} or {@link #CANNOT_RUN}. */
  protected abstract int play() throws Exception;

  /** Runs the case with the repository and the folder of the record as arguments. */
  protected final void execute(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[0]).toAbsolutePath();
    Path folder = Path.of(arguments[1]).toAbsolutePath();
    trouble = !"0".equals(System.getenv("TROUBLE"));
    int result;
    Path temporary = Files.createTempDirectory("review");
    record = new RunRecord(folder.resolve("record.txt"));
    try {
      result = run(repository, temporary);
    } catch (Exception failure) {
      record.say("cannot-run", failure);
      failure.printStackTrace();
      result = CANNOT_RUN;
    } finally {
      closeAll();
      record.close();
      delete(temporary);
    }
    System.exit(result);
  }

  private int run(Path repository, Path temporary) throws Exception {
    record.say("start", "trouble", trouble ? 1 : 0);
    group = createGroup();
    platform = new Platform(group, record);
    hosts = new HostProcesses(repository, temporary, HOSTS, platform.promotionAddress(), record);
    // A host that is interrupted ends with this process.
    Runtime.getRuntime().addShutdownHook(new Thread(hosts::close));
    hosts.start();
    platform.start(hosts.controls());
    if (!platform.configure(1, routes(), START_LIMIT_MILLIS)
        || !hosts.awaitReady(START_LIMIT_MILLIS)) {
      record.say("cannot-run", "the hosts did not become ready");
      return CANNOT_RUN;
    }
    record.say("ready");
    TimeUnit.SECONDS.sleep(3);
    int result = play();
    if (!hosts.allRun()) {
      record.say("host-ended", "a host ended by itself");
    }
    record.say(result == BROKEN ? "rule-broken" : result == HELD ? "rule-held" : "cannot-run");
    return result;
  }

  private void closeAll() {
    for (AutoCloseable part : new AutoCloseable[] {hosts, platform, group}) {
      try {
        if (part != null) {
          part.close();
        }
      } catch (Exception failure) {
        record.add("close-failed", failure);
      }
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
