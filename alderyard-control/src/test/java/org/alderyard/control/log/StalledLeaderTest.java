package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.alderyard.common.id.HostId;
import org.alderyard.testkit.net.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the answers of a leader whose log stalls until another leader has replaced it. */
class StalledLeaderTest {
  private static final int HOSTS = 3;
  private static final int PROPOSALS = 8;

  /** Several heartbeats of the new leader, which carry its entries to the stalled host. */
  private static final Duration MESSAGES_ARRIVE = Duration.ofMillis(300);

  @TempDir Path root;

  private final List<InetSocketAddress> members =
      Stream.generate(FreePorts::nextAddress).limit(HOSTS).toList();
  private final List<LogHost> hosts = new ArrayList<>();

  @BeforeEach
  void start() {
    for (int number = 0; number < HOSTS; number++) {
      HostId host = new HostId("control-" + number);
      hosts.add(new LogHost(host, members.get(number), members, root.resolve(host.value())));
    }
  }

  @AfterEach
  void stop() {
    hosts.forEach(LogHost::endStall);
    hosts.forEach(LogHost::kill);
  }

  private LogHost awaitLeader(Optional<LogHost> except) {
    LogHost.await("a leader", () -> leader(except).isPresent());
    return leader(except).orElseThrow();
  }

  private Optional<LogHost> leader(Optional<LogHost> except) {
    return hosts.stream()
        .filter(host -> !except.equals(Optional.of(host)))
        .filter(host -> host.log().isLeader())
        .findFirst();
  }

  private static List<CompletableFuture<ByteString>> propose(LogHost host, String prefix) {
    List<CompletableFuture<ByteString>> answers = new ArrayList<>();
    for (int number = 0; number < PROPOSALS; number++) {
      answers.add(host.log().propose(ByteString.copyFromUtf8(prefix + number)));
    }
    return answers;
  }

  /** Returns the answer, or empty if the proposal failed. */
  private static Optional<String> answer(CompletableFuture<ByteString> proposal) {
    return proposal
        .handle((reply, failure) -> Optional.ofNullable(reply).map(ByteString::toStringUtf8))
        .join();
  }

  /** Guards against the acknowledgement of a change that no log holds. */
  @Test
  void proposalOfReplacedLeaderIsNotAnsweredByEntryOfNewLeader() {
    LogHost stalled = awaitLeader(Optional.empty());
    stalled.stallLog();
    stalled.log().propose(ByteString.copyFromUtf8("stall"));
    LogHost.await("the stall", stalled::isStalled);
    final List<CompletableFuture<ByteString>> lost = propose(stalled, "lost-");
    LogHost next = awaitLeader(Optional.of(stalled));
    propose(next, "kept-").forEach(CompletableFuture::join);
    long releaseNanos = System.nanoTime() + MESSAGES_ARRIVE.toNanos();
    LogHost.await("messages of the new leader", () -> System.nanoTime() > releaseNanos);

    stalled.endStall();

    for (int number = 0; number < PROPOSALS; number++) {
      Optional<String> answer = answer(lost.get(number));
      assertWithMessage("proposal %s", number)
          .that(answer)
          .isAnyOf(Optional.empty(), Optional.of("answer to lost-" + number));
    }
  }
}
