package org.alderyard.control.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;

/**
 * A state of the exploration. Sent messages stay in the state, so that each message may be lost,
 * delayed or delivered repeatedly.
 */
final class ModelState {
  static final GroupId GROUP = new GroupId("g");

  final ModelServer[] servers;
  final FailoverRecord[] knownRecords = new FailoverRecord[2];
  final Attempt[] attempts = new Attempt[2];
  final Position[][] fenceResponses;
  final byte[][] termLogs;
  final int[][] logLengthInTerm;
  final int[] primaries;
  FailoverRecord record;
  int fenceTermsSent;
  int promotionsSent;
  int followTermsSent;
  int writes;
  TreeSet<String> proposedStepKeys = new TreeSet<>();
  List<FailoverStep> proposedSteps = new ArrayList<>();

  /** Creates the initial state: the first server is primary of term 1, and the others follow it. */
  ModelState(int serverCount, int maxTerm) {
    servers = new ModelServer[serverCount];
    for (int i = 0; i < serverCount; i++) {
      servers[i] = new ModelServer(1, i == 0 ? 1 : 0, i == 0 ? 0 : 1, new byte[0]);
    }
    fenceResponses = new Position[maxTerm + 1][serverCount];
    termLogs = new byte[maxTerm + 1][];
    termLogs[1] = new byte[0];
    logLengthInTerm = new int[maxTerm + 1][serverCount];
    primaries = new int[maxTerm + 1];
    primaries[1] = 1;
    List<ServerId> members = new ArrayList<>();
    for (int i = 0; i < serverCount; i++) {
      members.add(serverId(i));
    }
    record = FailoverRecord.steady(GROUP, 1, members, Optional.of(serverId(0)));
    for (int director = 0; director < 2; director++) {
      readRecord(director);
    }
  }

  private ModelState(ModelState other) {
    servers = new ModelServer[other.servers.length];
    for (int i = 0; i < servers.length; i++) {
      servers[i] = other.servers[i].copy();
    }
    fenceResponses = deepCopy(other.fenceResponses);
    termLogs = other.termLogs.clone();
    logLengthInTerm = deepCopy(other.logLengthInTerm);
    primaries = other.primaries.clone();
    record = other.record;
    fenceTermsSent = other.fenceTermsSent;
    promotionsSent = other.promotionsSent;
    followTermsSent = other.followTermsSent;
    writes = other.writes;
    proposedStepKeys = new TreeSet<>(other.proposedStepKeys);
    proposedSteps = new ArrayList<>(other.proposedSteps);
    System.arraycopy(other.knownRecords, 0, knownRecords, 0, 2);
    System.arraycopy(other.attempts, 0, attempts, 0, 2);
  }

  private static Position[][] deepCopy(Position[][] source) {
    return Arrays.stream(source).map(Position[]::clone).toArray(Position[][]::new);
  }

  private static int[][] deepCopy(int[][] source) {
    return Arrays.stream(source).map(int[]::clone).toArray(int[][]::new);
  }

  static ServerId serverId(int index) {
    return new ServerId("s" + index);
  }

  static int serverIndex(ServerId server) {
    return server.value().charAt(1) - '0';
  }

  ModelState copy() {
    return new ModelState(this);
  }

  /**
   * Lets a director read the record from the log; a director that reads a new term discards its
   * attempt.
   */
  void readRecord(int director) {
    if (knownRecords[director] != null && knownRecords[director].term() == record.term()) {
      knownRecords[director] = record;
      return;
    }
    crash(director);
  }

  void crash(int director) {
    knownRecords[director] = record;
    attempts[director] = Attempt.begin(record.term(), 0);
  }

  boolean addProposal(FailoverStep step) {
    if (!proposedStepKeys.add(step.toString())) {
      return false;
    }
    proposedSteps.add(step);
    return true;
  }

  /**
   * Removes state that can have no further effect, so that states which differ only in it are
   * visited once.
   *
   * <p>This applies to steps that every later record refuses, messages that no server would act on,
   * and responses held by a director of a past term, as all its proposals are refused.
   */
  void normalize() {
    if (proposedSteps.removeIf(step -> !mayBeAccepted(step))) {
      proposedStepKeys = new TreeSet<>(proposedSteps.stream().map(FailoverStep::toString).toList());
    }
    boolean granted = record.phase() == FailoverPhase.GRANTED;
    for (int term = 0; term < fenceResponses.length; term++) {
      if (term < record.term() || !granted) {
        Arrays.fill(fenceResponses[term], null);
      }
      normalizeMessages(term);
    }
    for (int director = 0; director < 2; director++) {
      boolean upToDate =
          knownRecords[director].term() == record.term()
              && knownRecords[director].phase() == record.phase();
      if (!upToDate || record.phase() == FailoverPhase.STEADY) {
        attempts[director] = Attempt.begin(knownRecords[director].term(), 0);
      } else if (!granted) {
        boolean promoted = attempts[director].promoted();
        attempts[director] = Attempt.begin(record.term(), 0);
        attempts[director] = promoted ? attempts[director].withPromoted() : attempts[director];
      }
    }
  }

  private boolean mayBeAccepted(FailoverStep step) {
    if (step instanceof FailoverStep.Grant grant) {
      return grant.expectedTerm() >= record.term();
    }
    return step.term() > record.term()
        || step.term() == record.term()
            && record.phase()
                == (step instanceof FailoverStep.Choose
                    ? FailoverPhase.GRANTED
                    : FailoverPhase.CHOSEN);
  }

  private void normalizeMessages(int term) {
    boolean allFenced = true;
    boolean allReachedTerm = true;
    for (int server = 0; server < servers.length; server++) {
      ModelServer modelServer = servers[server];
      allFenced &= modelServer.fencedAt >= term;
      boolean reachedTerm =
          modelServer.fencedAt > term
              || modelServer.primaryOf == term
              || modelServer.followerOf == term;
      allReachedTerm &= reachedTerm;
      if (reachedTerm) {
        promotionsSent &= ~(1 << (term * 3 + server));
      }
    }
    if (allFenced && (term < record.term() || record.phase() != FailoverPhase.GRANTED)) {
      fenceTermsSent &= ~(1 << term);
    }
    if (allReachedTerm) {
      followTermsSent &= ~(1 << term);
    }
  }

  Set<ServerId> eligible() {
    return Set.copyOf(record.members());
  }

  /** Records the log length of a server in the term of its role. */
  void recordLogLength(int server) {
    ModelServer modelServer = servers[server];
    int term = Math.max(modelServer.primaryOf, modelServer.followerOf);
    if (term > 0) {
      logLengthInTerm[term][server] =
          Math.max(logLengthInTerm[term][server], modelServer.entryTerms.length);
    }
  }

  /** Returns the fault of this state, or empty if it has none. */
  Optional<String> fault() {
    for (int term = 1; term < primaries.length; term++) {
      if (Integer.bitCount(primaries[term]) > 1) {
        return Optional.of("term " + term + " has two primaries");
      }
      Optional<String> lostWrite = lostWrite(term);
      if (lostWrite.isPresent()) {
        return lostWrite;
      }
    }
    return Optional.empty();
  }

  private Optional<String> lostWrite(int term) {
    int lastIndex = termLogs[term] == null ? 0 : termLogs[term].length;
    for (int index = 1; index <= lastIndex; index++) {
      if (termLogs[term][index - 1] != term || !acknowledged(term, index)) {
        continue;
      }
      for (int laterTerm = term + 1; laterTerm < termLogs.length; laterTerm++) {
        byte[] log = termLogs[laterTerm];
        if (log != null && (log.length < index || log[index - 1] != term)) {
          return Optional.of("write " + term + "/" + index + " is lost in term " + laterTerm);
        }
      }
    }
    return Optional.empty();
  }

  private boolean acknowledged(int term, int index) {
    long holderCount =
        Arrays.stream(logLengthInTerm[term]).filter(length -> length >= index).count();
    return holderCount >= record.majority();
  }

  /**
   * Encodes the state as text. The order of the two directors is normalized, as they are
   * interchangeable.
   */
  String encode() {
    StringBuilder out = new StringBuilder();
    for (ModelServer server : servers) {
      server.encode(out);
    }
    encodeRecord(out, record);
    out.append((char) fenceTermsSent).append((char) promotionsSent).append((char) followTermsSent);
    for (int term = 1; term < termLogs.length; term++) {
      encodeTerm(out, term);
    }
    proposedStepKeys.forEach(
        key -> out.append((char) key.hashCode()).append((char) (key.hashCode() >>> 16)));
    String firstDirector = encodeDirector(0);
    String secondDirector = encodeDirector(1);
    out.append(
        firstDirector.compareTo(secondDirector) <= 0
            ? firstDirector + secondDirector
            : secondDirector + firstDirector);
    return out.toString();
  }

  private void encodeTerm(StringBuilder out, int term) {
    out.append((char) primaries[term]);
    for (int server = 0; server < servers.length; server++) {
      Position response = fenceResponses[term][server];
      int encodedPosition =
          response == null ? 0 : 1 + (int) (8 * response.term() + response.index());
      out.append((char) (encodedPosition + 64 * logLengthInTerm[term][server]));
    }
    if (termLogs[term] != null) {
      for (byte entry : termLogs[term]) {
        out.append((char) entry);
      }
    }
    out.append('|');
  }

  private static void encodeRecord(StringBuilder out, FailoverRecord record) {
    out.append((char) record.term()).append((char) record.phase().ordinal());
    out.append(record.candidate().map(Candidate::server).map(ServerId::value).orElse("-"));
    out.append(
        record.candidate().map(candidate -> candidate.lastPosition().toString()).orElse("-"));
  }

  private String encodeDirector(int director) {
    StringBuilder out = new StringBuilder();
    encodeRecord(out, knownRecords[director]);
    Attempt attempt = attempts[director];
    out.append(attempt.promoted() ? '+' : '-');
    for (ServerId member : record.members()) {
      Position position = attempt.fencedPositions().get(member);
      out.append(position == null ? '-' : (char) (8 * position.term() + position.index()));
    }
    return out.toString();
  }
}
