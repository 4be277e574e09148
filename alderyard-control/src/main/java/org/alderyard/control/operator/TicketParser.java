package org.alderyard.control.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.alderyard.common.error.FieldFault;
import org.alderyard.control.state.TicketObjects;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.HostPolicy;
import org.alderyard.protocol.generated.state.Key;
import org.alderyard.protocol.generated.state.KeyRing;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Pool;

/**
 * Parses a change ticket from JSON.
 *
 * <p>Each object specifies its complete new state: an omitted field gets its default, whatever its
 * previous value. {@code "removed": true} removes the object.
 */
public final class TicketParser {
  private static final long DEFAULT_MAX_STALENESS_MILLIS = 5_000;
  private static final int DEFAULT_SLOTS = 5;
  private static final int DEFAULT_CONNECTIONS = 35;
  private static final Set<String> POOL_FIELDS =
      Set.of(
          "kind",
          "name",
          "groups",
          "writeAcknowledgement",
          "maxStalenessMillis",
          "maxConcurrentStatements");
  private static final Set<String> GROUP_FIELDS =
      Set.of("kind", "id", "slotsPerServer", "connectionsPerServer");
  private static final Set<String> HOST_FIELDS = Set.of("kind", "id", "roles", "draining");
  private static final Set<String> KEYS_FIELDS = Set.of("kind", "keys");
  private static final Set<String> KEY_FIELDS = Set.of("id", "secretBase64");
  private static final String MAJORITY = "majority";
  private static final String PRIMARY_ONLY = "primary-only";
  private static final String PROXY = "proxy";
  private static final String CONTROL = "control";
  private static final String REMOVED = "removed";

  private final List<FieldFault> faults = new ArrayList<>();

  private TicketParser() {}

  /**
   * Result of parsing a ticket.
   *
   * @param ticket the parsed ticket; an invalid field has its default, and an object of an unknown
   *     kind is omitted
   * @param faults one fault for each invalid field; empty if the ticket is valid
   */
  public record ParsedTicket(Ticket ticket, List<FieldFault> faults) {}

  /** Parses {@code body} as the ticket with the given number; faults are returned, not thrown. */
  public static ParsedTicket parse(long number, JsonNode body) {
    return new TicketParser().read(number, body);
  }

  private ParsedTicket read(long number, JsonNode body) {
    new FieldReader("ticket", body, faults).reportUnknownFields(Set.of("objects"));
    List<ObjectState> objects = new ArrayList<>();
    int index = 0;
    reportUnlessList("ticket", "objects", body.path("objects"));
    for (JsonNode node : body.path("objects")) {
      object("objects[" + index + "]", node).ifPresent(objects::add);
      index++;
    }
    return new ParsedTicket(TicketObjects.ticket(number, objects), List.copyOf(faults));
  }

  /** Records a fault unless the value is a list; the values of an object would count as objects. */
  private void reportUnlessList(String object, String field, JsonNode value) {
    if (!value.isMissingNode() && !value.isArray()) {
      faults.add(new FieldFault(object, field, "another value", "a list"));
    }
  }

  private Optional<ObjectState> object(String path, JsonNode node) {
    String kind = node.path("kind").asText();
    String nameField = kind.equals("pool") ? "name" : "id";
    String name = node.path(nameField).asText("");
    FieldReader reader = new FieldReader(name.isEmpty() ? path : kind + "/" + name, node, faults);
    if (node.has(REMOVED)) {
      return removal(reader, kind, reader.text(nameField, name));
    }
    return switch (kind) {
      case "pool" -> Optional.of(ObjectState.newBuilder().setPool(pool(reader)).build());
      case "group" -> Optional.of(ObjectState.newBuilder().setGroup(group(reader)).build());
      case "host" -> Optional.of(ObjectState.newBuilder().setHostPolicy(host(reader)).build());
      case "keys" -> Optional.of(ObjectState.newBuilder().setKeyRing(keys(reader, node)).build());
      case "server" -> {
        reader.addFault(REMOVED, "missing", "true; servers announce themselves");
        yield Optional.empty();
      }
      default -> {
        reader.addFault("kind", kind, "pool, group, host, keys, server");
        yield Optional.empty();
      }
    };
  }

  private static Optional<ObjectState> removal(FieldReader reader, String kind, String name) {
    reader.reportUnknownFields(Set.of("kind", kind.equals("pool") ? "name" : "id", REMOVED));
    if (!reader.flag(REMOVED, true)) {
      reader.addFault(REMOVED, "false", "true, or omit the field");
    }
    ObjectState.Builder object = ObjectState.newBuilder();
    switch (kind) {
      case "pool" -> object.setRemovedPool(name);
      case "group" -> object.setRemovedGroup(name);
      case "host" -> object.setRemovedHostPolicy(name);
      case "server" -> object.setRemovedServer(name);
      default -> {
        reader.addFault("kind", kind, "pool, group, host, server");
        return Optional.empty();
      }
    }
    return Optional.of(object.build());
  }

  private static Pool pool(FieldReader reader) {
    reader.reportUnknownFields(POOL_FIELDS);
    String acknowledgement = reader.text("writeAcknowledgement", MAJORITY);
    if (!Set.of(MAJORITY, PRIMARY_ONLY).contains(acknowledgement)) {
      reader.addFault("writeAcknowledgement", acknowledgement, MAJORITY + ", " + PRIMARY_ONLY);
    }
    return Pool.newBuilder()
        .setName(reader.text("name", ""))
        .addAllGroups(reader.textList("groups"))
        .setPrimaryOnlyAcknowledgement(acknowledgement.equals(PRIMARY_ONLY))
        .setMaxStalenessMillis(
            reader.number("maxStalenessMillis", DEFAULT_MAX_STALENESS_MILLIS, Long.MAX_VALUE))
        .setMaxConcurrentStatements(reader.integer("maxConcurrentStatements", 0))
        .build();
  }

  private static Group group(FieldReader reader) {
    reader.reportUnknownFields(GROUP_FIELDS);
    return Group.newBuilder()
        .setId(reader.text("id", ""))
        .setSlotsPerServer(reader.integer("slotsPerServer", DEFAULT_SLOTS))
        .setConnectionsPerServer(reader.integer("connectionsPerServer", DEFAULT_CONNECTIONS))
        .build();
  }

  private static HostPolicy host(FieldReader reader) {
    reader.reportUnknownFields(HOST_FIELDS);
    List<String> roles = reader.textList("roles");
    for (String role : roles) {
      if (!Set.of(PROXY, CONTROL).contains(role)) {
        reader.addFault("roles", role, PROXY + ", " + CONTROL);
      }
    }
    return HostPolicy.newBuilder()
        .setId(reader.text("id", ""))
        .setProxy(roles.isEmpty() || roles.contains(PROXY))
        .setControl(roles.isEmpty() || roles.contains(CONTROL))
        .setDraining(reader.flag("draining", false))
        .build();
  }

  private KeyRing keys(FieldReader reader, JsonNode node) {
    reader.reportUnknownFields(KEYS_FIELDS);
    KeyRing.Builder ring = KeyRing.newBuilder();
    int index = 0;
    reportUnlessList("keys", "keys", node.path("keys"));
    for (JsonNode key : node.path("keys")) {
      FieldReader fields = new FieldReader("keys[" + index + "]", key, faults);
      fields.reportUnknownFields(KEY_FIELDS);
      ring.addKeys(
          Key.newBuilder()
              .setId(fields.integer("id", 0))
              .setSecret(secret(fields, key.path("secretBase64"))));
      index++;
    }
    return ring.build();
  }

  /** Decodes a secret. The fault for malformed base64 contains only the length, not the secret. */
  private static ByteString secret(FieldReader reader, JsonNode value) {
    if (!value.isTextual()) {
      reader.addFault("secretBase64", "no text", "base64");
      return ByteString.EMPTY;
    }
    try {
      return ByteString.copyFrom(Base64.getDecoder().decode(value.asText()));
    } catch (IllegalArgumentException malformed) {
      reader.addFault("secretBase64", value.asText().length() + " characters", "base64");
      return ByteString.EMPTY;
    }
  }
}
