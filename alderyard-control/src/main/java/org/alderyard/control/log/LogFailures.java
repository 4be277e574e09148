package org.alderyard.control.log;

import java.util.Optional;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.NotLeaderException;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;

/** The errors of requests to a log. */
final class LogFailures {

  private LogFailures() {}

  /** Returns the error of a request to a log that is closed or stopped for the given cause. */
  static AlderyardException stopped(Optional<AlderyardException> cause) {
    return cause
        .map(
            failure ->
                AlderyardException.notRun(
                    failure.code(), "the log of this host stopped: " + failure.getMessage()))
        .orElseGet(
            () -> AlderyardException.notRun(ErrorCode.DRAINING, "the log of this host is closed"));
  }

  static AlderyardException notLeader(LogStatus status, ReplicatedLogOptions options) {
    String leaderHint =
        status.leader().map(HostId::value).map(host -> "; host " + host + " leads").orElse("");
    return new NotLeaderException(
        "this host is not the leader of the log" + leaderHint,
        status.leaderAddress(),
        options.raft().electionTimeoutMinMillis());
  }

  static AlderyardException leadershipLost() {
    return new AlderyardException(
        ErrorCode.NOT_LEADER,
        Outcome.OUTCOME_UNKNOWN,
        "this host lost leadership before the command was committed; another leader may commit"
            + " it");
  }

  static AlderyardException tooLarge(int commandBytes, ReplicatedLogOptions options) {
    return AlderyardException.notRun(
        ErrorCode.REQUEST_TOO_LARGE,
        "the command size of "
            + commandBytes
            + " bytes exceeds the limit of "
            + options.maxCommandBytes());
  }

  static AlderyardException overloaded(int pendingRequests, ReplicatedLogOptions options) {
    return AlderyardException.notRun(
        ErrorCode.OVERLOADED,
        pendingRequests + " requests to the log are pending already",
        options.raft().heartbeatMillis());
  }
}
