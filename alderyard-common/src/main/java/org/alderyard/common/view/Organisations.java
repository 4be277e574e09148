package org.alderyard.common.view;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The organisations of a configuration, indexed by name and by the digest of a key. */
public final class Organisations {
  /** No organisations: callers need no key. */
  public static final Organisations NONE = new Organisations(false, List.of());

  private final boolean requiresKeys;
  private final List<OrganisationState> all;
  private final Map<String, OrganisationState> byName = new HashMap<>();
  private final Map<Bytes, OrganisationState> byKeyDigest = new HashMap<>();

  private Organisations(boolean requiresKeys, List<OrganisationState> organisations) {
    this.requiresKeys = requiresKeys;
    all = List.copyOf(organisations);
    for (OrganisationState organisation : all) {
      byName.put(organisation.name(), organisation);
      organisation.keyDigests().forEach(digest -> byKeyDigest.put(digest, organisation));
    }
  }

  /** Returns organisations whose callers need a key, except on databases with public access. */
  public static Organisations of(List<OrganisationState> organisations) {
    return new Organisations(true, organisations);
  }

  /** Returns whether callers need the key of an organisation. */
  public boolean requiresKeys() {
    return requiresKeys;
  }

  /** Returns all organisations, in the operator's order. */
  public List<OrganisationState> all() {
    return all;
  }

  /** Returns the organisation with this name. */
  public Optional<OrganisationState> byName(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  /** Returns the organisation that holds the key with this digest. */
  public Optional<OrganisationState> byKeyDigest(Bytes digest) {
    return Optional.ofNullable(byKeyDigest.get(digest));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Organisations organisations
        && requiresKeys == organisations.requiresKeys
        && all.equals(organisations.all);
  }

  @Override
  public int hashCode() {
    return all.hashCode();
  }

  @Override
  public String toString() {
    return "Organisations" + byName.keySet();
  }
}
