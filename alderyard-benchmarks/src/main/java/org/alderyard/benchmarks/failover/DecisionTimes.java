package org.alderyard.benchmarks.failover;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.LoggerFactory;

/** Records the time of each failover step from the log events of the director. */
final class DecisionTimes extends AppenderBase<ILoggingEvent> {
  private static final Pattern LOG_LINE =
      Pattern.compile(
          "event=(failover\\S*) group=(\\S+) term=(\\d+).*?(?:decision=(\\w+) reason=\"(.*)\")?$");

  /** The steps in order; the log event of a step is written when the previous step has ended. */
  enum Step {
    AGREED,
    GRANTED,
    FENCED,
    CHOSEN,
    PROMOTED,
    PUBLISHED
  }

  private final Map<String, Map<Step, Long>> times = new ConcurrentHashMap<>();

  /** Creates an appender and attaches it to the loggers of the director. */
  static DecisionTimes install() {
    DecisionTimes times = new DecisionTimes();
    times.start();
    for (String name : new String[] {"FailoverService", "GroupRun"}) {
      ((Logger) LoggerFactory.getLogger("org.alderyard.control.failover." + name))
          .addAppender(times);
    }
    return times;
  }

  /**
   * Returns the wall-clock times, in milliseconds, of the steps recorded for a group since the last
   * {@link #clear}.
   */
  Map<Step, Long> of(String group) {
    return times.getOrDefault(group, Map.of());
  }

  void clear(String group) {
    times.remove(group);
  }

  @Override
  protected void append(ILoggingEvent event) {
    Matcher line = LOG_LINE.matcher(event.getFormattedMessage());
    if (!line.matches()) {
      return;
    }
    stepOf(line.group(1), line.group(4), line.group(5))
        .ifPresent(
            step ->
                times
                    .computeIfAbsent(line.group(2), group -> new ConcurrentHashMap<>())
                    .putIfAbsent(step, event.getTimeStamp()));
  }

  private static Optional<Step> stepOf(String event, String decision, String reason) {
    if (event.equals("failover-start")) {
      return Optional.of(Step.AGREED);
    }
    if (decision == null) {
      return Optional.empty();
    }
    return switch (decision) {
      case "Fence" -> Optional.of(Step.GRANTED);
      case "Promote" -> Optional.of(Step.CHOSEN);
      case "Follow" -> Optional.of(Step.PUBLISHED);
      case "Propose" -> Optional.of(reason.equals("majority-fenced") ? Step.FENCED : Step.PROMOTED);
      default -> Optional.empty();
    };
  }
}
