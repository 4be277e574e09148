package org.alderyard.cli.explain;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.junit.jupiter.api.Test;

/** Tests the timeline of a request that is merged from the log lines of several hosts. */
class ExplainCommandTest {

  private static LogLine line(String host, long millis, String message) {
    return LogLine.parse(
        host,
        1,
        "{\"timestamp\":"
            + millis
            + ",\"level\":\"INFO\",\"formattedMessage\":\""
            + message.replace("\"", "\\\"")
            + "\"}");
  }

  @Test
  void timelineIncludesFailoverOfTheRequestsGroup() {
    // The outcome of a write is unknown: one host logs the request, another host logs the failure
    // and the failover of the primary.
    List<LogLine> lines = new ArrayList<>();
    lines.add(line("h1", 1_000, "event=statement-lost id=q7 server=s1 kind=WRITE outcome=UNKNOWN"));
    lines.add(line("h2", 1_600, "event=failover-begin group=g1 primary=s1 server=s1 reason=lost"));
    lines.add(line("h2", 1_500, "event=failover-begin group=g9 primary=s9 reason=lost"));
    lines.add(line("h1", 1_010, "event=statement-ran id=q8 server=s1"));
    lines.add(line("h1", 900, "event=dependency-lost dependency=heartbeat reason=NO_QUORUM"));

    assertThat(
            new RequestTimeline(lines).linesAround("q7", 1_000).stream().map(LogLine::timeMillis))
        .containsExactly(900L, 1_000L, 1_600L)
        .inOrder();
    assertThat(new RequestTimeline(lines).linesAround("q9", 1_000)).isEmpty();
  }

  @Test
  void timelineIncludesLostConnectionsToControlHosts() {
    List<LogLine> lines = new ArrayList<>();
    lines.add(line("h1", 1_000, "event=statement-refused id=q7 database=orders"));
    lines.add(line("h1", 400, "event=handshake-lost peer=/10.0.0.1:7440 reason=\"none in PT1S\""));
    lines.add(line("h1", 500, "event=control-answer call=replace number=7 status=503"));
    lines.add(line("h2", 500, "event=handshake-lost peer=/10.0.0.1:7440 reason=\"none in PT1S\""));

    assertThat(
            new RequestTimeline(lines).linesAround("q7", 1_000).stream().map(LogLine::timeMillis))
        .containsExactly(400L, 500L, 1_000L)
        .inOrder();
  }

  @Test
  void fieldsAreParsedWithAndWithoutQuotes() {
    LogLine line = line("h1", 1, "event=statement-refused id=q1 tried=\"s1:BUSY, s2\" x=y");

    assertThat(line.event()).hasValue("statement-refused");
    assertThat(line.field("id")).hasValue("q1");
    assertThat(line.field("tried")).hasValue("s1:BUSY, s2");
    assertThat(line.field("x")).hasValue("y");
    assertThat(line.field("missing")).isEmpty();
  }

  @Test
  void lineOfAnotherProgramIsRejected() {
    AlderyardException malformed =
        assertThrows(AlderyardException.class, () -> LogLine.parse("h1", 12, "Killed"));

    assertThat(malformed).hasMessageThat().contains("h1:12");
  }
}
