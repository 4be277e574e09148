package org.alderyard.control.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.alderyard.control.state.ConfigurationValidator;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Database;
import org.alderyard.protocol.generated.state.GroupLimits;
import org.alderyard.protocol.generated.state.Organisation;
import org.alderyard.protocol.generated.state.OrganisationQuota;
import org.alderyard.protocol.generated.state.SessionReads;

/**
 * Checks one configuration: what a host refuses, by the rules of the host itself, entries that have
 * no effect, and limits that contradict each other.
 *
 * <pre>{@code
 * List<Finding> findings = new ConfigurationCheck(windowSeconds).check(configuration);
 * }</pre>
 */
public final class ConfigurationCheck {
  private final double quotaWindowSeconds;

  /**
   * Creates a check.
   *
   * @param quotaWindowSeconds the window in which hosts count operations, in seconds
   */
  public ConfigurationCheck(double quotaWindowSeconds) {
    this.quotaWindowSeconds = quotaWindowSeconds;
  }

  /** Returns all findings, errors first; empty if there are none. */
  public List<Finding> check(Configuration configuration) {
    List<Finding> findings = new ArrayList<>();
    ConfigurationValidator.faults(configuration)
        .forEach(
            fault ->
                findings.add(
                    new Finding(
                        FindingCode.INVALID,
                        fault.object(),
                        "%s is '%s'; accepted: %s"
                            .formatted(fault.field(), fault.value(), fault.accepted()))));
    addEntriesWithoutEffect(configuration, findings);
    configuration.getDatabasesList().forEach(database -> checkLimits(database, findings));
    configuration
        .getOrganisationsList()
        .forEach(organisation -> checkQuota(organisation, findings));
    checkIdleLimits(configuration, findings);
    return findings;
  }

  private static void addEntriesWithoutEffect(Configuration configuration, List<Finding> findings) {
    Set<String> names = new HashSet<>();
    for (Database database : configuration.getDatabasesList()) {
      if (!names.add(database.getName())) {
        findings.add(
            new Finding(
                FindingCode.HIDDEN_DATABASE,
                object(database),
                "an earlier entry has this name; sessions never use the one with scope '"
                    + database.getScope()
                    + "'"));
      }
    }
    Set<String> usedGroups =
        configuration.getDatabasesList().stream()
            .map(Database::getGroup)
            .collect(Collectors.toSet());
    for (GroupLimits group : configuration.getGroupsList()) {
      if (!usedGroups.contains(group.getId())) {
        findings.add(
            new Finding(
                FindingCode.UNUSED_GROUP, "group/" + group.getId(), "no database is in it"));
      }
    }
    addMissingKeys(configuration, findings);
  }

  private static void addMissingKeys(Configuration configuration, List<Finding> findings) {
    boolean keyExists = false;
    for (Organisation organisation : configuration.getOrganisationsList()) {
      if (organisation.getKeyDigestsCount() == 0) {
        findings.add(
            new Finding(
                FindingCode.ORGANISATION_WITHOUT_KEYS,
                object(organisation),
                "it has no keys; no caller can act for it"));
      }
      keyExists |= organisation.getKeyDigestsCount() > 0;
    }
    if (!configuration.getRequiresKeys() || keyExists) {
      return;
    }
    configuration.getDatabasesList().stream()
        .filter(database -> !database.getPublicAccess())
        .forEach(
            database ->
                findings.add(
                    new Finding(
                        FindingCode.DATABASE_WITHOUT_CALLERS,
                        object(database),
                        "callers need a key, and no organisation has one")));
  }

  private static void checkLimits(Database database, List<Finding> findings) {
    int timeoutMillis = database.getStatementTimeoutMillis();
    int objectiveMillis = database.getLatencyObjectiveMillis();
    if (timeoutMillis > 0 && objectiveMillis > timeoutMillis) {
      findings.add(
          new Finding(
              FindingCode.OBJECTIVE_ABOVE_TIMEOUT,
              object(database),
              "the latency objective of %d ms is above the statement timeout of %d ms"
                  .formatted(objectiveMillis, timeoutMillis)));
    }
    boolean newest = database.getReads() == SessionReads.NEWEST;
    if (newest && database.getMaxStalenessMillis() > 0) {
      findings.add(
          new Finding(
              FindingCode.UNUSED_STALENESS,
              object(database),
              "reads take the newest data; the staleness bound of %d ms has no effect"
                  .formatted(database.getMaxStalenessMillis())));
    }
    if (database.getReads() == SessionReads.BOUNDED && database.getMaxStalenessMillis() == 0) {
      findings.add(
          new Finding(
              FindingCode.MISSING_STALENESS,
              object(database),
              "reads accept stale data, but the staleness bound is 0 ms"));
    }
  }

  private void checkQuota(Organisation organisation, List<Finding> findings) {
    if (!organisation.hasQuota()) {
      return;
    }
    OrganisationQuota quota = organisation.getQuota();
    if (quota.getRatePerSecond() * quotaWindowSeconds + quota.getBurst() < 1) {
      findings.add(
          new Finding(
              FindingCode.QUOTA_BELOW_ONE_OPERATION,
              object(organisation),
              "rate %s per second and burst %s admit no operation in a window of %s s"
                  .formatted(quota.getRatePerSecond(), quota.getBurst(), quotaWindowSeconds)));
    } else if (quota.getRatePerSecond() > 0 && quota.getBurst() == 0) {
      findings.add(
          new Finding(
              FindingCode.RATE_WITHOUT_BURST,
              object(organisation),
              "rate %s per second without a burst".formatted(quota.getRatePerSecond())));
    }
  }

  private static void checkIdleLimits(Configuration configuration, List<Finding> findings) {
    int sessionMillis = configuration.getSessionIdleMillis();
    int transactionMillis = configuration.getTransactionIdleMillis();
    if (sessionMillis > 0 && transactionMillis > sessionMillis) {
      findings.add(
          new Finding(
              FindingCode.TRANSACTION_OUTLIVES_SESSION,
              "configuration",
              "an idle transaction may last %d ms, an idle session only %d ms"
                  .formatted(transactionMillis, sessionMillis)));
    }
  }

  static String object(Database database) {
    return "database/" + database.getName();
  }

  static String object(Organisation organisation) {
    return "organisation/" + organisation.getName();
  }
}
