package org.alderyard.proxy.statement;

/** Why a read went where it went. */
enum ReadReason {
  REPLICA_HAS_POSITION,
  PRIMARY_ASKED_FOR,
  NO_REPLICA_ELIGIBLE
}
