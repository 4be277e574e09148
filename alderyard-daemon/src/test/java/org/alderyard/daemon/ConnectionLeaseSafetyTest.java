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

/** The grantor and its proxies together, over a network that loses, delays and reorders. */
class ConnectionLeaseSafetyTest {
  private static final GrantOptions OPTIONS = GrantOptions.DEFAULT;
  private static final int BUDGET = 35;
  private static final int PROXIES = 12;
  private static final long STEP = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int STEPS = 1_500;

  /**
   * Twelve proxies ask for connections while their requests and replies are lost, late or out of
   * order, while some fall silent and others start, clocks run 4 % fast or slow, and the leader is
   * replaced. The server must never see more connections than it accepts.
   */
  @Property(seed = "20261202", tries = 150)
  void openConnectionsNeverExceedTheBudget(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Model model = new Model(new SplittableRandom(seed));
    int most = 0;
    for (int step = 0; step < STEPS; step++) {
      model.step();
      assertThat(model.open()).isAtMost(BUDGET);
      most = Math.max(most, model.open());
    }
    // A grantor that grants next to nothing would be safe as well.
    assertThat(most).isAtLeast(20);
  }

  private static final class Model {
    private final SplittableRandom random;
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<Message> underWay = new ArrayList<>();
    private GrantLedger ledger = new GrantLedger(OPTIONS, 0);
    private long now;
    private int starts;

    Model(SplittableRandom random) {
      this.random = random;
      for (int i = 0; i < PROXIES; i++) {
        proxies.add(start());
      }
    }

    private Proxy start() {
      return new Proxy(new ProxyId(new HostId("h" + starts), ++starts), 96 + random.nextInt(9));
    }

    int open() {
      return proxies.stream().mapToInt(proxy -> proxy.open).sum();
    }

    void step() {
      now += STEP;
      if (random.nextInt(400) == 0) {
        ledger = new GrantLedger(OPTIONS, now);
      }
      if (random.nextInt(100) == 0) {
        proxies.get(random.nextInt(proxies.size())).silent = true;
        proxies.add(start());
      }
      proxies.removeIf(proxy -> proxy.silent && proxy.open == 0);
      for (Proxy proxy : proxies) {
        proxy.use(now, random);
        if (!proxy.silent && now >= proxy.nextAskNanos && random.nextInt(4) == 0) {
          post(proxy.ask(now, random));
        }
      }
      List<Message> arrived = underWay.stream().filter(m -> m.atNanos <= now).toList();
      underWay.removeAll(arrived);
      arrived.forEach(this::deliver);
    }

    private void post(Message message) {
      if (random.nextInt(5) != 0) {
        message.atNanos = now + random.nextInt(random.nextInt(10) == 0 ? 40 : 5) * STEP;
        underWay.add(message);
      }
    }

    private void deliver(Message message) {
      if (message.reply) {
        message.proxy.nextAskNanos = now + 5 * STEP;
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
              now);
      post(new Message(message.proxy, true, message.sequence, granted, 0));
    }
  }

  private static final class Proxy {
    final ProxyId id;
    final int clockPercent;
    final ConnectionLease lease = new ConnectionLease();
    long sequence;
    long nextAskNanos;
    int open;
    boolean silent;

    Proxy(ProxyId id, int clockPercent) {
      this.id = id;
      this.clockPercent = clockPercent;
    }

    long clock(long now) {
      return now / 100 * clockPercent;
    }

    /** Opens up to what is allowed; closes what is not by and by, and all when the lease ended. */
    void use(long now, SplittableRandom random) {
      int allowed = lease.allowed(clock(now));
      if (allowed == 0) {
        open = 0;
      } else if (open > allowed) {
        open -= random.nextInt(2);
      } else if (!silent) {
        open += random.nextInt(allowed - open + 1);
      }
    }

    Message ask(long now, SplittableRandom random) {
      sequence++;
      nextAskNanos = now + 10 * STEP;
      int held = lease.request(sequence, open, clock(now));
      return new Message(this, false, sequence, held, random.nextInt(30));
    }
  }

  private static final class Message {
    final Proxy proxy;
    final boolean reply;
    final long sequence;
    final int amount;
    final int wanted;
    long atNanos;

    Message(Proxy proxy, boolean reply, long sequence, int amount, int wanted) {
      this.proxy = proxy;
      this.reply = reply;
      this.sequence = sequence;
      this.amount = amount;
      this.wanted = wanted;
    }
  }
}
