package org.alderyard.common.view;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * An organisation whose callers use the databases.
 *
 * @param name the name by which backend servers know the organisation
 * @param keyDigests the digests of its callers' keys, see {@link KeyDigest}
 * @param priority the priority; 0 is served first
 * @param quota the limit on its operations; empty if it has none
 */
public record OrganisationState(
    String name, List<Bytes> keyDigests, int priority, Optional<OrganisationQuota> quota) {

  /** Rejects null components and copies the digests. */
  public OrganisationState {
    Objects.requireNonNull(name);
    keyDigests = List.copyOf(keyDigests);
    Objects.requireNonNull(quota);
  }
}
