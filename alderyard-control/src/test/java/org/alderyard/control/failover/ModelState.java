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
 * One state of the exploration. What was sent stays in the state, so each message may arrive never,
 * late or many times.
 */
final class ModelState {
  static final GroupId GROUP = new GroupId("g");

  final ModelServer[] servers;
  final FailoverRecord[] known = new FailoverRecord[2];
  final Attempt[] attempts = new Attempt[2];
  final Position[][] fenceAnswers;
  final byte[][] termLogs;
  final int[][] heldInTerm;
  final int[] primaries;
  FailoverRecord record;
  int fencesSent;
  int promotesSent;
  int followsSent;
  int writes;
  TreeSet<String> proposalKeys = new TreeSet<>();
  List<FailoverStep> proposals = new ArrayList<>();

  /** The first primary leads term 1 and the others follow it. */
  ModelState(int serverCount, int maxTerm) {
    servers = new ModelServer[serverCount];
    for (int i = 0; i < serverCount; i++) {
      servers[i] = new ModelServer(1, i == 0 ? 1 : 0, i == 0 ? 0 : 1, new byte[0]);
    }
    fenceAnswers = new Position[maxTerm + 1][serverCount];
    termLogs = new byte[maxTerm + 1][];
    termLogs[1] = new byte[0];
    heldInTerm = new int[maxTerm + 1][serverCount];
    primaries = new int[maxTerm + 1];
    primaries[1] = 1;
    List<ServerId> members = new ArrayList<>();
    for (int i = 0; i < serverCount; i++) {
      members.add(server(i));
    }
    record = FailoverRecord.steady(GROUP, 1, members, Optional.of(server(0)));
    for (int director = 0; director < 2; director++) {
      read(director);
    }
  }

  private ModelState(ModelState other) {
    servers = new ModelServer[other.servers.length];
    for (int i = 0; i < servers.length; i++) {
      servers[i] = other.servers[i].copy();
    }
    fenceAnswers = deep(other.fenceAnswers);
    termLogs = other.termLogs.clone();
    heldInTerm = deep(other.heldInTerm);
    primaries = other.primaries.clone();
    record = other.record;
    fencesSent = other.fencesSent;
    promotesSent = other.promotesSent;
    followsSent = other.followsSent;
    writes = other.writes;
    proposalKeys = new TreeSet<>(other.proposalKeys);
    proposals = new ArrayList<>(other.proposals);
    System.arraycopy(other.known, 0, known, 0, 2);
    System.arraycopy(other.attempts, 0, attempts, 0, 2);
  }

  private static Position[][] deep(Position[][] from) {
    return Arrays.stream(from).map(Position[]::clone).toArray(Position[][]::new);
  }

  private static int[][] deep(int[][] from) {
    return Arrays.stream(from).map(int[]::clone).toArray(int[][]::new);
  }

  static ServerId server(int number) {
    return new ServerId("s" + number);
  }

  static int number(ServerId server) {
    return server.value().charAt(1) - '0';
  }

  ModelState copy() {
    return new ModelState(this);
  }

  /** A director starts anew, or refreshes what it knows of the log. */
  void read(int director) {
    if (known[director] != null && known[director].term() == record.term()) {
      known[director] = record;
      return;
    }
    crash(director);
  }

  void crash(int director) {
    known[director] = record;
    attempts[director] = Attempt.begin(record.term(), 0);
  }

  boolean send(FailoverStep step) {
    if (!proposalKeys.add(step.toString())) {
      return false;
    }
    proposals.add(step);
    return true;
  }

  /**
   * Drops what can have no effect any more, so that states which differ in it alone count once: a
   * step that every later record refuses, a message that no server would act on, and the answers
   * that a director of a past term holds, since all it can still propose is refused.
   */
  void normalize() {
    if (proposals.removeIf(step -> !acceptableLater(step))) {
      proposalKeys = new TreeSet<>(proposals.stream().map(FailoverStep::toString).toList());
    }
    boolean open = record.phase() == FailoverPhase.GRANTED;
    for (int term = 0; term < fenceAnswers.length; term++) {
      if (term < record.term() || !open) {
        Arrays.fill(fenceAnswers[term], null);
      }
      normalizeMessages(term);
    }
    for (int director = 0; director < 2; director++) {
      boolean current =
          known[director].term() == record.term() && known[director].phase() == record.phase();
      if (!current || record.phase() == FailoverPhase.STEADY) {
        attempts[director] = Attempt.begin(known[director].term(), 0);
      } else if (!open) {
        boolean promoted = attempts[director].promoted();
        attempts[director] = Attempt.begin(record.term(), 0);
        attempts[director] = promoted ? attempts[director].withPromoted() : attempts[director];
      }
    }
  }

  private boolean acceptableLater(FailoverStep step) {
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
    boolean allSettled = true;
    for (int server = 0; server < servers.length; server++) {
      ModelServer one = servers[server];
      allFenced &= one.fencedAt >= term;
      boolean settled = one.fencedAt > term || one.primaryOf == term || one.followerOf == term;
      allSettled &= settled;
      if (settled) {
        promotesSent &= ~(1 << (term * 3 + server));
      }
    }
    if (allFenced && (term < record.term() || record.phase() != FailoverPhase.GRANTED)) {
      fencesSent &= ~(1 << term);
    }
    if (allSettled) {
      followsSent &= ~(1 << term);
    }
  }

  Set<ServerId> eligible() {
    return Set.copyOf(record.members());
  }

  /** Notes what a server holds in the term that it is in. */
  void noteHeld(int server) {
    ModelServer one = servers[server];
    int term = Math.max(one.primaryOf, one.followerOf);
    if (term > 0) {
      heldInTerm[term][server] = Math.max(heldInTerm[term][server], one.entryTerms.length);
    }
  }

  /** Returns the fault of this state, if it has one. */
  Optional<String> fault() {
    for (int term = 1; term < primaries.length; term++) {
      if (Integer.bitCount(primaries[term]) > 1) {
        return Optional.of("term " + term + " has two primaries");
      }
      Optional<String> lost = lostWrite(term);
      if (lost.isPresent()) {
        return lost;
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
      for (int later = term + 1; later < termLogs.length; later++) {
        byte[] log = termLogs[later];
        if (log != null && (log.length < index || log[index - 1] != term)) {
          return Optional.of("write " + term + "/" + index + " is lost in term " + later);
        }
      }
    }
    return Optional.empty();
  }

  private boolean acknowledged(int term, int index) {
    long holders = Arrays.stream(heldInTerm[term]).filter(held -> held >= index).count();
    return holders >= record.majority();
  }

  /** Returns the state as text; the two directors are alike, so their order does not count. */
  String encode() {
    StringBuilder out = new StringBuilder();
    for (ModelServer server : servers) {
      server.encode(out);
    }
    encodeRecord(out, record);
    out.append((char) fencesSent).append((char) promotesSent).append((char) followsSent);
    for (int term = 1; term < termLogs.length; term++) {
      encodeTerm(out, term);
    }
    proposalKeys.forEach(
        key -> out.append((char) key.hashCode()).append((char) (key.hashCode() >>> 16)));
    String first = encodeDirector(0);
    String second = encodeDirector(1);
    out.append(first.compareTo(second) <= 0 ? first + second : second + first);
    return out.toString();
  }

  private void encodeTerm(StringBuilder out, int term) {
    out.append((char) primaries[term]);
    for (int server = 0; server < servers.length; server++) {
      Position answer = fenceAnswers[term][server];
      int answered = answer == null ? 0 : 1 + (int) (8 * answer.term() + answer.index());
      out.append((char) (answered + 64 * heldInTerm[term][server]));
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
    out.append(record.choice().map(Choice::server).map(ServerId::value).orElse("-"));
    out.append(record.choice().map(choice -> choice.held().toString()).orElse("-"));
  }

  private String encodeDirector(int director) {
    StringBuilder out = new StringBuilder();
    encodeRecord(out, known[director]);
    Attempt attempt = attempts[director];
    out.append(attempt.promoted() ? '+' : '-');
    for (ServerId member : record.members()) {
      Position position = attempt.fenced().get(member);
      out.append(position == null ? '-' : (char) (8 * position.term() + position.index()));
    }
    return out.toString();
  }
}
