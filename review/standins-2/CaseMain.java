import java.nio.file.Path;

/** Runs a case: {@code CaseMain NAME PROJECT_ROOT RECORD_FILE}; TROUBLE=0 leaves out the trouble. */
public final class CaseMain {
  private static final int HELD = 0;
  private static final int NOT_RUN = 2;
  // Not 1, which the Java runtime returns if it can't start the class.
  private static final int BROKEN = 10;

  private CaseMain() {}

  /** A case, which returns whether the rule held. */
  interface Case {
    boolean run(Path root, Record record, boolean trouble) throws Exception;
  }

  /** Runs the case and exits with 0 if the rule held, 10 if it was broken, 2 if it couldn't run. */
  public static void main(String[] args) throws Exception {
    Record record = new Record(Path.of(args[2]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit;
    try {
      boolean held = find(args[0]).run(Path.of(args[1]), record, trouble);
      record.add("RESULT trouble=%s: the rule %s", trouble, held ? "held" : "was BROKEN");
      exit = held ? HELD : BROKEN;
    } catch (Throwable failure) {
      record.add("RESULT the case couldn't run: %s", failure);
      exit = NOT_RUN;
    }
    System.exit(exit);
  }

  private static Case find(String name) {
    return switch (name) {
      case "replaced-host" -> new ReplacedHostCase();
      case "lost-commit" -> new LostCommitCase();
      case "stale-holder" -> new StaleHolderCase();
      default -> throw new IllegalArgumentException("unknown case " + name);
    };
  }
}
