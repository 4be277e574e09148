package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.TermStart;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.control.log.StateMachine;
import org.alderyard.protocol.generated.control.Announcement;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Status;
import org.alderyard.protocol.generated.state.ViewSnapshot;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewCodec;

/** The control state that committed commands build; the same commands give the same state. */
public final class ControlState implements StateMachine {
  private static final long EPOCH = 1;

  private final Consumer<View> onChange;
  private final Map<Long, TicketAnswer> tickets = new TreeMap<>();
  private volatile View view = View.EMPTY;

  /** Creates the empty state; the listener gets each new view, in order. */
  public ControlState(Consumer<View> onChange) {
    this.onChange = onChange;
  }

  /** Returns the current view. */
  public View view() {
    return view;
  }

  /** Returns the answer that a ticket got, if its number was accepted. */
  public synchronized Optional<TicketAnswer> ticket(long number) {
    return Optional.ofNullable(tickets.get(number));
  }

  @Override
  public synchronized ByteString apply(long index, ByteString bytes) {
    Command command;
    try {
      command = Command.parseFrom(bytes);
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.notRun(
          ErrorCode.STORAGE_DAMAGED, "log entry " + index + " can't be read");
    }
    return switch (command.getCommandCase()) {
      case TICKET -> applyTicket(index, command.getTicket()).toByteString();
      case ANNOUNCEMENT -> applyAnnouncement(index, command.getAnnouncement());
      case HOST_REGISTRATION ->
          change(
              index,
              List.of(
                  ObjectState.newBuilder()
                      .setHost(command.getHostRegistration().getHost())
                      .build()));
      default -> ByteString.EMPTY;
    };
  }

  private TicketAnswer applyTicket(long index, Ticket ticket) {
    TicketAnswer earlier = tickets.get(ticket.getNumber());
    if (earlier != null) {
      boolean same = earlier.getContentHash().equals(ticket.getContentHash());
      return same ? earlier : earlier.toBuilder().setConflict(true).build();
    }
    change(index, ticket.getObjectsList().stream().map(this::keepRunningState).toList());
    TicketAnswer answer =
        TicketAnswer.newBuilder()
            .setNumber(ticket.getNumber())
            .setContentHash(ticket.getContentHash())
            .setAcceptedVersion(StateCodec.versionMessage(view.version()))
            .build();
    tickets.put(ticket.getNumber(), answer);
    return answer;
  }

  /** A ticket says what a group is allowed; term and primary are the failover director's. */
  private ObjectState keepRunningState(ObjectState object) {
    if (!object.hasGroup()) {
      return object;
    }
    Optional<GroupState> known = view.group(new GroupId(object.getGroup().getId()));
    if (known.isEmpty()) {
      return object;
    }
    var running = StateCodec.groupMessage(known.get());
    return ObjectState.newBuilder()
        .setGroup(
            object.getGroup().toBuilder()
                .setTerm(running.getTerm())
                .setPrimary(running.getPrimary())
                .clearTermHistory()
                .addAllTermHistory(running.getTermHistoryList()))
        .build();
  }

  private ByteString applyAnnouncement(long index, Announcement announcement) {
    var server = announcement.getServer();
    Optional<ServerState> known = view.server(new ServerId(server.getId()));
    if (known.isPresent() && known.get().incarnation() > server.getIncarnation()) {
      return ByteString.EMPTY;
    }
    List<ObjectState> objects = new ArrayList<>();
    objects.add(
        ObjectState.newBuilder()
            .setServer(
                server.toBuilder()
                    .setStatus(announcement.getLeaving() ? Status.LEAVING : Status.ACTIVE))
            .build());
    firstPrimary(announcement).ifPresent(objects::add);
    return change(index, objects);
  }

  /** A group that had no primary yet takes over the one that it runs with. */
  private Optional<ObjectState> firstPrimary(Announcement announcement) {
    GroupId id = new GroupId(announcement.getServer().getGroup());
    Optional<GroupState> group = view.group(id);
    if (!announcement.getPrimary() || group.isEmpty() || group.get().term() > 0) {
      return Optional.empty();
    }
    GroupState adopted =
        new GroupState(
            id,
            announcement.getTerm(),
            Optional.of(new ServerId(announcement.getServer().getId())),
            List.of(new TermStart(announcement.getTerm(), 0)),
            group.get().slotsPerServer(),
            group.get().connectionsPerServer());
    return Optional.of(ObjectState.newBuilder().setGroup(StateCodec.groupMessage(adopted)).build());
  }

  private ByteString change(long index, List<ObjectState> objects) {
    view = ViewCodec.apply(view, new ViewVersion(EPOCH, index), objects);
    onChange.accept(view);
    return ByteString.EMPTY;
  }

  @Override
  public synchronized ByteString snapshot() {
    return ViewCodec.snapshot(view).toByteString();
  }

  @Override
  public synchronized void restore(long index, ByteString snapshot) {
    try {
      view = ViewCodec.view(ViewSnapshot.parseFrom(snapshot));
    } catch (InvalidProtocolBufferException damaged) {
      throw AlderyardException.notRun(
          ErrorCode.STORAGE_DAMAGED, "the snapshot at " + index + " can't be read");
    }
    onChange.accept(view);
  }
}
