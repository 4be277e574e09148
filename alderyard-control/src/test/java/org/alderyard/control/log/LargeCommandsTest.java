package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.alderyard.common.id.HostId;
import org.alderyard.common.time.ManualClock;
import org.alderyard.control.raft.Membership;
import org.alderyard.control.raft.RaftCore;
import org.alderyard.control.store.DataFolder;
import org.alderyard.control.store.RecoveredState;
import org.alderyard.control.store.ReplicaStore;
import org.alderyard.protocol.generated.raft.Member;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a single replica with default options to which hundreds of large commands are sent. */
class LargeCommandsTest {
  private static final int COMMANDS = 400;
  private static final int COMMAND_BYTES = 140 * 1024;
  private static final long MAX_MEMORY_BYTES = 8L * 1024 * 1024;
  private static final long MAX_DISK_BYTES = 16L * 1024 * 1024;
  private static final Member SELF = Member.newBuilder().setReplicaId(1).setVoter(true).build();
  private static final Membership MEMBERSHIP = new Membership(List.of(SELF));

  /** A state that consists of the last command. */
  private static final class LastCommand implements StateMachine {
    private ByteString state = ByteString.EMPTY;
    private int snapshots;

    @Override
    public ByteString apply(long index, ByteString command) {
      state = command;
      return ByteString.EMPTY;
    }

    @Override
    public ByteString snapshot() {
      snapshots++;
      return state;
    }

    @Override
    public void restore(long index, ByteString snapshot) {
      state = snapshot;
    }
  }

  @TempDir Path root;

  private final ReplicatedLogOptions options = ReplicatedLogOptions.defaults();
  private final ManualClock clock = new ManualClock();
  private final SerialLoop loop =
      new SerialLoop(
          Runnable::run,
          () -> {},
          failure -> {
            throw new AssertionError(failure);
          });
  private LastCommand state;
  private DataFolder folder;
  private RaftCore core;
  private LogDriver driver;

  @BeforeEach
  void start() {
    folder = DataFolder.open(root, "c1", new HostId("control-1"), new SplittableRandom(1));
    ReplicaStore store = new ReplicaStore(folder, MEMBERSHIP);
    RecoveredState recovered = store.recovered();
    core =
        new RaftCore(
            SELF.getReplicaId(),
            options.raft(),
            recovered.hardState(),
            recovered.snapshot(),
            recovered.entries(),
            new SplittableRandom(1),
            clock.nowMillis());
    state = new LastCommand();
    // The only replica sends no messages, so the transport needs no links.
    RaftTransport transport =
        new RaftTransport(null, loop, options, SELF, id -> Optional.empty(), id -> {});
    PendingRequests pending = new PendingRequests(Runnable::run);
    driver =
        new LogDriver(core, store, state, transport, pending, options, loop, Runnable::run, clock);
    core.tick(clock.nowMillis() + options.raft().electionTimeoutMaxMillis());
    driver.performEffects();
  }

  @AfterEach
  void stop() {
    driver.close();
    folder.close();
  }

  private static ByteString command(int number) {
    byte[] bytes = new byte[COMMAND_BYTES];
    new SplittableRandom(number).nextBytes(bytes);
    return ByteString.copyFrom(bytes);
  }

  private long diskBytes() throws IOException {
    try (Stream<Path> files = Files.list(root)) {
      return files.mapToLong(file -> file.toFile().length()).sum();
    }
  }

  /** Guards against a heap and a disk that hundreds of large configurations fill. */
  @Test
  void historyIsBoundedInMemoryAndOnDisk() throws IOException {
    for (int number = 1; number <= COMMANDS; number++) {
      assertThat(core.propose(command(number)).isPresent()).isTrue();
      driver.performEffects();

      assertThat(core.retained().bytes()).isLessThan(MAX_MEMORY_BYTES);
      assertThat(diskBytes()).isLessThan(MAX_DISK_BYTES);
    }
    assertThat(state.state).isEqualTo(command(COMMANDS));
  }

  /** The state of 140 KiB is written once for at least 2 MiB of commands. */
  @Test
  void snapshotsTakeSmallPartOfWrites() {
    for (int number = 1; number <= COMMANDS; number++) {
      core.propose(command(number));
      driver.performEffects();
    }

    assertThat(state.snapshots).isAtLeast(1);
    assertThat(state.snapshots).isAtMost(COMMANDS * COMMAND_BYTES / (2 * 1024 * 1024) + 1);
  }

  /** Guards against a restart that loses what the trimmed log no longer holds. */
  @Test
  void restartContinuesFromSnapshotAndLog() {
    for (int number = 1; number <= COMMANDS / 4; number++) {
      core.propose(command(number));
      driver.performEffects();
    }
    final long lastIndex = core.lastIndex();
    stop();

    start();

    assertThat(core.lastIndex()).isEqualTo(lastIndex + 1);
    assertThat(state.state).isEqualTo(command(COMMANDS / 4));
  }
}
