package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import java.util.Comparator;
import java.util.List;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.state.ObjectState;
import org.apache.commons.codec.digest.DigestUtils;

/** Names of the objects that a ticket changes, and the content hash of a ticket. */
public final class TicketObjects {

  private TicketObjects() {}

  /**
   * Returns the name of an object in the form {@code kind/name}. A removal has the name of the
   * object that it removes.
   */
  public static String name(ObjectState object) {
    return switch (object.getObjectCase()) {
      case POOL -> "pool/" + object.getPool().getName();
      case GROUP -> "group/" + object.getGroup().getId();
      case SERVER -> "server/" + object.getServer().getId();
      case HOST -> "host/" + object.getHost().getId();
      case KEY_RING -> "keys/tokens";
      case REMOVED_POOL -> "pool/" + object.getRemovedPool();
      case REMOVED_GROUP -> "group/" + object.getRemovedGroup();
      case REMOVED_SERVER -> "server/" + object.getRemovedServer();
      case REMOVED_HOST -> "host/" + object.getRemovedHost();
      case HOST_POLICY -> "host/" + object.getHostPolicy().getId();
      case REMOVED_HOST_POLICY -> "host/" + object.getRemovedHostPolicy();
      case CONFIGURATION -> "configuration/sessions";
      case OBJECT_NOT_SET -> "unknown/";
    };
  }

  /**
   * Creates a ticket from a number and objects, including its content hash.
   *
   * <p>The objects are sorted by name first, so the content hash does not depend on their order.
   */
  public static Ticket ticket(long number, List<ObjectState> objects) {
    List<ObjectState> sorted =
        objects.stream().sorted(Comparator.comparing(TicketObjects::name)).toList();
    Ticket.Builder ticket = Ticket.newBuilder().setNumber(number).addAllObjects(sorted);
    byte[] hash = DigestUtils.sha256(ticket.build().toByteArray());
    return ticket.setContentHash(ByteString.copyFrom(hash)).build();
  }
}
