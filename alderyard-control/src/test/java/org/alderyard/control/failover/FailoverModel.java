package org.alderyard.control.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;

/**
 * Discrete-event simulation of many groups under one control leader, with the real director, queue
 * and backoff and a fixed duration for each operation. A server that is down does not respond.
 */
final class FailoverModel {
  private static final long STEP_MILLIS = 5;

  /** The duration of each operation, in milliseconds. */
  record Durations(long log, long fence, long promote) {}

  /** A group: its record in the control log and the attempt of the leader. */
  static final class Group {
    final ModelServer[] servers;
    final boolean[] down;
    FailoverRecord record;
    Attempt attempt;
    long suspectedAtMillis = Long.MAX_VALUE;
    long publishedAtMillis = -1;
    int grantCount;
    boolean operationRunning;
    long nextStepMillis;

    Group(int number) {
      servers = new ModelServer[3];
      down = new boolean[3];
      List<ServerId> members = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        servers[i] = new ModelServer(1, i == 0 ? 1 : 0, i == 0 ? 0 : 1, new byte[] {1});
        members.add(ModelState.serverId(i));
      }
      record =
          FailoverRecord.steady(
              new GroupId("g" + number), 1, members, Optional.of(ModelState.serverId(0)));
      attempt = Attempt.begin(1, 0);
    }

    boolean hasWorkingPrimary() {
      int primary = ModelState.serverIndex(record.previousPrimary().orElseThrow());
      return record.phase() == FailoverPhase.STEADY
          && !down[primary]
          && servers[primary].primaryOf == record.term();
    }
  }

  private record Event(long atMillis, long sequence, Runnable action) {}

  final Map<GroupId, Group> groups = new TreeMap<>();
  private final DirectorOptions options = DirectorOptions.DEFAULT;
  private final Director director = new Director(options);
  private final FlapBackoff backoff = new FlapBackoff(options);
  private final FailoverQueue queue = new FailoverQueue(options.maxConcurrentFailovers());
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private final SplittableRandom random;
  private final Durations durations;
  private long nextEventSequence;
  private long nextLeaderSinceMillis;
  private long leaderFailsAtMillis = Long.MAX_VALUE;
  private long leaderEpoch;
  int peakConcurrent;
  long nowMillis;

  FailoverModel(int groupCount, Durations durations, long seed) {
    this.durations = durations;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < groupCount; i++) {
      Group group = new Group(i);
      groups.put(group.record.group(), group);
    }
  }

  /** Stops the leader at the given time; the next leader starts after the election. */
  void failLeader(long atMillis, long electionMillis) {
    leaderFailsAtMillis = atMillis;
    nextLeaderSinceMillis = atMillis + electionMillis;
  }

  void schedule(long atMillis, Runnable action) {
    events.add(new Event(atMillis, nextEventSequence++, action));
  }

  void runUntil(long endMillis) {
    while (nowMillis < endMillis) {
      nowMillis += STEP_MILLIS;
      while (!events.isEmpty() && events.peek().atMillis <= nowMillis) {
        events.poll().action.run();
      }
      if (nowMillis >= leaderFailsAtMillis && leaderEpoch == 0) {
        resetForNewLeader();
      }
      if (nowMillis < leaderFailsAtMillis || nowMillis >= nextLeaderSinceMillis) {
        startPendingFailovers();
        groups.values().forEach(this::advance);
      }
    }
  }

  /**
   * Resets the state that a new leader does not have: it reads only the log, and responses to the
   * previous leader are lost.
   */
  private void resetForNewLeader() {
    leaderEpoch++;
    for (Group group : groups.values()) {
      group.operationRunning = false;
      group.attempt = Attempt.begin(group.record.term(), nextLeaderSinceMillis);
      group.nextStepMillis = nextLeaderSinceMillis;
    }
  }

  private void startPendingFailovers() {
    List<FailoverQueue.PendingFailover> pending = new ArrayList<>();
    int running = 0;
    for (Group group : groups.values()) {
      boolean steady = group.record.phase() == FailoverPhase.STEADY;
      running += steady && !group.operationRunning ? 0 : 1;
      if (steady
          && !group.operationRunning
          && group.suspectedAtMillis <= nowMillis
          && backoff.waitMillis(group.record.grantedAtMillis(), nowMillis) == 0) {
        pending.add(
            new FailoverQueue.PendingFailover(
                group.record, FailoverKind.FAILURE, group.suspectedAtMillis, 0));
      }
    }
    for (FailoverQueue.PendingFailover next : queue.selectToStart(pending, running)) {
      running++;
      grant(groups.get(next.record().group()), next.record().term() + 1);
    }
    peakConcurrent = Math.max(peakConcurrent, running);
  }

  private void grant(Group group, long term) {
    propose(
        group,
        new FailoverStep.Grant(
            group.record.term(), term, FailoverKind.FAILURE, group.record.members(), nowMillis));
  }

  private void advance(Group group) {
    if (group.attempt.term() != group.record.term()) {
      group.attempt = Attempt.begin(group.record.term(), nowMillis);
      group.nextStepMillis = nowMillis;
    }
    if (group.operationRunning || nowMillis < group.nextStepMillis) {
      return;
    }
    DirectorDecision decision =
        director.decide(group.record, group.attempt, Set.copyOf(group.record.members()), nowMillis);
    if (decision instanceof DirectorDecision.Propose propose) {
      propose(group, propose.step());
    } else if (decision instanceof DirectorDecision.Fence fence) {
      runOperation(
          group, durations.fence(), () -> fence.servers().forEach(member -> fence(group, member)));
    } else if (decision instanceof DirectorDecision.Promote promote) {
      runOperation(group, durations.promote(), () -> promote(group, promote.server()));
    } else if (decision instanceof DirectorDecision.Regrant regrant) {
      if (backoff.waitMillis(group.record.grantedAtMillis(), nowMillis) == 0) {
        grant(group, regrant.term());
      }
    } else if (decision instanceof DirectorDecision.RefuseNoQuorum refusal) {
      group.nextStepMillis = nowMillis + refusal.retryAfterMillis();
      group.attempt = group.attempt.withStartTime(group.nextStepMillis);
    } else if (decision instanceof DirectorDecision.Follow follow) {
      follow.servers().forEach(member -> follow(group, follow.primary(), member));
      group.nextStepMillis = nowMillis + 100;
    }
  }

  private void runOperation(Group group, long durationMillis, Runnable action) {
    group.operationRunning = true;
    long epoch = leaderEpoch;
    schedule(
        nowMillis + durationMillis,
        () -> {
          // The servers execute the request even if the leader that sent it has been replaced.
          action.run();
          if (epoch == leaderEpoch) {
            group.operationRunning = false;
          }
        });
  }

  /**
   * Proposes a step; if the leader fails before the step is committed, the step is committed or
   * lost at random.
   */
  private void propose(Group group, FailoverStep step) {
    group.operationRunning = true;
    long epoch = leaderEpoch;
    schedule(
        nowMillis + durations.log(),
        () -> {
          if (epoch != leaderEpoch && random.nextBoolean()) {
            return;
          }
          StepResult result = group.record.apply(step);
          group.record = result.record();
          if (result.accepted() && step instanceof FailoverStep.Grant) {
            group.grantCount++;
            group.suspectedAtMillis = Long.MAX_VALUE;
          }
          if (result.accepted() && step instanceof FailoverStep.Publish) {
            group.publishedAtMillis = nowMillis;
          }
          if (epoch == leaderEpoch) {
            group.operationRunning = false;
          }
        });
  }

  private static void fence(Group group, ServerId server) {
    int index = ModelState.serverIndex(server);
    ModelServer modelServer = group.servers[index];
    int term = (int) group.record.term();
    if (!group.down[index]) {
      modelServer.fence(term);
      group.attempt =
          group.attempt.withFencedPosition(server, modelServer.fencedAt, modelServer.position());
    }
  }

  private static void promote(Group group, ServerId server) {
    int index = ModelState.serverIndex(server);
    if (!group.down[index] && group.servers[index].promote((int) group.record.term())) {
      group.attempt = group.attempt.withPromoted();
    }
  }

  private static void follow(Group group, ServerId primary, ServerId server) {
    int index = ModelState.serverIndex(server);
    if (!group.down[index]) {
      ModelServer modelServer = group.servers[index];
      byte[] log = group.servers[ModelState.serverIndex(primary)].entryTerms;
      modelServer.follow((int) group.record.term(), log);
      group.attempt = group.attempt.withFollower(server);
    }
  }
}
