package org.alderyard.control.service;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.control.state.ViewChange;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.ViewDelta;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewChain;
import org.alderyard.protocol.view.ViewCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which deltas the feed keeps for hosts that lag. */
class ViewFeedTest {
  private static final int CHANGES = 200;
  private static final int SOURCE_BYTES = 140 * 1024;

  private final WorkerPool workers = new WorkerPool("test", 1);
  private final ViewFeed feed = new ViewFeed(workers);
  private final List<ViewChange> published = new ArrayList<>();
  private ViewChange current = new ViewChange(View.EMPTY, ViewChain.START, Optional.empty());

  @AfterEach
  void stop() {
    workers.close();
  }

  private void publish(int number, int sourceBytes) {
    ObjectState changed =
        ObjectState.newBuilder()
            .setConfiguration(
                Configuration.newBuilder()
                    .setNumber(number)
                    .setSource(ByteString.copyFrom(new byte[sourceBytes])))
            .build();
    ViewVersion next = new ViewVersion(1, number);
    ViewDelta delta =
        ViewChain.link(
            current.chainHash(),
            StateCodec.versionMessage(current.view().version()),
            StateCodec.versionMessage(next),
            List.of(changed));
    View view = ViewCodec.apply(current.view(), next, List.of(changed));
    current = new ViewChange(view, delta.getChainHash(), Optional.of(delta));
    published.add(current);
    feed.publish(current);
  }

  private ViewUpdate updateFor(ViewChange running) {
    return feed.awaitUpdate(running.view().version(), running.chainHash(), Duration.ZERO).join();
  }

  /** Guards against a heap that the deltas of hundreds of large configurations fill. */
  @Test
  void deltasAreBoundedByBytes() {
    for (int number = 1; number <= CHANGES; number++) {
      publish(number, SOURCE_BYTES);
    }

    long servedBytes =
        published.stream()
            .filter(running -> !updateFor(running).needsSnapshot())
            .mapToLong(change -> change.delta().orElseThrow().getSerializedSize())
            .sum();
    assertThat(servedBytes).isAtMost(ViewFeed.MAX_DELTA_BYTES + 2 * SOURCE_BYTES);
    assertThat(updateFor(published.get(0)).needsSnapshot()).isTrue();
  }

  /** A host that lacks a few large changes must not need the leader. */
  @Test
  void hostSlightlyBehindGetsDeltasOfLargeChanges() {
    for (int number = 1; number <= CHANGES; number++) {
      publish(number, SOURCE_BYTES);
    }

    ViewUpdate update = updateFor(published.get(CHANGES - 6));

    assertThat(update.needsSnapshot()).isFalse();
    assertThat(update.deltas()).hasSize(5);
  }

  @Test
  void newestDeltaIsKeptWhateverItsSize() {
    publish(1, 100);
    publish(2, (int) ViewFeed.MAX_DELTA_BYTES + 1);

    assertThat(updateFor(published.get(0)).deltas()).hasSize(1);
  }

  @Test
  void smallDeltasAreBoundedByNumber() {
    for (int number = 1; number <= ViewFeed.MAX_DELTAS + 10; number++) {
      publish(number, 1);
    }

    assertThat(updateFor(published.get(8)).needsSnapshot()).isTrue();
    assertThat(updateFor(published.get(9)).needsSnapshot()).isFalse();
  }
}
