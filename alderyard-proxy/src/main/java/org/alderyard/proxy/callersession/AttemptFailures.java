package org.alderyard.proxy.callersession;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.view.ServerState;

/** Why the attempts of one statement failed. Not thread-safe. */
final class AttemptFailures {
  /**
   * Maximum number of distinct pairs of server and reason in the log line of a refused statement.
   */
  private static final int MAX_LOGGED_REASONS = 12;

  private final Map<String, Integer> counts = new LinkedHashMap<>();
  private Optional<SessionReply> failureReply = Optional.empty();
  private boolean replyLost;

  /**
   * Records why a server did not run the statement, for the log. Each pair of server and reason is
   * stored once, which bounds the map.
   */
  void record(ServerState server, Object reason) {
    String serverAndReason = server.id() + ":" + reason;
    if (counts.containsKey(serverAndReason) || counts.size() < MAX_LOGGED_REASONS) {
      counts.merge(serverAndReason, 1, Integer::sum);
    }
  }

  /** Returns the reasons with their counts, for the log. */
  String reasons() {
    return counts.entrySet().stream()
        .map(entry -> entry.getKey() + "*" + entry.getValue())
        .collect(Collectors.joining(","));
  }

  /** Records that a server may have run the statement without a reply. */
  void recordLostReply() {
    replyLost = true;
  }

  /** Stores the reply of a failed read; returns whether it is the first one. */
  boolean storeReply(SessionReply reply) {
    boolean first = failureReply.isEmpty();
    failureReply = first ? Optional.of(reply) : failureReply;
    return first;
  }

  /**
   * Returns the reply to the caller of a statement that no server will run.
   *
   * @param exact whether a statement that may have run is told apart from one that has not
   */
  SessionReply refusal(String message, TransactionState state, boolean exact) {
    // BUSY guarantees that nothing ran; a server whose reply was lost may have run the read.
    RefusalCode code = replyLost && exact ? RefusalCode.TIMED_OUT : RefusalCode.BUSY;
    return failureReply.orElseGet(() -> SessionReply.refused(code, message, state));
  }
}
