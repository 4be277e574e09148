package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.alderyard.common.id.Addresses;

/**
 * The listed members by the text of their addresses, and the addresses of other members. Parsed
 * addresses are kept, since each message to a member needs one. Used only on the serial loop.
 */
final class MemberAddresses {
  /** More than the members of any cluster; beyond it, addresses are parsed each time. */
  private static final int MAX_PARSED = 64;

  private final Map<String, InetSocketAddress> listed = new LinkedHashMap<>();
  private final Map<String, Optional<InetSocketAddress>> parsed = new HashMap<>();
  private final boolean openMembership;

  MemberAddresses(List<InetSocketAddress> members, boolean openMembership) {
    members.forEach(address -> listed.put(Addresses.text(address), address));
    this.openMembership = openMembership;
  }

  /** Returns a copy of the listed members. */
  Map<String, InetSocketAddress> listed() {
    return new LinkedHashMap<>(listed);
  }

  boolean isListed(String endpoint) {
    return listed.containsKey(endpoint);
  }

  /** Returns the address of a member; empty if it is not listed and the membership is closed. */
  Optional<InetSocketAddress> resolve(String endpoint) {
    InetSocketAddress known = listed.get(endpoint);
    if (known != null || !openMembership) {
      return Optional.ofNullable(known);
    }
    return parsed.size() < MAX_PARSED
        ? parsed.computeIfAbsent(endpoint, Addresses::parse)
        : Addresses.parse(endpoint);
  }
}
