package org.alderyard.proxy.callersession;

import java.util.concurrent.TimeUnit;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The log lines of one attempt to run a statement on a server. */
final class AttemptLog {
  private static final Logger log = LoggerFactory.getLogger(AttemptLog.class);

  private final SessionContext context;
  private final StatementTask task;
  private final ServerRequirement requirement;
  private final ServerState server;

  AttemptLog(
      SessionContext context,
      StatementTask task,
      ServerRequirement requirement,
      ServerState server) {
    this.context = context;
    this.task = task;
    this.requirement = requirement;
    this.server = server;
  }

  private String id() {
    return task.loggedId();
  }

  /**
   * Records the age of the lookup by which a statement is sent, and logs a statement whose database
   * the current view no longer has, or has in another group.
   */
  void sending(long nowNanos) {
    context.metrics().recordLookupAge(nowNanos - task.lookup().nanos());
    View current = context.views().current();
    boolean sameDatabase =
        current.version().equals(task.lookup().version())
            || current
                .configuration()
                .flatMap(configuration -> configuration.database(task.database().name()))
                .filter(database -> database.group().equals(task.database().group()))
                .isPresent();
    if (!sameDatabase) {
      log.info(
          "event=statement-sent-by-older-view id={} database={} group={} server={} lookup-view={}"
              + " lookup-age-millis={} current-view={}",
          id(),
          task.database().name(),
          task.database().group(),
          server.id(),
          task.lookup().version(),
          task.lookup().ageMillis(nowNanos),
          current.version());
    }
  }

  /** Logs a statement that succeeded, or leaves it out of the sample of such statements. */
  void succeeded(long nowNanos, long sentNanos, int attempts) {
    if (!context.routineLog().shouldLog()) {
      return;
    }
    log.info(
        "event=statement-ran id={} database={} server={} incarnation={} kind={} floor={}"
            + " floor-age-millis={} view={} lookup-view={} lookup-age-millis={} at-server-millis={}"
            + " attempts={} outcome=DONE",
        id(),
        task.database().name(),
        server.id(),
        server.incarnation(),
        task.kind(),
        requirement.floor().map(floor -> floor.position().toString()).orElse("lead"),
        requirement.floor().map(floor -> millis(nowNanos - floor.sinceNanos())).orElse(0L),
        context.views().current().version(),
        task.lookup().version(),
        task.lookup().ageMillis(sentNanos),
        millis(nowNanos - sentNanos),
        attempts);
  }

  /** Logs a statement that failed on the server, or a refusal that no other server can resolve. */
  void failed(RefusalCode code, long nowNanos, long sentNanos, int attempts) {
    log.info(
        "event=statement-failed-at-server id={} database={} server={} incarnation={} kind={}"
            + " code={} at-server-millis={} attempts={}",
        id(),
        task.database().name(),
        server.id(),
        server.incarnation(),
        task.kind(),
        code,
        millis(nowNanos - sentNanos),
        attempts);
  }

  /** Logs a statement whose response did not arrive. */
  void lost(ErrorCode reason, boolean nothingCommitted, long nowNanos, long sentNanos) {
    log.warn(
        "event=statement-lost id={} database={} server={} incarnation={} kind={}"
            + " after-millis={} reason={} outcome={}",
        id(),
        task.database().name(),
        server.id(),
        server.incarnation(),
        task.kind(),
        millis(nowNanos - sentNanos),
        reason,
        nothingCommitted ? "NOT_KEPT" : "OUTCOME_UNKNOWN");
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
