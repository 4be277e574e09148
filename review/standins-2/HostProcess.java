import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One host of the system, started with the command and the settings template of the deploy file.
 *
 * <p>The platform's settings are rendered into the template as the platform does: values, and
 * sections that are shown if their value is present.
 */
final class HostProcess {
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([a-z_.0-9]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
  private static final Pattern VALUE = Pattern.compile("\\{\\{([a-z_.0-9]+)}}");
  private static final String SETTINGS_PATH = "/etc/alderyard/settings.toml";

  /** The variables of the caller that the platform passes on. */
  private static final Set<String> PASSED_VARIABLES = Set.of("PATH", "HOME", "JAVA_HOME", "LANG");

  private final String name;
  private final String ip;
  private final Path root;
  private final Path folder;
  private final Map<String, String> values;
  private Process process;

  HostProcess(String name, String ip, Path root, Path folder, Map<String, String> values) {
    this.name = name;
    this.ip = ip;
    this.root = root;
    this.folder = folder;
    this.values = new HashMap<>(values);
  }

  String name() {
    return name;
  }

  String ip() {
    return ip;
  }

  /** Writes the settings and starts the process. */
  void start() throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Path settings = folder.resolve(name + ".ini");
    String template = Files.readString(root.resolve(field(deploy, "template")));
    Files.writeString(settings, render(template));
    List<String> command =
        new ArrayList<>(Arrays.asList(field(deploy, "run").split(" ")));
    command.replaceAll(word -> word.equals(SETTINGS_PATH) ? settings.toString() : word);
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().keySet().retainAll(PASSED_VARIABLES);
    Matcher key = Pattern.compile("(ALDERYARD_CLUSTER_KEY) = \"([^\"]*)\"").matcher(deploy);
    if (key.find()) {
      builder.environment().put(key.group(1), key.group(2));
    }
    File log = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
  }

  private static String field(String deploy, String field) {
    Matcher matcher =
        Pattern.compile("^" + field + " = \"([^\"]*)\"", Pattern.MULTILINE).matcher(deploy);
    if (!matcher.find()) {
      throw new IllegalStateException("the deploy file has no " + field);
    }
    return matcher.group(1);
  }

  private String render(String template) {
    String text = template;
    for (Matcher section = SECTION.matcher(text); section.find(); section = SECTION.matcher(text)) {
      String value = values.get(section.group(1));
      String shown = value == null ? "" : section.group(2).replace("{{.}}", value);
      text = text.substring(0, section.start()) + shown + text.substring(section.end());
    }
    return VALUE
        .matcher(text)
        .replaceAll(
            value -> Matcher.quoteReplacement(values.getOrDefault(value.group(1), "")));
  }

  /** Makes the next starts happen with {@code bootstrap} false. */
  void setNotFirstStart() {
    values.put("bootstrap", "false");
  }

  /** Removes all files of the host's data folder. */
  void emptyDisk() throws IOException {
    Path data = Path.of(values.get("data_dir"));
    try (var files = Files.walk(data)) {
      files
          .sorted(Comparator.reverseOrder())
          .filter(file -> !file.equals(data))
          .forEach(file -> file.toFile().delete());
    }
  }

  /** Sends SIGTERM, and SIGKILL after the grace time. */
  void terminate(long graceMillis) throws InterruptedException {
    process.destroy();
    if (!process.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
      end();
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Sends a signal, such as STOP or CONT, to the process. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Ends the process, also when it is stopped. */
  void end() {
    if (process == null) {
      return;
    }
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
