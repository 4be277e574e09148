package org.alderyard.control.service;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.control.log.ControlLog;
import org.alderyard.control.state.ControlState;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.AnnounceReply;
import org.alderyard.protocol.generated.control.AnnounceRequest;
import org.alderyard.protocol.generated.control.Announcement;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.FetchViewRequest;
import org.alderyard.protocol.generated.control.HostRegistration;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.SubmitTicketRequest;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewCodec;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.PeerIdentity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves tickets, announcements and views. */
public final class ControlService {
  private static final Logger log = LoggerFactory.getLogger(ControlService.class);
  private static final int VIEW_LEASE_MILLIS = 3_000;

  private final ControlLog controlLog;
  private final ControlState state;
  private final ViewWaiters waiters;
  private final InstantSource wallClock;

  /** Creates the service over a log and the state that it builds. */
  public ControlService(
      ControlLog controlLog, ControlState state, ViewWaiters waiters, InstantSource wallClock) {
    this.controlLog = controlLog;
    this.state = state;
    this.waiters = waiters;
    this.wallClock = wallClock;
  }

  /** Adds the methods of this service. */
  public void serve(Dispatcher dispatcher) {
    dispatcher
        .serve(ControlMethods.SUBMIT_TICKET, (peer, request) -> submit(request))
        .serve(ControlMethods.ANNOUNCE, (peer, request) -> announce(request))
        .serve(ControlMethods.FETCH_VIEW, this::fetchView);
  }

  /** Orders a ticket. */
  public CompletableFuture<SubmitTicketReply> submit(SubmitTicketRequest request) {
    return propose(Command.newBuilder().setTicket(request.getTicket()))
        .thenApply(ControlService::parseAnswer)
        .thenApply(
            answer -> {
              log.info(
                  "event=ticket number={} conflict={} version={}",
                  answer.getNumber(),
                  answer.getConflict(),
                  answer.getAcceptedVersion().getVersion());
              return SubmitTicketReply.newBuilder().setAnswer(answer).build();
            });
  }

  private static TicketAnswer parseAnswer(ByteString bytes) {
    try {
      return TicketAnswer.parseFrom(bytes);
    } catch (InvalidProtocolBufferException impossible) {
      throw AlderyardException.unknown(ErrorCode.INTERNAL, "ticket answer", impossible);
    }
  }

  private CompletableFuture<AnnounceReply> announce(AnnounceRequest request) {
    AnnounceReply.Builder reply = AnnounceReply.newBuilder();
    List<CompletableFuture<ByteString>> proposals = new ArrayList<>();
    for (Announcement announcement : request.getAnnouncementsList()) {
      ServerState announced = StateCodec.server(announcement.getServer());
      Optional<ServerState> known = state.view().server(announced.id());
      if (known.isPresent() && known.get().incarnation() > announced.incarnation()) {
        reply.addStaleServers(announced.id().value());
      } else if (changes(announcement, announced, known)) {
        proposals.add(propose(Command.newBuilder().setAnnouncement(announcement)));
      }
    }
    return CompletableFuture.allOf(proposals.toArray(CompletableFuture[]::new))
        .thenApply(done -> reply.build());
  }

  private boolean changes(
      Announcement announcement, ServerState announced, Optional<ServerState> known) {
    if (announcement.getPrimary()
        && state.view().group(announced.group()).stream().anyMatch(group -> group.term() == 0)) {
      return true;
    }
    ServerStatus status = announcement.getLeaving() ? ServerStatus.LEAVING : ServerStatus.ACTIVE;
    return known.isEmpty()
        || known.get().status() != status
        || known.get().incarnation() != announced.incarnation()
        || !known.get().address().equals(announced.address());
  }

  private CompletableFuture<FetchViewReply> fetchView(PeerIdentity peer, FetchViewRequest request) {
    HostState host = StateCodec.host(request.getHost());
    Optional<HostState> known =
        Optional.ofNullable(state.view().hosts().get(new HostId(request.getHost().getId())));
    CompletableFuture<?> registered =
        known.isPresent() && known.get().incarnation() >= host.incarnation()
            ? CompletableFuture.completedFuture(null)
            : propose(
                Command.newBuilder()
                    .setHostRegistration(HostRegistration.newBuilder().setHost(request.getHost())));
    ViewVersion running = StateCodec.version(request.getRunning());
    Duration wait = Duration.ofMillis(request.getWaitMillis());
    return registered
        .thenCompose(done -> waiters.newerThan(running, wait))
        .thenApply(view -> viewReply(view));
  }

  private static FetchViewReply viewReply(View view) {
    return FetchViewReply.newBuilder()
        .setSnapshot(ViewCodec.snapshot(view))
        .setLeaseMillis(VIEW_LEASE_MILLIS)
        .build();
  }

  private CompletableFuture<ByteString> propose(Command.Builder command) {
    return controlLog.propose(
        command.setProposedAtMillis(wallClock.millis()).build().toByteString());
  }

  /** Returns the state that this service answers from. */
  public ControlState state() {
    return state;
  }
}
