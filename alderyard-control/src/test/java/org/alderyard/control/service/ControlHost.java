package org.alderyard.control.service;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.control.state.ControlState;
import org.alderyard.control.state.TicketObjects;
import org.alderyard.protocol.generated.control.AnnounceReply;
import org.alderyard.protocol.generated.control.AnnounceRequest;
import org.alderyard.protocol.generated.control.Announcement;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.FetchViewRequest;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.generated.control.ServerReads;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.SubmitTicketRequest;
import org.alderyard.protocol.generated.state.Endpoint;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.Host;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Server;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewFollower;

/** A control host whose service and state run over a {@link FakeLog}. */
final class ControlHost {
  private static final Endpoint ADDRESS =
      Endpoint.newBuilder().setAddress("127.0.0.1").setPort(1).build();

  final FakeLog.Replica log;
  private final WorkerPool workers;
  private final MonotonicClock clock;
  ControlState state;
  ControlService service;

  ControlHost(String name, FakeLog fakeLog, MonotonicClock clock, WorkerPool workers) {
    this.workers = workers;
    this.clock = clock;
    ViewFeed feed = new ViewFeed(workers);
    state = new ControlState(feed::publish);
    log = fakeLog.replica(name, state);
    service = new ControlService(log, state, feed, clock, InstantSource.system());
  }

  /** Discards the state in memory and restarts from a snapshot. */
  void restart() {
    ViewFeed feed = new ViewFeed(workers);
    state = new ControlState(feed::publish);
    log.restart(state);
    service = new ControlService(log, state, feed, clock, InstantSource.system());
  }

  static ObjectState group(String id, int slots) {
    return ObjectState.newBuilder()
        .setGroup(Group.newBuilder().setId(id).setSlotsPerServer(slots).setConnectionsPerServer(99))
        .build();
  }

  SubmitTicketReply submit(long number, ObjectState... objects) {
    return service
        .submit(
            SubmitTicketRequest.newBuilder()
                .setTicket(TicketObjects.ticket(number, List.of(objects)))
                .build())
        .join();
  }

  /** Submits tickets with the numbers 1 to count, each with different limits of the same group. */
  void submitMany(int count) {
    for (int number = 1; number <= count; number++) {
      submit(number, group("g1", 1 + number % 90));
    }
  }

  static Announcement.Builder announcement(String server, long incarnation) {
    return Announcement.newBuilder()
        .setServer(
            Server.newBuilder()
                .setId(server)
                .setIncarnation(incarnation)
                .setGroup("g1")
                .setZone("z")
                .setAddress(ADDRESS))
        .setLeaseMillis(1_500);
  }

  AnnounceReply announce(Announcement.Builder announcement) {
    return service
        .registry()
        .announce(AnnounceRequest.newBuilder().addAnnouncements(announcement).build())
        .join();
  }

  HeartbeatReply heartbeat(String host, long incarnation, ViewFollower follower, boolean leaving) {
    HeartbeatRequest.Builder request =
        heartbeatRequest(host, incarnation)
            .setRunning(StateCodec.versionMessage(follower.view().version()))
            .setLeaving(leaving);
    return service.registry().heartbeat(request.build()).join();
  }

  private static HeartbeatRequest.Builder heartbeatRequest(String host, long incarnation) {
    return HeartbeatRequest.newBuilder()
        .setHost(
            Host.newBuilder()
                .setId(host)
                .setIncarnation(incarnation)
                .setZone("z")
                .setInnerAddress(ADDRESS)
                .setCallerAddress(ADDRESS)
                .setProxy(true));
  }

  /** Sends a heartbeat of a host that shares what it observes of servers. */
  HeartbeatReply share(String host, ServerReads reads) {
    HeartbeatRequest.Builder request = heartbeatRequest(host, 1);
    request.setRunning(StateCodec.versionMessage(ViewFollower.EMPTY.view().version()));
    request.setWantsReads(true).addReads(reads);
    return service.registry().heartbeat(request.build()).join();
  }

  HeartbeatReply heartbeatOfOldIncarnation(String host) {
    return heartbeat(host, 0, ViewFollower.EMPTY, false);
  }

  /** Fetches the update for a proxy with the given view, without waiting. */
  FetchViewReply fetch(ViewFollower follower, String... groups) {
    return service
        .views()
        .fetch(
            FetchViewRequest.newBuilder()
                .setRunning(StateCodec.versionMessage(follower.view().version()))
                .setChainHash(follower.chainHash())
                .addAllGroups(List.of(groups))
                .build())
        .join();
  }

  static ViewFollower.Result accept(ViewFollower follower, FetchViewReply reply) {
    return reply.hasSnapshot()
        ? follower.accept(reply.getSnapshot(), reply.getChainHash())
        : follower.accept(reply.getDeltas());
  }

  static ErrorCode failureCode(Supplier<?> call) {
    try {
      call.get();
    } catch (CompletionException failure) {
      return Futures.toAlderyardException(failure).code();
    }
    throw new AssertionError("expected the call to fail");
  }
}
