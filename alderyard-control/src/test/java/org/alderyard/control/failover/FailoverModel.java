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
 * Many groups under one control leader in model time: the real director, queue and back-off, with a
 * fixed cost for each effect. A server that is down gives no answer.
 */
final class FailoverModel {
  private static final long STEP_MILLIS = 5;

  /** What each effect takes, in milliseconds. */
  record Costs(long log, long fence, long promote) {}

  /** One group: its record in the control log, and what the leader knows of it. */
  static final class Group {
    final ModelServer[] servers;
    final boolean[] down;
    FailoverRecord record;
    Attempt attempt;
    long suspectedAtMillis = Long.MAX_VALUE;
    long publishedAtMillis = -1;
    int grants;
    boolean busy;
    long dueMillis;

    Group(int number) {
      servers = new ModelServer[3];
      down = new boolean[3];
      List<ServerId> members = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        servers[i] = new ModelServer(1, i == 0 ? 1 : 0, i == 0 ? 0 : 1, new byte[] {1});
        members.add(ModelState.server(i));
      }
      record =
          FailoverRecord.steady(
              new GroupId("g" + number), 1, members, Optional.of(ModelState.server(0)));
      attempt = Attempt.begin(1, 0);
    }

    boolean working() {
      int primary = ModelState.number(record.previousPrimary().orElseThrow());
      return record.phase() == FailoverPhase.STEADY
          && !down[primary]
          && servers[primary].primaryOf == record.term();
    }
  }

  private record Event(long atMillis, long number, Runnable effect) {}

  final Map<GroupId, Group> groups = new TreeMap<>();
  private final DirectorOptions options = DirectorOptions.DEFAULT;
  private final Director director = new Director(options);
  private final FlapBackoff backoff = new FlapBackoff(options);
  private final FailoverQueue queue = new FailoverQueue(options.maxConcurrent());
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final SplittableRandom random;
  private final Costs costs;
  private long nextEvent;
  private long leaderSinceMillis;
  private long leaderLostAtMillis = Long.MAX_VALUE;
  private long reign;
  int mostConcurrent;
  long nowMillis;

  FailoverModel(int groupCount, Costs costs, long seed) {
    this.costs = costs;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < groupCount; i++) {
      Group group = new Group(i);
      groups.put(group.record.group(), group);
    }
  }

  /** The leader dies at a time, and the next one works after the election. */
  void loseLeader(long atMillis, long electionMillis) {
    leaderLostAtMillis = atMillis;
    leaderSinceMillis = atMillis + electionMillis;
  }

  void at(long atMillis, Runnable effect) {
    events.add(new Event(atMillis, nextEvent++, effect));
  }

  void runUntil(long endMillis) {
    while (nowMillis < endMillis) {
      nowMillis += STEP_MILLIS;
      while (!events.isEmpty() && events.peek().atMillis <= nowMillis) {
        events.poll().effect.run();
      }
      if (nowMillis >= leaderLostAtMillis && reign == 0) {
        forgetAll();
      }
      if (nowMillis < leaderLostAtMillis || nowMillis >= leaderSinceMillis) {
        startWaiting();
        groups.values().forEach(this::advance);
      }
    }
  }

  /** A new leader knows the log alone; what was on its way to the old one is lost. */
  private void forgetAll() {
    reign++;
    for (Group group : groups.values()) {
      group.busy = false;
      group.attempt = Attempt.begin(group.record.term(), leaderSinceMillis);
      group.dueMillis = leaderSinceMillis;
    }
  }

  private void startWaiting() {
    List<FailoverQueue.Waiting> waiting = new ArrayList<>();
    int running = 0;
    for (Group group : groups.values()) {
      boolean steady = group.record.phase() == FailoverPhase.STEADY;
      running += steady && !group.busy ? 0 : 1;
      if (steady
          && !group.busy
          && group.suspectedAtMillis <= nowMillis
          && backoff.waitMillis(group.record.grantedAtMillis(), nowMillis) == 0) {
        waiting.add(
            new FailoverQueue.Waiting(
                group.record, FailoverKind.FAILURE, group.suspectedAtMillis, 0));
      }
    }
    for (FailoverQueue.Waiting next : queue.start(waiting, running)) {
      running++;
      grant(groups.get(next.record().group()), next.record().term() + 1);
    }
    mostConcurrent = Math.max(mostConcurrent, running);
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
      group.dueMillis = nowMillis;
    }
    if (group.busy || nowMillis < group.dueMillis) {
      return;
    }
    DirectorDecision decision =
        director.decide(group.record, group.attempt, Set.copyOf(group.record.members()), nowMillis);
    if (decision instanceof DirectorDecision.Propose propose) {
      propose(group, propose.step());
    } else if (decision instanceof DirectorDecision.Fence fence) {
      effect(group, costs.fence(), () -> fence.servers().forEach(one -> fence(group, one)));
    } else if (decision instanceof DirectorDecision.Promote promote) {
      effect(group, costs.promote(), () -> promote(group, promote.server()));
    } else if (decision instanceof DirectorDecision.Regrant regrant) {
      if (backoff.waitMillis(group.record.grantedAtMillis(), nowMillis) == 0) {
        grant(group, regrant.term());
      }
    } else if (decision instanceof DirectorDecision.RefuseNoQuorum refusal) {
      group.dueMillis = nowMillis + refusal.retryAfterMillis();
      group.attempt = group.attempt.restarted(group.dueMillis);
    } else if (decision instanceof DirectorDecision.Follow follow) {
      follow.servers().forEach(one -> follow(group, follow.primary(), one));
      group.dueMillis = nowMillis + 100;
    }
  }

  private void effect(Group group, long costMillis, Runnable effect) {
    group.busy = true;
    long mine = reign;
    at(
        nowMillis + costMillis,
        () -> {
          // The servers act on what was sent; only this leader's own memory may be gone.
          effect.run();
          if (mine == reign) {
            group.busy = false;
          }
        });
  }

  /** A step that is on its way when its leader dies is committed, or not, at random. */
  private void propose(Group group, FailoverStep step) {
    group.busy = true;
    long mine = reign;
    at(
        nowMillis + costs.log(),
        () -> {
          if (mine != reign && random.nextBoolean()) {
            return;
          }
          StepResult result = group.record.apply(step);
          group.record = result.record();
          if (result.accepted() && step instanceof FailoverStep.Grant) {
            group.grants++;
            group.suspectedAtMillis = Long.MAX_VALUE;
          }
          if (result.accepted() && step instanceof FailoverStep.Publish) {
            group.publishedAtMillis = nowMillis;
          }
          if (mine == reign) {
            group.busy = false;
          }
        });
  }

  private static void fence(Group group, ServerId server) {
    int number = ModelState.number(server);
    ModelServer one = group.servers[number];
    int term = (int) group.record.term();
    if (!group.down[number]) {
      one.fence(term);
      group.attempt = group.attempt.withFenced(server, one.fencedAt, one.position());
    }
  }

  private static void promote(Group group, ServerId server) {
    int number = ModelState.number(server);
    if (!group.down[number] && group.servers[number].promote((int) group.record.term())) {
      group.attempt = group.attempt.withPromoted();
    }
  }

  private static void follow(Group group, ServerId primary, ServerId server) {
    int number = ModelState.number(server);
    if (!group.down[number]) {
      ModelServer one = group.servers[number];
      byte[] log = group.servers[ModelState.number(primary)].entryTerms;
      one.follow((int) group.record.term(), log);
      group.attempt = group.attempt.withFollowing(server);
    }
  }
}
