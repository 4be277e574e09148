package org.alderyard.cli.local;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Changes that operators sent, their acknowledgements, and what these require. Thread-safe. */
final class ChangeLedger {
  private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

  private final List<OperatorChange> sent = new ArrayList<>();
  private final List<Acknowledgement> acknowledgements = new ArrayList<>();

  /**
   * A response 200 to a change.
   *
   * @param host the host that responded
   * @param atNanos the time of the response
   * @param inForce the version in the body of the response; 0 if it contains none
   */
  record Acknowledgement(OperatorChange change, String host, long atNanos, int inForce) {
    boolean supersededAlready() {
      return inForce > change.version();
    }
  }

  /** A change whose added database every host must serve some time after it was acknowledged. */
  record Requirement(OperatorChange change, long sinceNanos) {}

  static OptionalInt version(String json) {
    Matcher matcher = VERSION.matcher(json);
    return matcher.find()
        ? OptionalInt.of(Integer.parseInt(matcher.group(1)))
        : OptionalInt.empty();
  }

  synchronized void recordSent(OperatorChange change) {
    if (!sent.contains(change)) {
      sent.add(change);
    }
  }

  synchronized void recordAcknowledged(
      OperatorChange change, String host, long atNanos, String responseBody) {
    acknowledgements.add(
        new Acknowledgement(change, host, atNanos, version(responseBody).orElse(0)));
  }

  synchronized Optional<OperatorChange> sentAs(String json) {
    int version = version(json).orElse(0);
    return sent.stream()
        .filter(change -> change.version() == version)
        .filter(change -> change.json().equals(json))
        .findFirst();
  }

  synchronized List<Acknowledgement> acknowledgements() {
    return List.copyOf(acknowledgements);
  }

  synchronized int highestAcknowledgedVersion() {
    return acknowledgements.stream().mapToInt(a -> a.change().version()).max().orElse(0);
  }

  /**
   * Returns the databases that acknowledged changes added, and that every change of a higher
   * version contains, whether acknowledged or not.
   */
  synchronized List<Requirement> requirements(int fromVersion) {
    return acknowledgements.stream()
        .filter(acknowledgement -> !acknowledgement.supersededAlready())
        .filter(acknowledgement -> acknowledgement.change().version() >= fromVersion)
        .filter(acknowledgement -> isKeptByLaterChanges(acknowledgement.change()))
        .map(a -> new Requirement(a.change(), a.atNanos()))
        .toList();
  }

  /** Returns the requirement of the acknowledged change with the highest version, if it has one. */
  synchronized Optional<Requirement> newestRequirement() {
    return acknowledgements.stream()
        .filter(acknowledgement -> !acknowledgement.supersededAlready())
        .max(Comparator.comparingInt(a -> a.change().version()))
        .filter(newest -> isKeptByLaterChanges(newest.change()))
        .map(newest -> new Requirement(newest.change(), newest.atNanos()));
  }

  synchronized boolean isKeptByLaterChanges(OperatorChange change) {
    return sent.stream()
        .filter(later -> later.version() > change.version())
        .allMatch(later -> later.databases().contains(change.added()));
  }

  /** Returns the change that was first sent last. */
  synchronized OperatorChange newestSent() {
    return sent.get(sent.size() - 1);
  }

  /** Returns acknowledgements that contradict themselves or another acknowledgement. */
  synchronized List<String> contradictions() {
    List<String> found = new ArrayList<>();
    for (Acknowledgement one : acknowledgements) {
      if (one.inForce() < one.change().version()) {
        found.add("acknowledged with a lower version: " + text(one));
      }
      acknowledgements.stream()
          .filter(other -> other.change().version() == one.change().version())
          .filter(other -> !other.change().equals(one.change()))
          .filter(other -> !other.supersededAlready() && !one.supersededAlready())
          .forEach(
              other -> found.add("two contents acknowledged: " + text(one) + ", " + text(other)));
    }
    return found;
  }

  static String text(Acknowledgement a) {
    return "version %d with %s at %s, in force %d"
        .formatted(a.change().version(), a.change().added(), a.host(), a.inForce());
  }
}
