package org.alderyard.common.start;

import java.util.Locale;

/** Stages from the creation of a process to the first statement that it serves. */
public enum StartStage {
  /** The program's first line runs. */
  PROGRAM,
  /** The settings are read and the log has its format. */
  SETTINGS,
  /** Callers can connect. */
  CALLER_PORT,
  /** The host's copy of the control log is open. */
  CONTROL_LOG,
  /** Other hosts can connect. */
  INNER_PORT,
  /** This control host knows the leader of the control log. */
  LEADER,
  /** The first view with a configuration has arrived. */
  VIEW,
  /** The control leader has confirmed the view. */
  VIEW_LEASE,
  /** The control leader has granted connections. */
  CONNECTION_LEASE,
  /** A server has proved to this host that it is the primary of its group. */
  PRIMARY_PROOF,
  /** The position of a primary is known. */
  SAMPLE,
  /** A statement of this host's callers has succeeded. */
  STATEMENT,
  /** The ports for readiness, operators and metrics are open. */
  HTTP_PORTS;

  /** Returns the name in log lines. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
