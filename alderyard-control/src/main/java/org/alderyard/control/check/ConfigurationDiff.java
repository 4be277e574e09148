package org.alderyard.control.check;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Database;
import org.alderyard.protocol.generated.state.GroupLimits;
import org.alderyard.protocol.generated.state.Organisation;

/** Compares a configuration with the one in force, by object and field; keys are only counted. */
public final class ConfigurationDiff {
  private final Configuration inForce;
  private final Configuration next;
  private final List<Finding> findings = new ArrayList<>();

  private ConfigurationDiff(Configuration inForce, Configuration next) {
    this.inForce = inForce;
    this.next = next;
  }

  /** Returns what differs, and an error if the number is not above that of the one in force. */
  public static List<Finding> compare(Configuration inForce, Configuration next) {
    return new ConfigurationDiff(inForce, next).findings();
  }

  private List<Finding> findings() {
    if (next.getNumber() <= inForce.getNumber()) {
      findings.add(
          new Finding(
              FindingCode.NUMBER_NOT_HIGHER,
              "configuration",
              "number %d is in force; number %d has no effect"
                  .formatted(inForce.getNumber(), next.getNumber())));
    }
    compareObjects(objects(inForce), objects(next));
    return findings;
  }

  /** Returns the fields of each object by its name, both in the order of the document. */
  private static Map<String, Map<String, String>> objects(Configuration configuration) {
    Map<String, Map<String, String>> objects = new LinkedHashMap<>();
    configuration
        .getGroupsList()
        .forEach(group -> objects.put("group/" + group.getId(), fields(group)));
    for (Database database : configuration.getDatabasesList()) {
      objects.put(
          ConfigurationCheck.object(database) + " scope '" + database.getScope() + "'",
          fields(database));
    }
    configuration
        .getOrganisationsList()
        .forEach(
            organisation ->
                objects.put(ConfigurationCheck.object(organisation), fields(organisation)));
    Map<String, String> common = new LinkedHashMap<>();
    common.put("transaction-idle-millis", text(configuration.getTransactionIdleMillis()));
    common.put("session-idle-millis", text(configuration.getSessionIdleMillis()));
    common.put("requires-keys", text(configuration.getRequiresKeys()));
    objects.put("configuration", common);
    return objects;
  }

  private static Map<String, String> fields(GroupLimits group) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("connections-per-server", text(group.getConnectionsPerServer()));
    fields.put("synchronous-replicas", text(group.getSyncReplicas()));
    return fields;
  }

  private static Map<String, String> fields(Database database) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("group", database.getGroup());
    fields.put("reads", database.getReads().name());
    fields.put("statement-timeout-millis", text(database.getStatementTimeoutMillis()));
    fields.put("latency-objective-millis", text(database.getLatencyObjectiveMillis()));
    fields.put("priority", text(database.getPriority()));
    fields.put("max-staleness-millis", text(database.getMaxStalenessMillis()));
    fields.put("public-access", text(database.getPublicAccess()));
    return fields;
  }

  private static Map<String, String> fields(Organisation organisation) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("priority", text(organisation.getPriority()));
    fields.put(
        "rate-per-second",
        organisation.hasQuota() ? text(organisation.getQuota().getRatePerSecond()) : "unlimited");
    fields.put(
        "burst", organisation.hasQuota() ? text(organisation.getQuota().getBurst()) : "unlimited");
    return fields;
  }

  private static String text(Object value) {
    return String.valueOf(value);
  }

  private void compareObjects(
      Map<String, Map<String, String>> before, Map<String, Map<String, String>> after) {
    after.forEach(
        (object, fields) -> {
          if (before.containsKey(object)) {
            compareFields(object, before.get(object), fields);
          } else {
            findings.add(new Finding(FindingCode.ADDED, object, fields.toString()));
          }
        });
    before.keySet().stream()
        .filter(object -> !after.containsKey(object))
        .forEach(object -> findings.add(new Finding(FindingCode.REMOVED, object, "removed")));
    compareKeys();
  }

  private void compareFields(String object, Map<String, String> before, Map<String, String> after) {
    after.forEach(
        (field, value) -> {
          if (!Objects.equals(value, before.get(field))) {
            findings.add(
                new Finding(
                    FindingCode.CHANGED,
                    object,
                    "%s was %s, becomes %s".formatted(field, before.get(field), value)));
          }
        });
  }

  private void compareKeys() {
    Map<String, Set<ByteString>> before = keys(inForce);
    keys(next)
        .forEach(
            (object, digests) -> {
              Set<ByteString> known = before.get(object);
              if (known != null && !known.equals(digests)) {
                findings.add(
                    new Finding(
                        FindingCode.CHANGED,
                        object,
                        "keys: %d added, %d removed"
                            .formatted(
                                countMissing(digests, known), countMissing(known, digests))));
              }
            });
  }

  private static Map<String, Set<ByteString>> keys(Configuration configuration) {
    Map<String, Set<ByteString>> keys = new LinkedHashMap<>();
    for (Organisation organisation : configuration.getOrganisationsList()) {
      keys.put(
          ConfigurationCheck.object(organisation), new HashSet<>(organisation.getKeyDigestsList()));
    }
    return keys;
  }

  private static long countMissing(Set<ByteString> digests, Set<ByteString> from) {
    return digests.stream().filter(digest -> !from.contains(digest)).count();
  }
}
