import java.nio.file.Path;

/** Runs one scenario: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
final class Scenario {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** One scenario. */
  interface Body {
    /** Returns whether the rule held. */
    boolean run(Path root, Record record, boolean trouble) throws Exception;
  }

  private Scenario() {}

  /** Runs a scenario; the arguments are the repository and the file for the record. */
  static void main(String[] args, Body body) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Record record = new Record(Path.of(args[1]))) {
      record.line("trouble: %s", trouble);
      try {
        code = body.run(Path.of(args[0]).toAbsolutePath(), record, trouble) ? HELD : BROKEN;
      } catch (Exception failure) {
        record.line("the case could not run: %s", failure);
        code = NOT_RUN;
      }
      record.line("result: %s", code == HELD ? "held" : code == BROKEN ? "broken" : "not run");
    }
    System.exit(code);
  }
}
