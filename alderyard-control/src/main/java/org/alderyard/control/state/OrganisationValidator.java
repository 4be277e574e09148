package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.alderyard.common.error.FieldFault;
import org.alderyard.protocol.generated.state.Organisation;
import org.alderyard.protocol.generated.state.OrganisationQuota;

/** Validates the organisations of a configuration. */
final class OrganisationValidator {
  /** Limits the state of hosts, which keep a record of each organisation. */
  static final int MAX_ORGANISATIONS = 20_000;

  private static final int MAX_NAME_LENGTH = 255;
  private static final double MAX_RATE_PER_SECOND = 1e9;

  private OrganisationValidator() {}

  /** Returns all faults; empty when the organisations are valid. No fault contains a key. */
  static List<FieldFault> faults(List<Organisation> organisations) {
    List<FieldFault> faults = new ArrayList<>();
    if (organisations.size() > MAX_ORGANISATIONS) {
      faults.add(
          new FieldFault(
              "configuration",
              "organisations",
              Integer.toString(organisations.size()),
              "at most " + MAX_ORGANISATIONS + " organisations"));
      return faults;
    }
    Set<String> names = new HashSet<>();
    Map<ByteString, String> holders = new HashMap<>();
    for (Organisation organisation : organisations) {
      String object = "organisation/" + organisation.getName();
      if (!isWord(organisation.getName()) || !names.add(organisation.getName())) {
        faults.add(
            new FieldFault(object, "name", organisation.getName(), "a unique word without blanks"));
      }
      for (ByteString digest : organisation.getKeyDigestsList()) {
        String holder = holders.putIfAbsent(digest, organisation.getName());
        if (holder != null && !holder.equals(organisation.getName())) {
          faults.add(
              new FieldFault(
                  object,
                  "keys",
                  "a key of organisation " + holder,
                  "a key that no other organisation has"));
        }
      }
      if (organisation.hasQuota()) {
        checkQuota(object, organisation.getQuota(), faults);
      }
    }
    return faults;
  }

  /** Returns whether a name can be sent as one field of a message. */
  private static boolean isWord(String name) {
    return !name.isEmpty()
        && name.length() <= MAX_NAME_LENGTH
        && name.chars().allMatch(c -> c > ' ' && c < 0x7f);
  }

  private static void checkQuota(String object, OrganisationQuota quota, List<FieldFault> faults) {
    if (!isInRange(quota.getRatePerSecond())) {
      faults.add(outOfRange(object, "rate", quota.getRatePerSecond()));
    }
    if (!isInRange(quota.getBurst())) {
      faults.add(outOfRange(object, "burst", quota.getBurst()));
    }
  }

  /** Returns whether a value is in range; NaN is not. */
  private static boolean isInRange(double value) {
    return value >= 0 && value <= MAX_RATE_PER_SECOND;
  }

  private static FieldFault outOfRange(String object, String field, double value) {
    return new FieldFault(
        object, field, Double.toString(value), "a number from 0 to " + MAX_RATE_PER_SECOND);
  }
}
