package org.alderyard.control.check;

/** The kinds of findings; their names are stable, so that scripts can match them. */
public enum FindingCode {
  /** The document is not a configuration. */
  UNREADABLE(Severity.ERROR),
  /** A host refuses the configuration because of this field. */
  INVALID(Severity.ERROR),
  /** The configuration in force has the same or a higher number, so that this one has no effect. */
  NUMBER_NOT_HIGHER(Severity.ERROR),
  /** An earlier entry has the same database name, so that no session uses this one. */
  HIDDEN_DATABASE(Severity.NEVER_MATCHES),
  /** No database is in this group. */
  UNUSED_GROUP(Severity.NEVER_MATCHES),
  /** No caller can act for this organisation, as it has no keys. */
  ORGANISATION_WITHOUT_KEYS(Severity.NEVER_MATCHES),
  /** Every caller of this database is refused, as a key is required and none exists. */
  DATABASE_WITHOUT_CALLERS(Severity.NEVER_MATCHES),
  /** A statement times out before its latency objective has passed. */
  OBJECTIVE_ABOVE_TIMEOUT(Severity.CONTRADICTION),
  /** A staleness bound on a database whose reads take the newest data. */
  UNUSED_STALENESS(Severity.CONTRADICTION),
  /** Reads accept stale data, but of no age. */
  MISSING_STALENESS(Severity.CONTRADICTION),
  /** A quota with a rate and without a burst admits no two operations at the same moment. */
  RATE_WITHOUT_BURST(Severity.CONTRADICTION),
  /** A quota that admits no operation in a window. */
  QUOTA_BELOW_ONE_OPERATION(Severity.CONTRADICTION),
  /** An idle session is closed before an idle transaction in it is ended. */
  TRANSACTION_OUTLIVES_SESSION(Severity.CONTRADICTION),
  /** The size limit of a body is below that of its header. */
  BODY_BELOW_HEADER(Severity.CONTRADICTION),
  /** An object that the version in force does not have. */
  ADDED(Severity.DIFFERENCE),
  /** An object that only the version in force has. */
  REMOVED(Severity.DIFFERENCE),
  /** A field whose value differs from that in force. */
  CHANGED(Severity.DIFFERENCE);

  private final Severity severity;

  FindingCode(Severity severity) {
    this.severity = severity;
  }

  /** Returns how a finding of this kind counts. */
  public Severity severity() {
    return severity;
  }

  /** How a finding counts. */
  public enum Severity {
    /** A host refuses or ignores the configuration. */
    ERROR,
    /** An entry has no effect. */
    NEVER_MATCHES,
    /** Two limits contradict each other. */
    CONTRADICTION,
    /** A difference from the version in force; no fault. */
    DIFFERENCE
  }
}
