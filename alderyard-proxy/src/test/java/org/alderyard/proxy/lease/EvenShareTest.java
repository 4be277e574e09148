package org.alderyard.proxy.lease;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.testkit.session.ModelGroup;
import org.junit.jupiter.api.Test;

class EvenShareTest {
  private static final int BUDGET = 34;
  private final ModelGroup group = new ModelGroup("g1", "s1", "s2", "s3");

  private View view(int hosts) {
    View.Editor editor = View.EMPTY.edit();
    GroupId id = group.id();
    editor
        .groups()
        .put(id, new GroupState(id, 1, Optional.of(new ServerId("s1")), List.of(), 2, BUDGET));
    group.states().forEach(editor::put);
    for (int host = 0; host < hosts; host++) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1_000 + host);
      HostId name = new HostId("h" + host);
      editor
          .hosts()
          .put(
              name,
              new HostState(name, 1, new ZoneName("z1"), address, address, true, false, false));
    }
    return editor.at(new ViewVersion(1, 1));
  }

  @Test
  void hostToWhichMostCallersComeBackHasMoreThanTwo() {
    // All hosts were lost. The balancer saw one of them ready first and sent it the callers of
    // two zones; with two connections to a server they waited half a second and were refused.
    View view = view(10);
    ServerId server = new ServerId("s1");
    LeaseTable leases = new LeaseTable(() -> 0, 2, new EvenShare(() -> view)::of);

    assertThat(leases.allowed(server)).isEqualTo(3);
  }

  @Test
  void allSharesTogetherStayBelowWhatTheServerAccepts() {
    for (int hosts = 1; hosts <= 2 * BUDGET; hosts++) {
      View view = view(hosts);
      int each = new EvenShare(() -> view).of(new ServerId("s1"));
      assertThat(each * hosts).isAtMost(BUDGET);
    }
  }

  @Test
  void leaseOfTheLeaderReplacesTheShare() {
    View view = view(10);
    ServerId server = new ServerId("s1");
    LeaseTable leases = new LeaseTable(() -> 0, 2, new EvenShare(() -> view)::of);
    leases.request(server, 1, 3);
    leases.reply(server, 1, 1, 5_000_000_000L);

    assertThat(leases.allowed(server)).isEqualTo(2);
  }
}
