package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.control.failover.FailoverTable;
import org.alderyard.control.log.EntryRefusedException;
import org.alderyard.protocol.generated.state.ViewDeltas;
import org.alderyard.protocol.view.ViewCodec;
import org.alderyard.protocol.view.ViewFollower;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random commands on two replicas, one of which is restored from its snapshot now and then.
 *
 * <p>More seeds: {@code -Dcontrol-state.first-seed=1000 -Dcontrol-state.seeds=200}.
 */
class ControlStateFuzzTest {
  private static final long FIRST_SEED = Long.getLong("control-state.first-seed", 1);
  private static final int SEEDS = Integer.getInteger("control-state.seeds", 8);
  private static final int COMMANDS = 400;
  private static final int MAX_TICKETS = 20;
  private static final int COMMANDS_PER_RESTORE = 25;

  private ControlState first = state();
  private ControlState second = state();
  private ViewFollower follower = ViewFollower.EMPTY;
  private String step = "";

  private ControlState state() {
    return new ControlState(this::follow, new FailoverTable(), MAX_TICKETS);
  }

  /** Follows the first replica; the second one sends the same deltas, which are late by then. */
  private void follow(ViewChange change) {
    ViewDeltas.Builder deltas = ViewDeltas.newBuilder();
    change.delta().ifPresent(deltas::addDeltas);
    ViewFollower.Result result = follower.accept(deltas.build());
    assertWithMessage(step).that(result.needsSnapshot()).isFalse();
    follower = result.follower();
  }

  private static LongStream seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
  }

  /**
   * Guards against an entry of the log at which control hosts end, or after which their states
   * differ.
   */
  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void replicasStayEqualUnderAnyCommands(long seed) {
    Random random = new Random(seed);
    CommandFuzzer fuzzer = new CommandFuzzer(random);
    for (int index = 1; index <= COMMANDS; index++) {
      step = "seed " + seed + " index " + index;
      applyToBoth(index, fuzzer.next());
      if (random.nextInt(COMMANDS_PER_RESTORE) == 0) {
        second = restored(index);
      }
    }
  }

  private void applyToBoth(long index, ByteString command) {
    final ByteString before = first.snapshot();
    Optional<AlderyardException> checkFailure = failure(() -> first.check(command));
    Optional<AlderyardException> refusal = failure(() -> first.apply(index, command));
    Optional<AlderyardException> secondRefusal = failure(() -> second.apply(index, command));

    assertWithMessage(step)
        .that(secondRefusal.map(Throwable::getMessage))
        .isEqualTo(refusal.map(Throwable::getMessage));
    // What passes the check of the leader can be applied, and the other way round.
    assertWithMessage("%s %s", step, refusal)
        .that(refusal.isPresent())
        .isEqualTo(checkFailure.isPresent());
    ByteString after = first.snapshot();
    assertWithMessage(step).that(second.snapshot()).isEqualTo(after);
    if (refusal.isPresent()) {
      assertWithMessage(step).that(after).isEqualTo(before);
    }
    assertWithMessage(step)
        .that(ViewCodec.snapshot(follower.view()))
        .isEqualTo(ViewCodec.snapshot(first.view()));
    readTables();
  }

  /** Returns the expected failure; any other one fails the test. */
  private Optional<AlderyardException> failure(Runnable call) {
    try {
      call.run();
      return Optional.empty();
    } catch (EntryRefusedException refused) {
      return Optional.of(refused);
    } catch (AlderyardException damaged) {
      assertWithMessage(step).that(damaged.code()).isEqualTo(ErrorCode.STORAGE_DAMAGED);
      return Optional.of(damaged);
    } catch (RuntimeException | Error thrown) {
      throw new AssertionError(step, thrown);
    }
  }

  /** Reads as the leader's services do; none of this may throw. */
  private void readTables() {
    first.newestTickets(MAX_TICKETS);
    first.pendingPromotion(new GroupId("g1"));
    first.mayLackCommits(new ServerId("s1"));
    first.reportsPrimaryRole("s1");
  }

  private ControlState restored(long index) {
    ByteString snapshot = second.snapshot();
    ControlState restored = state();
    restored.restore(index, snapshot);
    assertWithMessage(step).that(restored.snapshot()).isEqualTo(snapshot);
    return restored;
  }
}
