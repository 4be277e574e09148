package org.alderyard.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.alderyard.common.id.HostId;
import org.alderyard.control.grant.GrantLedger;
import org.alderyard.control.grant.GrantOptions;
import org.alderyard.control.grant.ProxyId;
import org.alderyard.proxy.lease.ConnectionLease;

/**
 * Tests the grant ledger with the leases of its proxies over a simulated network that loses, delays
 * and reorders messages.
 */
class ConnectionLeaseSafetyTest {
  private static final GrantOptions OPTIONS = GrantOptions.DEFAULT;
  private static final int BUDGET = 35;
  private static final int PROXIES = 12;
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int STEPS = 1_500;

  /**
   * Twelve proxies request connections while requests and replies are lost, delayed or reordered,
   * proxies stop and others start, clocks run up to 4 % fast or slow, and the leader is replaced.
   * The open connections must never exceed the server's budget.
   */
  @Property(seed = "20261202", tries = 150)
  void openConnectionsNeverExceedTheBudget(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Simulation simulation = new Simulation(new SplittableRandom(seed));
    int maxOpen = 0;
    for (int step = 0; step < STEPS; step++) {
      simulation.step();
      assertThat(simulation.open()).isAtMost(BUDGET);
      maxOpen = Math.max(maxOpen, simulation.open());
    }
    // Fails for a ledger that stays within the budget by granting almost nothing.
    assertThat(maxOpen).isAtLeast(20);
  }

  private static final class Simulation {
    private final SplittableRandom random;
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<Message> inTransit = new ArrayList<>();
    private GrantLedger ledger = new GrantLedger(OPTIONS, 0);
    private long now;
    private int startedProxies;

    Simulation(SplittableRandom random) {
      this.random = random;
      for (int i = 0; i < PROXIES; i++) {
        proxies.add(startProxy());
      }
    }

    private Proxy startProxy() {
      return new Proxy(
          new ProxyId(new HostId("h" + startedProxies), ++startedProxies), 96 + random.nextInt(9));
    }

    int open() {
      return proxies.stream().mapToInt(proxy -> proxy.open).sum();
    }

    void step() {
      now += STEP_NANOS;
      if (random.nextInt(400) == 0) {
        ledger = new GrantLedger(OPTIONS, now);
      }
      if (random.nextInt(100) == 0) {
        proxies.get(random.nextInt(proxies.size())).stopped = true;
        proxies.add(startProxy());
      }
      proxies.removeIf(proxy -> proxy.stopped && proxy.open == 0);
      for (Proxy proxy : proxies) {
        proxy.adjustConnections(now, random);
        if (!proxy.stopped && now >= proxy.nextRequestNanos && random.nextInt(4) == 0) {
          send(proxy.nextRequest(now, random));
        }
      }
      List<Message> arrived = inTransit.stream().filter(m -> m.arrivalNanos <= now).toList();
      inTransit.removeAll(arrived);
      arrived.forEach(this::deliver);
    }

    private void send(Message message) {
      if (random.nextInt(5) != 0) {
        message.arrivalNanos = now + random.nextInt(random.nextInt(10) == 0 ? 40 : 5) * STEP_NANOS;
        inTransit.add(message);
      }
    }

    private void deliver(Message message) {
      if (message.reply) {
        message.proxy.nextRequestNanos = now + 5 * STEP_NANOS;
        message.proxy.lease.reply(message.sequence, message.amount, OPTIONS.lease().toNanos());
        return;
      }
      int granted =
          ledger.renew(
              BUDGET,
              random.nextInt(2) == 0,
              message.proxy.id,
              message.sequence,
              message.amount,
              message.wanted,
              random.nextInt(4),
              now);
      send(new Message(message.proxy, true, message.sequence, granted, 0));
    }
  }

  private static final class Proxy {
    final ProxyId id;
    final int clockPercent;
    final ConnectionLease lease = new ConnectionLease();
    long sequence;
    long nextRequestNanos;
    int open;
    boolean stopped;

    Proxy(ProxyId id, int clockPercent) {
      this.id = id;
      this.clockPercent = clockPercent;
    }

    long localNanos(long now) {
      return now / 100 * clockPercent;
    }

    /**
     * Opens connections up to the allowed number, closes excess connections gradually, and closes
     * all when the lease has expired.
     */
    void adjustConnections(long now, SplittableRandom random) {
      int allowed = lease.allowed(localNanos(now));
      if (allowed == 0) {
        open = 0;
      } else if (open > allowed) {
        open -= random.nextInt(2);
      } else if (!stopped) {
        open += random.nextInt(allowed - open + 1);
      }
    }

    Message nextRequest(long now, SplittableRandom random) {
      sequence++;
      nextRequestNanos = now + 10 * STEP_NANOS;
      int held = lease.request(sequence, open, localNanos(now));
      return new Message(this, false, sequence, held, random.nextInt(30));
    }
  }

  private static final class Message {
    final Proxy proxy;
    final boolean reply;
    final long sequence;
    final int amount;
    final int wanted;
    long arrivalNanos;

    Message(Proxy proxy, boolean reply, long sequence, int amount, int wanted) {
      this.proxy = proxy;
      this.reply = reply;
      this.sequence = sequence;
      this.amount = amount;
      this.wanted = wanted;
    }
  }
}
