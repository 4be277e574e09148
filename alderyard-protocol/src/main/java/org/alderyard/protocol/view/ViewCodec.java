package org.alderyard.protocol.view;

import java.util.List;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.ViewSnapshot;

/** Converts whole views to and from messages, and applies changed objects to a view. */
public final class ViewCodec {

  private ViewCodec() {}

  /** Converts a view to a snapshot message. */
  public static ViewSnapshot snapshot(View view) {
    ViewSnapshot.Builder snapshot =
        ViewSnapshot.newBuilder().setVersion(StateCodec.versionMessage(view.version()));
    view.pools()
        .values()
        .forEach(p -> snapshot.addObjects(object().setPool(StateCodec.poolMessage(p))));
    view.groups()
        .values()
        .forEach(g -> snapshot.addObjects(object().setGroup(StateCodec.groupMessage(g))));
    view.servers()
        .values()
        .forEach(s -> snapshot.addObjects(object().setServer(StateCodec.serverMessage(s))));
    view.hosts()
        .values()
        .forEach(h -> snapshot.addObjects(object().setHost(StateCodec.hostMessage(h))));
    if (!view.keys().isEmpty()) {
      snapshot.addObjects(object().setKeyRing(StateCodec.keyRingMessage(view.keys())));
    }
    view.configuration()
        .ifPresent(
            c ->
                snapshot.addObjects(object().setConfiguration(StateCodec.configurationMessage(c))));
    return snapshot.build();
  }

  private static ObjectState.Builder object() {
    return ObjectState.newBuilder();
  }

  /** Converts a snapshot message to a view. */
  public static View view(ViewSnapshot snapshot) {
    return apply(View.EMPTY, StateCodec.version(snapshot.getVersion()), snapshot.getObjectsList());
  }

  /** Returns a view in which the given objects are replaced or removed. */
  public static View apply(View base, ViewVersion version, List<ObjectState> objects) {
    View.Editor editor = base.edit();
    for (ObjectState object : objects) {
      switch (object.getObjectCase()) {
        case POOL -> {
          PoolState pool = StateCodec.pool(object.getPool());
          editor.pools().put(pool.name(), pool);
        }
        case GROUP -> {
          GroupState group = StateCodec.group(object.getGroup());
          editor.groups().put(group.id(), group);
        }
        case SERVER -> editor.put(StateCodec.server(object.getServer()));
        case HOST -> {
          HostState host = StateCodec.host(object.getHost());
          editor.hosts().put(host.id(), host);
        }
        case KEY_RING -> editor.keys(StateCodec.keys(object.getKeyRing()));
        case REMOVED_POOL -> editor.pools().remove(new PoolName(object.getRemovedPool()));
        case REMOVED_GROUP -> editor.groups().remove(new GroupId(object.getRemovedGroup()));
        case REMOVED_SERVER -> editor.remove(new ServerId(object.getRemovedServer()));
        case REMOVED_HOST -> editor.hosts().remove(new HostId(object.getRemovedHost()));
        case CONFIGURATION ->
            editor.configuration(StateCodec.configuration(object.getConfiguration()));
        case HOST_POLICY, REMOVED_HOST_POLICY -> {
          // Views contain the effect of a policy in the host object itself.
        }
        case OBJECT_NOT_SET -> {
          // The peer is newer and sent a kind of object that this build does not support.
        }
        default ->
            throw new IllegalStateException(
                "unsupported kind of object: " + object.getObjectCase());
      }
    }
    return editor.at(version);
  }
}
