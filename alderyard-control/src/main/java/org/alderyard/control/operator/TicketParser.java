package org.alderyard.control.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.SigningKey;
import org.alderyard.common.view.WriteAcknowledgement;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.view.StateCodec;

/** Reads a ticket from JSON. */
public final class TicketParser {
  private static final long DEFAULT_MAX_STALENESS_MILLIS = 5_000;
  private static final int DEFAULT_SLOTS = 5;
  private static final int DEFAULT_CONNECTIONS = 35;

  private TicketParser() {}

  /** Returns the ticket of this number that the body describes. */
  public static Ticket parse(long number, JsonNode body) {
    List<ObjectState> objects = new ArrayList<>();
    for (JsonNode object : body.path("objects")) {
      objects.add(object(object));
    }
    if (objects.isEmpty()) {
      throw invalid("objects", "nothing", "a list of at least one object");
    }
    Ticket.Builder ticket = Ticket.newBuilder().setNumber(number).addAllObjects(objects);
    return ticket.setContentHash(hash(ticket.build())).build();
  }

  private static ObjectState object(JsonNode node) {
    String kind = node.path("kind").asText();
    return switch (kind) {
      case "pool" -> ObjectState.newBuilder().setPool(StateCodec.poolMessage(pool(node))).build();
      case "group" -> ObjectState.newBuilder().setGroup(group(node)).build();
      case "keys" ->
          ObjectState.newBuilder().setKeyRing(StateCodec.keyRingMessage(keys(node))).build();
      default -> throw invalid("kind", kind, "pool, group, keys");
    };
  }

  private static PoolState pool(JsonNode node) {
    List<GroupId> groups = new ArrayList<>();
    node.path("groups").forEach(group -> groups.add(new GroupId(group.asText())));
    boolean primaryOnly = node.path("writeAcknowledgement").asText().equals("primary-only");
    return new PoolState(
        new PoolName(node.path("name").asText()),
        groups,
        primaryOnly ? WriteAcknowledgement.PRIMARY_ONLY : WriteAcknowledgement.MAJORITY,
        node.path("maxStalenessMillis").asLong(DEFAULT_MAX_STALENESS_MILLIS),
        node.path("maxConcurrentStatements").asInt());
  }

  private static Group group(JsonNode node) {
    return Group.newBuilder()
        .setId(new GroupId(node.path("id").asText()).value())
        .setSlotsPerServer(node.path("slotsPerServer").asInt(DEFAULT_SLOTS))
        .setConnectionsPerServer(node.path("connectionsPerServer").asInt(DEFAULT_CONNECTIONS))
        .build();
  }

  private static List<SigningKey> keys(JsonNode node) {
    List<SigningKey> keys = new ArrayList<>();
    for (JsonNode key : node.path("keys")) {
      byte[] secret = Base64.getDecoder().decode(key.path("secretBase64").asText());
      keys.add(new SigningKey(key.path("id").asInt(), secret));
    }
    return keys;
  }

  private static ByteString hash(Ticket ticket) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return ByteString.copyFrom(digest.digest(ticket.toByteArray()));
    } catch (NoSuchAlgorithmException missing) {
      throw AlderyardException.unknown(ErrorCode.INTERNAL, "no SHA-256", missing);
    }
  }

  private static AlderyardException invalid(String field, String value, String accepted) {
    return AlderyardException.notRun(
        ErrorCode.TICKET_INVALID, field + " is '" + value + "'; accepted: " + accepted);
  }
}
