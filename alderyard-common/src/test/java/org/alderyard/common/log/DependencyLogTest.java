package org.alderyard.common.log;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Lines about something that a process depends on. */
class DependencyLogTest {
  private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
  private final Logger logger = new LoggerContext().getLogger("test");
  private final DependencyLog heartbeat = new DependencyLog(logger, "heartbeat");

  @BeforeEach
  void collect() {
    logger.setLevel(Level.INFO);
    lines.start();
    logger.addAppender(lines);
  }

  private List<String> texts() {
    return lines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
  }

  private static AlderyardException lost(String detail) {
    return AlderyardException.notRun(ErrorCode.NO_QUORUM, detail);
  }

  /** Guards against a loss whose line does not tell a stopped host from a cut or a slow leader. */
  @Test
  void lineOfLossTellsWhichHostsWereTriedAndWhy() {
    heartbeat.failed(lost("tried 10.0.0.1:7440:DEADLINE_EXCEEDED:OUTCOME_UNKNOWN"));

    assertThat(texts())
        .containsExactly(
            "event=dependency-lost dependency=heartbeat reason=NO_QUORUM"
                + " detail=\"tried 10.0.0.1:7440:DEADLINE_EXCEEDED:OUTCOME_UNKNOWN\"");
  }

  @Test
  void furtherFailuresAreCountedAndNotLogged() {
    heartbeat.worked();
    heartbeat.failed(lost("first"));
    heartbeat.failed(lost("second"));
    heartbeat.worked();

    assertThat(texts()).hasSize(2);
    assertThat(texts().get(1))
        .isEqualTo("event=dependency-regained dependency=heartbeat failures=2");
  }
}
