package org.alderyard.proxy.view;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Server;
import org.alderyard.protocol.generated.state.ViewDeltas;
import org.alderyard.protocol.generated.state.ViewSnapshot;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewChain;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A host goes on to follow the views after one that it can't read or act on. */
class ViewLoopTest {
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 7_000);
  private static final int SOURCE = 1;
  private static final int INTERVAL_MILLIS = 750;
  private static final ObjectState ODD_SERVER =
      ObjectState.newBuilder().setServer(Server.newBuilder().setId("a b")).build();

  private final ManualTimer timer = new ManualTimer();
  private final FakeViewControl control = new FakeViewControl();
  private final ViewHolder holder = new ViewHolder();
  private final HostState self =
      new HostState(new HostId("h1"), 1, new ZoneName("z0"), ADDRESS, ADDRESS, true, false, false);
  private final ViewClient client =
      new ViewClient(control, SOURCE, self, holder, timer, timer.clock, timer.wallClock);

  @BeforeEach
  void receiveFirstView() {
    client.start();
    timer.advance(0);
    control.pending().get(0).reply().complete(control.firstView());
    timer.advance(0);
    control.confirm(1);
  }

  private static FetchViewReply oddDelta() {
    return FetchViewReply.newBuilder()
        .setDeltas(
            ViewDeltas.newBuilder()
                .addDeltas(
                    ViewChain.link(
                        ViewChain.START,
                        StateCodec.versionMessage(FakeViewControl.version(1)),
                        StateCodec.versionMessage(FakeViewControl.version(2)),
                        List.of(ODD_SERVER))))
        .build();
  }

  private void answerFetch(FetchViewReply reply) {
    control.pending().get(0).reply().complete(reply);
    timer.advance(INTERVAL_MILLIS);
  }

  private void assertFollows(long version) {
    assertThat(control.pending()).hasSize(1);
    answerFetch(control.change(version));
    assertThat(holder.current().version()).isEqualTo(FakeViewControl.version(version));
  }

  /** Guards against a host that fetches no view any more after one that it can't read. */
  @Test
  void fetchesContinueAfterUnreadableDelta() {
    answerFetch(oddDelta());

    assertThat(holder.current().version()).isEqualTo(FakeViewControl.version(1));
    assertThat(client.unreadableViews()).isEqualTo(1);
    assertThat(control.pending().get(0).index()).isEqualTo(SOURCE + 1);
    assertFollows(2);
  }

  /** The same with a whole view. */
  @Test
  void fetchesContinueAfterUnreadableSnapshot() {
    answerFetch(
        FetchViewReply.newBuilder()
            .setSnapshot(
                ViewSnapshot.newBuilder()
                    .setVersion(StateCodec.versionMessage(FakeViewControl.version(9)))
                    .addObjects(ODD_SERVER))
            .build());

    assertThat(holder.current().version()).isEqualTo(FakeViewControl.version(1));
    assertFollows(2);
  }

  /** Guards against a view that the listeners after a failing one never receive. */
  @Test
  void viewReachesListenersAfterFailingOne() {
    List<ViewVersion> received = new ArrayList<>();
    holder.onChange(
        view -> {
          throw new IllegalStateException("listener of the test");
        });
    holder.onChange(view -> received.add(view.version()));

    answerFetch(control.change(2));

    assertThat(received).containsExactly(FakeViewControl.version(2));
    assertThat(holder.failedListeners()).isEqualTo(1);
    assertFollows(3);
  }

  /** Guards against a view that is lost with an Error, such as an exhausted stack. */
  @Test
  void fetchesContinueAfterErrorOfListener() {
    holder.onChange(
        view -> {
          throw new StackOverflowError("listener of the test");
        });

    answerFetch(control.change(2));

    assertFollows(3);
  }

  /** Guards against a host that sends no heartbeat any more after a reply that it can't process. */
  @Test
  void heartbeatsContinueAfterFailingListener() {
    client.onLeaseConfirmed(
        () -> {
          throw new IllegalStateException("listener of the test");
        });
    timer.advance(INTERVAL_MILLIS);
    control.confirm(1);
    final int before = control.heartbeats.size();

    timer.advance(INTERVAL_MILLIS);

    assertThat(control.heartbeats.size()).isGreaterThan(before);
    control.confirm(1);
    assertThat(client.leaseValid()).isTrue();
  }

  /** Guards against a host that sends no heartbeat any more after a request that it can't build. */
  @Test
  void heartbeatsContinueAfterFailingExtension() {
    client.extendHeartbeats(
        new HeartbeatExtension() {
          private boolean failed;

          @Override
          public void addTo(HeartbeatRequest.Builder request) {
            if (!failed) {
              failed = true;
              throw new IllegalStateException("extension of the test");
            }
          }

          @Override
          public void onReply(HeartbeatReply reply) {}
        });
    final int before = control.heartbeats.size();

    timer.advance(2 * INTERVAL_MILLIS);

    assertThat(control.heartbeats.size()).isGreaterThan(before);
  }
}
