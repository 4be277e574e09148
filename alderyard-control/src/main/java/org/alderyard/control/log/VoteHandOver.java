package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.protocol.generated.raft.JoinReply;
import org.alderyard.protocol.generated.raft.JoinRequest;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.Replacement;
import org.alderyard.protocol.wire.PeerLinks;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the leader to give the vote of this replica to a learner before the replica stops.
 *
 * <p>A voter that stops for good would otherwise count until the leader takes it for lost, and the
 * loss of one more disk in that time could end the log.
 */
final class VoteHandOver {
  private static final Logger log = LoggerFactory.getLogger(VoteHandOver.class);

  /** The time between two requests; a change takes two syncs of a majority. */
  private static final long REQUEST_INTERVAL_MILLIS = 30;

  private final PeerLinks links;
  private final WorkerPool workers;
  private final Member self;
  private final ReplicatedLogOptions options;
  private final CompletableFuture<Replacement> result = new CompletableFuture<>();

  VoteHandOver(PeerLinks links, WorkerPool workers, Member self, ReplicatedLogOptions options) {
    this.links = links;
    this.workers = workers;
    this.self = self;
    this.options = options;
  }

  /**
   * Sends requests to the given hosts until the vote is handed over or nobody can take it.
   *
   * @param hosts the inner addresses of the other members
   * @param timeoutMillis the time after which the hand-over is given up
   * @return the last answer of the leader; never fails
   */
  CompletableFuture<Replacement> run(Collection<InetSocketAddress> hosts, long timeoutMillis) {
    result.completeOnTimeout(Replacement.REPLACEMENT_UNKNOWN, timeoutMillis, TimeUnit.MILLISECONDS);
    var requests =
        workers.scheduleRepeatedly(
            Duration.ofMillis(REQUEST_INTERVAL_MILLIS), () -> requestFrom(hosts));
    return result.whenComplete(
        (replacement, failure) -> {
          requests.cancel();
          log.info(
              "event=vote-hand-over-ended replica={} result={}", self.getReplicaId(), replacement);
        });
  }

  private void requestFrom(Collection<InetSocketAddress> hosts) {
    JoinRequest request = JoinRequest.newBuilder().setSelf(self).setLeaving(true).build();
    for (InetSocketAddress host : hosts) {
      links
          .linkTo(host)
          .call(RaftMethods.JOIN, request, options.sendTimeout())
          .thenAccept(this::onReply);
    }
  }

  private void onReply(JoinReply reply) {
    switch (reply.getReplacement()) {
      case REPLACEMENT_DONE, REPLACEMENT_IMPOSSIBLE -> result.complete(reply.getReplacement());
      default -> {
        // Not the leader, or the change is in progress: the next request asks again.
      }
    }
  }
}
