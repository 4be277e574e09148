package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import java.util.Comparator;
import java.util.List;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.state.ObjectState;
import org.apache.commons.codec.digest.DigestUtils;

/** Names and hashes of what a ticket touches. */
public final class TicketObjects {

  private TicketObjects() {}

  /** Returns kind/name of an object; a removal has the name of what it removes. */
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
   * Returns the ticket of a number and objects, with its content hash.
   *
   * <p>The order of objects has no meaning, so the same objects in another order are the same
   * content.
   */
  public static Ticket ticket(long number, List<ObjectState> objects) {
    List<ObjectState> sorted =
        objects.stream().sorted(Comparator.comparing(TicketObjects::name)).toList();
    Ticket.Builder ticket = Ticket.newBuilder().setNumber(number).addAllObjects(sorted);
    byte[] hash = DigestUtils.sha256(ticket.build().toByteArray());
    return ticket.setContentHash(ByteString.copyFrom(hash)).build();
  }
}
