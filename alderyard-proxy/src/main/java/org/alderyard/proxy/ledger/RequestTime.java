package org.alderyard.proxy.ledger;

import java.util.OptionalLong;
import java.util.UUID;
import org.alderyard.common.id.RequestId;

/** Extracts the timestamp of a request ID that is a version 7 UUID (RFC 9562). */
final class RequestTime {
  private static final int TIME_ORDERED_VERSION = 7;
  private static final int TIME_SHIFT = 16;
  private static final int UUID_LENGTH = 36;

  private RequestTime() {}

  /**
   * Returns when the ID was created, in milliseconds since 1970; empty if it is not a version 7
   * UUID.
   */
  static OptionalLong of(RequestId id) {
    if (id.value().length() != UUID_LENGTH) {
      return OptionalLong.empty();
    }
    try {
      UUID uuid = UUID.fromString(id.value());
      return uuid.version() == TIME_ORDERED_VERSION
          ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIME_SHIFT)
          : OptionalLong.empty();
    } catch (IllegalArgumentException malformed) {
      return OptionalLong.empty();
    }
  }
}
