package org.alderyard.proxy.quota;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.ManualClock;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.OrganisationQuota;
import org.alderyard.common.view.OrganisationState;
import org.alderyard.common.view.Organisations;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.quota.TakeQuotaReply;
import org.alderyard.protocol.generated.quota.TakeQuotaRequest;
import org.alderyard.proxy.view.LeasedView;
import org.alderyard.proxy.view.ViewHolder;
import org.junit.jupiter.api.Test;

class QuotaCounterTest {
  private static final String ORGANISATION = "a";
  private static final OrganisationQuota SMALL = new OrganisationQuota(1, 1);
  private static final OrganisationQuota LARGE = new OrganisationQuota(1_000, 1_000);
  private static final QuotaTolerance TOLERANCE = new QuotaTolerance(0, 0, 1);
  private static final LimitShares SHARES = new ZoneShares(TOLERANCE);
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 7_000);

  /** Long enough for the start of a host, in which less is granted, to be over. */
  private static final Duration SINCE_START = Duration.ofSeconds(60);

  private final HostState self =
      new HostState(new HostId("h1"), 1, new ZoneName("z0"), ADDRESS, ADDRESS, true, false, false);
  private final ManualClock clock = new ManualClock();
  private final ViewHolder views = new ViewHolder();
  private final CounterView counters = new CounterView(self, clock, SHARES);

  private View view(long version, OrganisationQuota quota) {
    View.Editor editor = View.EMPTY.edit();
    editor.hosts().put(self.id(), self);
    Bytes none = Bytes.of(new byte[0]);
    OrganisationState organisation =
        new OrganisationState(ORGANISATION, List.of(), 1, Optional.of(quota));
    Organisations organisations = Organisations.of(List.of(organisation));
    editor.configuration(
        new ConfigurationState(
            version,
            List.of(),
            new TreeMap<>(),
            new TreeMap<>(),
            0,
            0,
            organisations,
            none,
            false,
            none));
    return editor.at(new ViewVersion(1, version));
  }

  private QuotaCounter counter(BooleanSupplier leaseValid) {
    views.onChange(counters::update);
    views.updateIfNewer(view(1, SMALL));
    QuotaCounter counter =
        new QuotaCounter(
            LeasedView.Source.of(views::current, leaseValid),
            counters,
            new QuotaLedger(TOLERANCE, SHARES),
            SHARES,
            clock);
    clock.advance(SINCE_START);
    return counter;
  }

  private static TakeQuotaReply take(QuotaCounter counter, int operations) {
    return counter.take(
        TakeQuotaRequest.newBuilder()
            .setOrganisation(ORGANISATION)
            .setOperations(operations)
            .build());
  }

  /** Guards against a grant by a limit that the lease of a newer view confirms. */
  @Test
  void raisedLimitOfConfirmedViewApplies() {
    QuotaCounter counter =
        counter(
            () -> {
              views.updateIfNewer(view(2, LARGE));
              return true;
            });

    assertThat(take(counter, 100).getOperations()).isEqualTo(100);
  }

  @Test
  void hostWithoutLeaseDoesNotCount() {
    QuotaCounter counter = counter(() -> false);

    assertThat(take(counter, 1).getVerdict()).isEqualTo(TakeQuotaReply.Verdict.NOT_OWNER);
  }
}
