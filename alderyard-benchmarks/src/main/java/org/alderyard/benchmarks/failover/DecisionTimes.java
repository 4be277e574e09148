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

/** Takes the time of each decision of a failover from its log line. */
final class DecisionTimes extends AppenderBase<ILoggingEvent> {
  private static final Pattern LINE =
      Pattern.compile(
          "event=(failover\\S*) group=(\\S+) term=(\\d+).*?(?:decision=(\\w+) reason=\"(.*)\")?$");

  /** The decisions, in their order; each is logged when the step before it has ended. */
  enum Step {
    AGREED,
    GRANTED,
    FENCED,
    CHOSEN,
    PROMOTED,
    PUBLISHED
  }

  private final Map<String, Map<Step, Long>> times = new ConcurrentHashMap<>();

  /** Starts to listen to the director's log lines. */
  static DecisionTimes install() {
    DecisionTimes times = new DecisionTimes();
    times.start();
    for (String name : new String[] {"FailoverService", "GroupRun"}) {
      ((Logger) LoggerFactory.getLogger("org.alderyard.control.failover." + name))
          .addAppender(times);
    }
    return times;
  }

  /** Returns the wall times of the steps of a group's latest failover. */
  Map<Step, Long> of(String group) {
    return times.getOrDefault(group, Map.of());
  }

  void forget(String group) {
    times.remove(group);
  }

  @Override
  protected void append(ILoggingEvent event) {
    Matcher line = LINE.matcher(event.getFormattedMessage());
    if (!line.matches()) {
      return;
    }
    step(line.group(1), line.group(4), line.group(5))
        .ifPresent(
            step ->
                times
                    .computeIfAbsent(line.group(2), group -> new ConcurrentHashMap<>())
                    .putIfAbsent(step, event.getTimeStamp()));
  }

  private static Optional<Step> step(String event, String decision, String reason) {
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
