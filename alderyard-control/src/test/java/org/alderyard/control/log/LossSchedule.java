package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.alderyard.control.raft.Membership;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.generated.raft.RaftMessage;

/**
 * A schedule of losses of control hosts within what the settings tolerate; all choices follow from
 * the seed.
 */
final class LossSchedule {
  private static final int MAX_REPLACEMENTS_AT_ONCE = 1;
  private static final long CATCH_UP_MILLIS = 6_000;
  private static final long RECOVERY_MILLIS = 15_000;
  private static final long STEP_MILLIS = 10;

  /** The time of a connection attempt, to which the machine of an ended process replies. */
  private static final long END_DETECTION_MILLIS = 20;

  /**
   * What a schedule may contain.
   *
   * @param calmMillis the time after the end of a replaced host without another loss
   * @param splits whether the hosts may be split into halves
   * @param poweredOff whether some replaced hosts lose power, so that their end is not seen
   */
  record Limits(long calmMillis, boolean splits, boolean poweredOff) {}

  private record End(long dueMillis, ModelHost host) {}

  private record Transit(long dueMillis, RaftMessage message) {}

  /**
   * A host that is replaced and ends at a time, or, with a negative time, one that is down and
   * returns at the opposite of that time.
   */
  private record Replacement(ModelHost old, ModelHost successor, long endMillis) {}

  private final SplittableRandom random;
  private final OpenMembership openMembership;
  private final int tolerated;
  private final Limits limits;
  private final List<ModelHost> hosts = new ArrayList<>();
  private final List<Transit> transits = new ArrayList<>();
  private final List<End> ends = new ArrayList<>();
  private final List<Replacement> replacements = new ArrayList<>();
  // Hosts that count together with the one that they replace, which is gone already.
  private final List<ModelHost> successorsOfGone = new ArrayList<>();
  final List<String> confirmed = new ArrayList<>();
  final List<String> history = new ArrayList<>();
  private final List<String> proposed = new ArrayList<>();
  private long splitUntilMillis;
  private long calmUntilMillis;
  private long nowMillis;
  private long nextReplicaId = 1;

  LossSchedule(long seed, int hostCount, int tolerated, Limits limits) {
    this.limits = limits;
    random = new SplittableRandom(seed);
    this.tolerated = tolerated;
    int voters = 2 * tolerated + 1;
    openMembership = new OpenMembership(voters, true, List::of);
    List<Member> founders = new ArrayList<>();
    for (int number = 1; number <= hostCount; number++) {
      ModelHost host = addHost();
      if (number <= voters) {
        founders.add(
            Member.newBuilder()
                .setReplicaId(nextReplicaId + number - 1)
                .setHostId(host.id)
                .setAddress(host.id)
                .setVoter(true)
                .build());
      }
    }
    for (int number = 0; number < hostCount; number++) {
      Membership known = number < voters ? new Membership(founders) : Membership.EMPTY;
      hosts.get(number).format(nextReplicaId++, known, true);
      hosts.get(number).start(nowMillis);
    }
  }

  private ModelHost addHost() {
    ModelHost host =
        new ModelHost("host-" + hosts.size(), openMembership, random.split(), this::send);
    hosts.add(host);
    return host;
  }

  private void send(RaftMessage message) {
    transits.add(new Transit(nowMillis + random.nextInt(3) * STEP_MILLIS, message));
  }

  private Stream<ModelHost> active() {
    return hosts.stream().filter(host -> host.isActive(nowMillis));
  }

  private Optional<ModelHost> leader() {
    return active()
        .filter(host -> host.core().hasCommittedInTerm())
        .max((a, b) -> Long.compare(a.core().term(), b.core().term()));
  }

  void run() {
    runFor(2_000, false);
    runFor(4_000 + random.nextInt(16_000), true);
    while (nowMillis < calmUntilMillis) {
      step();
    }
    proposeUntilConfirmed();
    loseDisksAndPower();
    runFor(1_000, false);
    for (ModelHost host : hosts) {
      if (!host.gone && !host.isRunning()) {
        host.start(nowMillis);
      }
    }
    splitUntilMillis = 0;
    long startMillis = nowMillis;
    history.add("return");
    proposeUntilConfirmed();
    assertThat(nowMillis - startMillis).isAtMost(RECOVERY_MILLIS);
    assertThat(leader().orElseThrow().applied()).containsAtLeastElementsIn(confirmed).inOrder();
  }

  /** Proposes commands until one is confirmed, at most for the time of the recovery. */
  private void proposeUntilConfirmed() {
    int before = confirmed.size();
    for (long end = nowMillis + RECOVERY_MILLIS + CATCH_UP_MILLIS; confirmed.size() == before; ) {
      if (nowMillis >= end) {
        describeHosts();
      }
      assertWithMessage("time of the recovery").that(nowMillis).isLessThan(end);
      propose();
      step();
    }
  }

  private void describeHosts() {
    active().forEach(host -> history.add(host.id + " with " + host.core().membership()));
  }

  private void runFor(long millis, boolean disrupted) {
    for (long end = nowMillis + millis; nowMillis < end; ) {
      if (random.nextInt(8) == 0) {
        propose();
      }
      if (disrupted && random.nextInt(60) == 0) {
        disrupt();
      }
      step();
    }
  }

  private void propose() {
    String command = "c" + proposed.size();
    if (leader().filter(host -> host.propose(command)).isPresent()) {
      proposed.add(command + ";");
    }
  }

  /** Runs the hosts for one step, and records as confirmed what a leader has applied. */
  private void step() {
    nowMillis += STEP_MILLIS;
    endReplacedHosts();
    deliverEnds();
    for (ModelHost host : active().toList()) {
      host.tick(nowMillis).ifPresent(this::join);
    }
    List<Transit> due =
        transits.stream().filter(transit -> transit.dueMillis() <= nowMillis).toList();
    transits.removeAll(due);
    due.forEach(this::deliver);
    leader()
        .ifPresent(
            host ->
                host.applied().stream()
                    .skip(Math.max(0, confirmed.size() - 50))
                    .filter(command -> !confirmed.contains(command))
                    .forEach(confirmed::add));
  }

  private void join(Member member) {
    ModelHost sender = hostOf(member.getReplicaId()).orElseThrow();
    active()
        .filter(host -> host != sender && isConnected(host, sender))
        .forEach(host -> host.onJoin(member, nowMillis));
  }

  private Optional<ModelHost> hostOf(long replicaId) {
    return hosts.stream().filter(host -> host.replicaId == replicaId).findFirst();
  }

  private boolean isConnected(ModelHost one, ModelHost other) {
    return nowMillis >= splitUntilMillis || hosts.indexOf(one) % 2 == hosts.indexOf(other) % 2;
  }

  private void deliver(Transit transit) {
    Optional<ModelHost> from = hostOf(transit.message().getFrom());
    Optional<ModelHost> to = hostOf(transit.message().getTo()).filter(ModelHost::isRunning);
    if (to.isEmpty() || from.isPresent() && !isConnected(from.get(), to.get())) {
      return;
    }
    if (!to.get().isActive(nowMillis)) {
      transits.add(new Transit(to.get().frozenUntilMillis, transit.message()));
      return;
    }
    if (random.nextInt(200) > 0) {
      to.get().receive(transit.message(), nowMillis, false);
    }
  }

  /** Hosts that count as lost: down, frozen, or back or new for less than the catch-up time. */
  private List<ModelHost> lost() {
    return hosts.stream()
        .filter(host -> nowMillis < host.lostUntilMillis || !host.gone && !host.isRunning())
        .toList();
  }

  private void disrupt() {
    int choice = random.nextInt(7);
    if (choice == 0) {
      active().toList().forEach(host -> takeSnapshotSometimes(host));
    } else if (nowMillis < calmUntilMillis) {
      return;
    } else if (choice == 1) {
      split();
    } else if (choice == 2) {
      leader().ifPresent(this::handOver);
    } else if (lost().size() < tolerated) {
      loseHost(choice);
    }
  }

  private void split() {
    if (limits.splits()) {
      splitUntilMillis = nowMillis + random.nextInt(3_000);
      history.add(nowMillis + " split");
    }
  }

  private void takeSnapshotSometimes(ModelHost host) {
    if (random.nextBoolean()) {
      host.takeSnapshot();
    }
  }

  private void handOver(ModelHost host) {
    List<Long> voters = host.core().membership().voters();
    host.core().handOver(voters.get(random.nextInt(voters.size())));
  }

  private void loseHost(int choice) {
    List<ModelHost> candidates =
        active()
            .filter(host -> nowMillis >= host.lostUntilMillis)
            .filter(host -> replacements.stream().noneMatch(pair -> pair.old() == host))
            .toList();
    if (candidates.isEmpty()) {
      return;
    }
    ModelHost host = candidates.get(random.nextInt(candidates.size()));
    long downMillis = 200 + random.nextInt(3_000);
    history.add(nowMillis + " " + host.id + " choice " + choice + " for " + downMillis);
    switch (choice) {
      case 3 -> {
        host.frozenUntilMillis = nowMillis + downMillis;
        host.lostUntilMillis = nowMillis + downMillis + CATCH_UP_MILLIS;
      }
      case 4 -> restartLater(host, downMillis, random.nextBoolean());
      default -> replace(host, choice == 5);
    }
  }

  private void restartLater(ModelHost host, long downMillis, boolean wiped) {
    host.crash();
    if (wiped) {
      history.add("wiped");
      host.format(nextReplicaId++, Membership.EMPTY, false);
    }
    host.lostUntilMillis = nowMillis + downMillis + CATCH_UP_MILLIS;
    replacements.add(new Replacement(host, host, -nowMillis - downMillis));
  }

  /** Starts a successor; the old host ends for good now, or once the successor has caught up. */
  private void replace(ModelHost old, boolean planned) {
    long running = replacements.stream().filter(pair -> pair.endMillis() >= 0).count();
    if (running >= MAX_REPLACEMENTS_AT_ONCE) {
      return;
    }
    ModelHost successor = addHost();
    successor.format(nextReplicaId++, Membership.EMPTY, false);
    successor.start(nowMillis);
    successor.lostUntilMillis = nowMillis + CATCH_UP_MILLIS;
    long waitMillis = planned ? CATCH_UP_MILLIS + random.nextInt(1_000) : 0;
    replacements.add(new Replacement(old, successor, nowMillis + waitMillis));
    if (!planned) {
      successorsOfGone.add(successor);
    }
    history.add(successor.id + (planned ? " replaces it later" : " replaces it now"));
  }

  /** Ends replaced hosts; a negative time is that of the return of a host that is down. */
  private void endReplacedHosts() {
    for (Replacement pair : List.copyOf(replacements)) {
      if (pair.endMillis() >= 0 && nowMillis >= pair.endMillis() && mayEnd(pair)) {
        calmUntilMillis = nowMillis + limits.calmMillis();
        pair.old().crash();
        pair.old().gone = true;
        reportEnd(pair.old());
        replacements.remove(pair);
        history.add(nowMillis + " " + pair.old().id + " gone");
      } else if (pair.endMillis() < 0 && nowMillis >= -pair.endMillis()) {
        pair.old().start(nowMillis);
        replacements.remove(pair);
      }
    }
  }

  /** Tells the hosts that reach the machine of an ended process so, unless it has no power. */
  private void reportEnd(ModelHost ended) {
    if (limits.poweredOff() && random.nextBoolean()) {
      return;
    }
    long dueMillis = nowMillis + END_DETECTION_MILLIS;
    ends.add(new End(dueMillis, ended));
  }

  private void deliverEnds() {
    List<End> due = ends.stream().filter(end -> end.dueMillis() <= nowMillis).toList();
    ends.removeAll(due);
    for (End end : due) {
      active()
          .filter(host -> isConnected(host, end.host()))
          .forEach(host -> host.onEndedProcess(end.host().replicaId, nowMillis));
    }
  }

  /** A host that is replaced as planned stays while its successor counts as lost. */
  private boolean mayEnd(Replacement pair) {
    return nowMillis >= calmUntilMillis
        && (successorsOfGone.contains(pair.successor()) || !lost().contains(pair.successor()));
  }

  private void loseDisksAndPower() {
    List<ModelHost> wiped = new ArrayList<>(lost());
    int budget = tolerated - (int) wiped.stream().filter(successorsOfGone::contains).count();
    wiped.removeAll(successorsOfGone);
    wiped.removeIf(host -> host.gone);
    List<ModelHost> others =
        new ArrayList<>(
            hosts.stream().filter(host -> !host.gone && !lost().contains(host)).toList());
    while (wiped.size() < budget && !others.isEmpty()) {
      wiped.add(others.remove(random.nextInt(others.size())));
    }
    history.add(nowMillis + " wiped " + wiped.stream().map(host -> host.id).toList());
    replacements.clear();
    transits.clear();
    hosts.forEach(ModelHost::crash);
    wiped.forEach(host -> host.format(nextReplicaId++, Membership.EMPTY, false));
  }
}
