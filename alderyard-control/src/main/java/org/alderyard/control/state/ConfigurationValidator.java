package org.alderyard.control.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.FieldFault;
import org.alderyard.common.id.GroupId;
import org.alderyard.control.log.ReplicatedLogOptions;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Database;
import org.alderyard.protocol.generated.state.GroupLimits;

/** Validates a session configuration independently of the one in force. */
public final class ConfigurationValidator {

  /**
   * Size reserved for the other fields of a log command: its kind and the time at which it was
   * proposed.
   */
  private static final int COMMAND_OVERHEAD_BYTES = 1_024;

  /**
   * Maximum serialized size of a configuration, including its source text, that fits into a log
   * command.
   */
  static final int MAX_BYTES =
      ReplicatedLogOptions.DEFAULT_MAX_COMMAND_BYTES - COMMAND_OVERHEAD_BYTES;

  private static final int MAX_SHOWN_FAULTS = 20;

  private ConfigurationValidator() {}

  /**
   * Validates a configuration.
   *
   * @throws AlderyardException with {@code CONFIGURATION_INVALID} and all faults, or with {@code
   *     REQUEST_TOO_LARGE}
   */
  public static void check(Configuration configuration) {
    if (configuration.getSerializedSize() > MAX_BYTES) {
      throw AlderyardException.notRun(
          ErrorCode.REQUEST_TOO_LARGE,
          "configuration %d has %d bytes including its source text; the maximum is %d bytes"
              .formatted(configuration.getNumber(), configuration.getSerializedSize(), MAX_BYTES));
    }
    List<FieldFault> faults = faults(configuration);
    if (!faults.isEmpty()) {
      throw AlderyardException.notRun(
          ErrorCode.CONFIGURATION_INVALID,
          "configuration %d is invalid, %d faults: %s"
              .formatted(
                  configuration.getNumber(),
                  faults.size(),
                  faults.subList(0, Math.min(MAX_SHOWN_FAULTS, faults.size()))));
    }
  }

  /** Returns all faults of a configuration; empty when it is valid. The size is not checked. */
  public static List<FieldFault> faults(Configuration configuration) {
    List<FieldFault> faults = new ArrayList<>();
    if (configuration.getNumber() <= 0) {
      String number = Long.toString(configuration.getNumber());
      faults.add(new FieldFault("configuration", "number", number, "a number of at least 1"));
    }
    Set<String> groups = new HashSet<>();
    for (GroupLimits group : configuration.getGroupsList()) {
      String object = "group/" + group.getId();
      if (!isGroupId(group.getId())) {
        faults.add(
            new FieldFault(object, "id", group.getId(), "1 to 128 characters of [A-Za-z0-9._:-]"));
      }
      if (!groups.add(group.getId())) {
        faults.add(new FieldFault(object, "id", group.getId(), "a unique group id"));
      }
    }
    Set<String> namesWithScope = new HashSet<>();
    for (Database database : configuration.getDatabasesList()) {
      checkDatabase(database, groups, namesWithScope, faults);
    }
    faults.addAll(OrganisationValidator.faults(configuration.getOrganisationsList()));
    return faults;
  }

  private static boolean isGroupId(String id) {
    try {
      new GroupId(id);
      return true;
    } catch (AlderyardException invalid) {
      return false;
    }
  }

  /** Returns whether a caller can send a name as one word when it opens a session. */
  private static boolean isWord(String name) {
    return !name.isEmpty() && name.chars().noneMatch(c -> c == ' ' || c == '\r' || c == '\n');
  }

  private static void checkDatabase(
      Database database, Set<String> groups, Set<String> namesWithScope, List<FieldFault> faults) {
    String object = "database/" + database.getName();
    if (!isWord(database.getName())) {
      faults.add(
          new FieldFault(
              object, "name", database.getName(), "a word without blanks and line ends"));
    }
    if (!groups.contains(database.getGroup())) {
      faults.add(
          new FieldFault(object, "group", database.getGroup(), "a group of this configuration"));
    }
    if (!namesWithScope.add(database.getName() + "\n" + database.getScope())) {
      faults.add(
          new FieldFault(
              object, "scope", database.getScope(), "a unique combination of name and scope"));
    }
    if (database.getStatementTimeoutMillis() <= 0) {
      String millis = Integer.toString(database.getStatementTimeoutMillis());
      faults.add(new FieldFault(object, "statement-timeout", millis, "more than 0 ms"));
    }
  }
}
