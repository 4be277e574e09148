package org.alderyard.control.service;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.time.ManualClock;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.ReplaceConfigurationRequest;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Database;
import org.alderyard.protocol.generated.state.GroupLimits;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Organisation;
import org.alderyard.protocol.generated.state.SessionReads;
import org.alderyard.protocol.generated.state.ViewDelta;
import org.alderyard.protocol.generated.state.ViewSnapshot;
import org.alderyard.protocol.view.ViewCodec;
import org.alderyard.protocol.view.ViewFollower;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What hosts receive when large configurations replace each other. */
class LargeConfigurationsTest {
  private static final int ROUTES = 1_400;
  private static final int ORGANISATIONS = 72;
  private static final int DIGEST_BYTES = 32;
  private static final int SOURCE_BYTES_PER_ROUTE = 200;
  private static final int STEPS = 3_000;
  private static final int MAX_IN_FLIGHT = 8;

  private final WorkerPool workers = new WorkerPool("test", 1);
  private final FakeLog log = new FakeLog();
  private final ControlHost host = new ControlHost("c0", log, new ManualClock(), workers);
  private final SplittableRandom content = new SplittableRandom(1);
  private int number;

  @BeforeEach
  void elect() {
    log.elect(host.log);
  }

  @AfterEach
  void stop() {
    workers.close();
  }

  private void replace(int routes, int organisations) {
    number++;
    Configuration.Builder configuration =
        Configuration.newBuilder()
            .setNumber(number)
            .addGroups(GroupLimits.newBuilder().setId("g1").setConnectionsPerServer(40))
            .setSource(randomBytes(routes * SOURCE_BYTES_PER_ROUTE))
            .setContentHash(randomBytes(DIGEST_BYTES));
    for (int route = 0; route < routes; route++) {
      configuration.addDatabases(
          Database.newBuilder()
              .setName("db" + Long.toString(Math.abs((route + 1) * 0x9E3779B97F4A7C15L), 36))
              .setScope("/")
              .setGroup("g1")
              .setReads(SessionReads.forNumber(route % 3))
              .setStatementTimeoutMillis(800 + number % 100)
              .setLatencyObjectiveMillis(200)
              .setPriority(2)
              .setMaxStalenessMillis(2_500));
    }
    for (int organisation = 0; organisation < organisations; organisation++) {
      configuration.addOrganisations(
          Organisation.newBuilder()
              .setName("org" + organisation)
              .addKeyDigests(randomBytes(DIGEST_BYTES)));
    }
    host.service
        .configurations()
        .replace(ReplaceConfigurationRequest.newBuilder().setConfiguration(configuration).build())
        .join();
  }

  private ByteString randomBytes(int count) {
    byte[] bytes = new byte[count];
    content.nextBytes(bytes);
    return ByteString.copyFrom(bytes);
  }

  private ViewFollower follow(ViewFollower start) {
    ViewFollower follower = start;
    while (!follower.view().version().equals(host.state.view().version())) {
      follower = ControlHost.accept(follower, host.fetch(follower)).follower();
    }
    return follower;
  }

  /** Returns the view without what only control hosts need. */
  private ByteString viewOfHosts() {
    return encode(ViewCodec.snapshot(host.state.view()));
  }

  private static ByteString encode(ViewSnapshot snapshot) {
    ViewSnapshot.Builder stripped = snapshot.toBuilder();
    for (ObjectState.Builder object : stripped.getObjectsBuilderList()) {
      if (object.hasConfiguration()) {
        object.getConfigurationBuilder().clearSource();
      }
    }
    return stripped.build().toByteString();
  }

  /** A host that lagged by some large changes got all of them, over a link that took seconds. */
  @Test
  void hostThatLagsGetsOnlyTheNewestConfiguration() {
    replace(ROUTES, ORGANISATIONS);
    ViewFollower lagging = follow(ViewFollower.EMPTY);
    replace(ROUTES, ORGANISATIONS);
    final int oneChangeBytes = host.fetch(lagging).getSerializedSize();
    for (int change = 0; change < 8; change++) {
      replace(ROUTES, ORGANISATIONS);
    }

    FetchViewReply reply = host.fetch(lagging);
    ViewFollower caughtUp = ControlHost.accept(lagging, reply).follower();

    assertThat(caughtUp.view().version()).isEqualTo(host.state.view().version());
    assertThat(encode(ViewCodec.snapshot(caughtUp.view()))).isEqualTo(viewOfHosts());
    assertThat(caughtUp.chainHash()).isEqualTo(host.state.current().chainHash());
    assertThat(reply.getSerializedSize()).isLessThan(oneChangeBytes * 3 / 2);
  }

  /** A host must not stay at a version whose configuration was left out as superseded. */
  @Test
  void damagedReplyLeavesViewUnchanged() {
    replace(2, 1);
    ViewFollower lagging = follow(ViewFollower.EMPTY);
    replace(3, 1);
    replace(4, 1);
    FetchViewReply.Builder damaged = host.fetch(lagging).toBuilder();
    ViewDelta.Builder last = damaged.getDeltasBuilder().getDeltasBuilder(1);
    last.setChainHash(ByteString.copyFromUtf8("damaged"));

    ViewFollower.Result result = ControlHost.accept(lagging, damaged.build());

    assertThat(result.needsSnapshot()).isTrue();
    assertThat(result.follower()).isEqualTo(lagging);
  }

  private record Message(int follower, FetchViewReply reply) {}

  /** Views of hosts must equal the control state, whatever is lost, late or repeated. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14})
  void followersReachTheStateAfterLostAndRepeatedMessages(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<ViewFollower> followers = new ArrayList<>();
    List<Message> inFlight = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      followers.add(ViewFollower.EMPTY);
    }
    replace(1, 1);
    for (int step = 0; step < STEPS; step++) {
      int follower = random.nextInt(followers.size());
      switch (random.nextInt(8)) {
        case 0, 1 -> replace(1 + random.nextInt(20), random.nextInt(4));
        case 2 -> host.submit(step + 1, ControlHost.group("g" + random.nextInt(4), 1 + step % 80));
        case 3, 4 -> {
          if (inFlight.size() < MAX_IN_FLIGHT) {
            inFlight.add(new Message(follower, host.fetch(followers.get(follower))));
          }
        }
        default -> {
          if (!inFlight.isEmpty()) {
            int index = random.nextInt(inFlight.size());
            Message message = random.nextBoolean() ? inFlight.remove(index) : inFlight.get(index);
            if (random.nextInt(4) > 0) {
              ViewFollower before = followers.get(message.follower());
              ViewFollower after = ControlHost.accept(before, message.reply()).follower();
              assertThat(after.view().version()).isAtLeast(before.view().version());
              followers.set(message.follower(), after);
            }
          }
        }
      }
    }
    for (ViewFollower follower : followers) {
      assertThat(encode(ViewCodec.snapshot(follow(follower).view()))).isEqualTo(viewOfHosts());
    }
  }
}
