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

/** The log lines about the loss and recovery of a dependency. */
class DependencyLogTest {
  private final ListAppender<ILoggingEvent> appender = new ListAppender<>();
  private final Logger logger = new LoggerContext().getLogger("test");
  private final DependencyLog heartbeat = new DependencyLog(logger, "heartbeat");

  @BeforeEach
  void startAppender() {
    logger.setLevel(Level.INFO);
    appender.start();
    logger.addAppender(appender);
  }

  private List<String> messages() {
    return appender.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
  }

  private static AlderyardException noQuorum(String detail) {
    return AlderyardException.notRun(ErrorCode.NO_QUORUM, detail);
  }

  /**
   * Guards against a line that does not distinguish a stopped host from a network partition or a
   * slow leader.
   */
  @Test
  void lossLineNamesTheTriedHostsAndReasons() {
    heartbeat.recordFailure(noQuorum("tried 10.0.0.1:7440:DEADLINE_EXCEEDED:OUTCOME_UNKNOWN"));

    assertThat(messages())
        .containsExactly(
            "event=dependency-lost dependency=heartbeat reason=NO_QUORUM"
                + " detail=\"tried 10.0.0.1:7440:DEADLINE_EXCEEDED:OUTCOME_UNKNOWN\"");
  }

  @Test
  void furtherFailuresAreCountedAndNotLogged() {
    heartbeat.recordSuccess();
    heartbeat.recordFailure(noQuorum("first"));
    heartbeat.recordFailure(noQuorum("second"));
    heartbeat.recordSuccess();

    assertThat(messages()).hasSize(2);
    assertThat(messages().get(1))
        .isEqualTo("event=dependency-regained dependency=heartbeat failures=2");
  }
}
