package org.alderyard.control.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.FieldFault;
import org.alderyard.control.log.ReplicatedLogOptions;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Database;
import org.alderyard.protocol.generated.state.GroupLimits;

/** What a configuration of sessions must keep to, whatever was in force before it. */
public final class ConfigurationRules {

  /** What else a command of the log holds: its kind and the time at which it was proposed. */
  private static final int COMMAND_OVERHEAD_BYTES = 1_024;

  /** The largest configuration that the log takes, with the text that it was read from. */
  static final int MAX_BYTES =
      ReplicatedLogOptions.DEFAULT_MAX_COMMAND_BYTES - COMMAND_OVERHEAD_BYTES;

  private ConfigurationRules() {}

  /**
   * Checks a configuration.
   *
   * @throws AlderyardException with {@code CONFIGURATION_INVALID} and all faults, or with {@code
   *     REQUEST_TOO_LARGE}
   */
  public static void check(Configuration configuration) {
    if (configuration.getSerializedSize() > MAX_BYTES) {
      throw AlderyardException.notRun(
          ErrorCode.REQUEST_TOO_LARGE,
          "configuration %d has %d bytes with its text; accepted are up to %d"
              .formatted(configuration.getNumber(), configuration.getSerializedSize(), MAX_BYTES));
    }
    List<FieldFault> faults = faults(configuration);
    if (!faults.isEmpty()) {
      throw AlderyardException.notRun(
          ErrorCode.CONFIGURATION_INVALID,
          "configuration " + configuration.getNumber() + " has faults: " + faults);
    }
  }

  /** Returns all faults. */
  public static List<FieldFault> faults(Configuration configuration) {
    List<FieldFault> faults = new ArrayList<>();
    if (configuration.getNumber() <= 0) {
      String number = Long.toString(configuration.getNumber());
      faults.add(new FieldFault("configuration", "number", number, "a number from 1"));
    }
    Set<String> groups = new HashSet<>();
    for (GroupLimits group : configuration.getGroupsList()) {
      if (!groups.add(group.getId())) {
        faults.add(new FieldFault("group/" + group.getId(), "id", group.getId(), "unique names"));
      }
    }
    Set<String> places = new HashSet<>();
    for (Database database : configuration.getDatabasesList()) {
      addFaults(database, groups, places, faults);
    }
    return faults;
  }

  private static void addFaults(
      Database database, Set<String> groups, Set<String> places, List<FieldFault> faults) {
    String object = "database/" + database.getName();
    if (database.getName().isEmpty()) {
      faults.add(new FieldFault(object, "name", "", "a name"));
    }
    if (!groups.contains(database.getGroup())) {
      faults.add(
          new FieldFault(object, "group", database.getGroup(), "a group of this configuration"));
    }
    if (!places.add(database.getName() + "\n" + database.getScope())) {
      faults.add(
          new FieldFault(object, "scope", database.getScope(), "one database a name and scope"));
    }
    if (database.getStatementTimeoutMillis() <= 0) {
      String millis = Integer.toString(database.getStatementTimeoutMillis());
      faults.add(new FieldFault(object, "statement-timeout", millis, "more than 0 ms"));
    }
  }
}
