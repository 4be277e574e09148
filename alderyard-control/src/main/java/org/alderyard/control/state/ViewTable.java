package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.ViewDelta;
import org.alderyard.protocol.generated.state.ViewSnapshot;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewChain;
import org.alderyard.protocol.view.ViewCodec;

/** The current view, with the chain hash of its deltas. */
final class ViewTable {
  private static final long EPOCH = 1;

  private volatile View view = View.EMPTY;
  private ByteString chainHash = ViewChain.START;

  View view() {
    return view;
  }

  ByteString chainHash() {
    return chainHash;
  }

  /**
   * A view that follows the current one.
   *
   * @param view the view
   * @param delta the change that leads to it
   */
  record Next(View view, ViewDelta delta) {}

  /**
   * Returns the view with the objects that differ from the current view; empty if none differs.
   * Changes nothing.
   */
  Optional<Next> prepare(long index, List<ObjectState> objects) {
    List<ObjectState> changed = objects.stream().filter(this::differs).toList();
    if (changed.isEmpty()) {
      return Optional.empty();
    }
    ViewVersion next = new ViewVersion(EPOCH, index);
    ViewDelta delta =
        ViewChain.link(
            chainHash,
            StateCodec.versionMessage(view.version()),
            StateCodec.versionMessage(next),
            changed);
    return Optional.of(new Next(ViewCodec.apply(view, next, changed), delta));
  }

  /** Replaces the current view by a prepared one that follows it. */
  void commit(Next next) {
    view = next.view();
    chainHash = next.delta().getChainHash();
  }

  private boolean differs(ObjectState object) {
    return switch (object.getObjectCase()) {
      case POOL -> {
        var current = view.pool(new PoolName(object.getPool().getName()));
        yield !current.map(StateCodec::poolMessage).equals(Optional.of(object.getPool()));
      }
      case GROUP -> {
        var current = view.group(new GroupId(object.getGroup().getId()));
        yield !current.map(StateCodec::groupMessage).equals(Optional.of(object.getGroup()));
      }
      case SERVER -> {
        var current = view.server(new ServerId(object.getServer().getId()));
        yield !current.map(StateCodec::serverMessage).equals(Optional.of(object.getServer()));
      }
      case HOST -> {
        var current = Optional.ofNullable(view.hosts().get(new HostId(object.getHost().getId())));
        yield !current.map(StateCodec::hostMessage).equals(Optional.of(object.getHost()));
      }
      case KEY_RING -> !StateCodec.keyRingMessage(view.keys()).equals(object.getKeyRing());
      case REMOVED_POOL -> view.pool(new PoolName(object.getRemovedPool())).isPresent();
      case REMOVED_GROUP -> view.group(new GroupId(object.getRemovedGroup())).isPresent();
      case REMOVED_SERVER -> view.server(new ServerId(object.getRemovedServer())).isPresent();
      case REMOVED_HOST -> view.hosts().containsKey(new HostId(object.getRemovedHost()));
      case CONFIGURATION ->
          !view.configuration()
              .map(StateCodec::configurationMessage)
              .equals(Optional.of(object.getConfiguration()));
      case HOST_POLICY, REMOVED_HOST_POLICY, OBJECT_NOT_SET -> false;
    };
  }

  void restore(ViewSnapshot snapshot, ByteString snapshotChainHash) {
    List<ObjectState> readable =
        SnapshotFilter.readable(snapshot.getObjectsList(), TicketObjects::name, ViewTable::check);
    view = ViewCodec.apply(View.EMPTY, StateCodec.version(snapshot.getVersion()), readable);
    chainHash = snapshotChainHash;
  }

  /**
   * Throws if an object may be left out. Without its configuration, a host would accept older ones.
   */
  private static void check(ObjectState object) {
    if (!object.hasConfiguration()) {
      ViewCodec.apply(View.EMPTY, ViewVersion.NONE, List.of(object));
    }
  }
}
