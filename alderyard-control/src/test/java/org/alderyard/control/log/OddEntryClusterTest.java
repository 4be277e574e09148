package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.ServerExpiry;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.GroupLimits;
import org.alderyard.testkit.net.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Entries that no host can carry out, in the log of three control hosts. */
class OddEntryClusterTest {
  private static final String ODD_NAME = "a b";

  @TempDir Path root;

  private final List<InetSocketAddress> members =
      Stream.generate(FreePorts::nextAddress).limit(3).toList();
  private final Map<Integer, StateHost> hosts = new TreeMap<>();

  private void startAll(boolean checks) {
    for (int number = 0; number < members.size(); number++) {
      HostId host = new HostId("control-" + number);
      hosts.put(
          number,
          new StateHost(host, members.get(number), members, root.resolve(host.value()), checks));
    }
  }

  private void killAll() {
    hosts.values().forEach(StateHost::kill);
    hosts.clear();
  }

  @AfterEach
  void stop() {
    killAll();
  }

  private StateHost leader() {
    LogHost.await("a leader or a stopped log", () -> anyLeads() || anyStopped());
    hosts.values().forEach(host -> assertThat(host.failure).isNull());
    return hosts.values().stream()
        .filter(host -> host.log().isLeader())
        .findFirst()
        .orElseGet(this::leader);
  }

  private boolean anyLeads() {
    return hosts.values().stream().anyMatch(host -> host.log().isLeader());
  }

  private boolean anyStopped() {
    return hosts.values().stream().anyMatch(host -> host.failure != null);
  }

  private AlderyardException refusal(Command command) {
    ByteString bytes = command.toByteString();
    while (true) {
      AlderyardException error =
          Futures.toAlderyardException(
              assertThrows(CompletionException.class, () -> leader().log().propose(bytes).join()));
      if (error.code() != ErrorCode.NOT_LEADER) {
        return error;
      }
    }
  }

  private void replace(long number) {
    ByteString command = configuration(number, "g1").toByteString();
    while (true) {
      try {
        leader().log().propose(command).join();
        break;
      } catch (CompletionException failed) {
        assertThat(Futures.toAlderyardException(failed).code()).isEqualTo(ErrorCode.NOT_LEADER);
      }
    }
    awaitConfiguration(number);
  }

  private void awaitConfiguration(long number) {
    LogHost.await(
        "configuration " + number + " on all hosts or a stopped log",
        () -> hosts.values().stream().allMatch(host -> number(host) == number) || anyStopped());
    hosts.values().forEach(host -> assertThat(host.failure).isNull());
  }

  private static long number(StateHost host) {
    return host.state.view().configuration().map(ConfigurationState::number).orElse(0L);
  }

  private static Command configuration(long number, String group) {
    return Command.newBuilder()
        .setReplaceConfiguration(
            Configuration.newBuilder()
                .setNumber(number)
                .addGroups(GroupLimits.newBuilder().setId(group).setConnectionsPerServer(40)))
        .build();
  }

  private static Command expiryOfOddServer() {
    return Command.newBuilder()
        .setServerExpiry(ServerExpiry.newBuilder().setServer(ODD_NAME).setSaidGoodbye(true))
        .build();
  }

  /**
   * Guards against control hosts that all end at the same entry of the log, and again at each start
   * as the entry stays there.
   */
  @Test
  void controlHostsGoOnAfterOddEntriesAndRestart() {
    startAll(false);
    replace(1);

    AlderyardException expiry = refusal(expiryOfOddServer());
    AlderyardException configuration = refusal(configuration(2, ODD_NAME));

    assertThat(expiry.code()).isEqualTo(ErrorCode.BAD_REQUEST);
    assertThat(expiry.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(configuration.code()).isEqualTo(ErrorCode.CONFIGURATION_INVALID);
    replace(3);
    killAll();
    startAll(false);
    awaitConfiguration(3);
    replace(4);
    List<ByteString> states = hosts.values().stream().map(host -> host.state.snapshot()).toList();
    assertThat(states.get(1)).isEqualTo(states.get(0));
    assertThat(states.get(2)).isEqualTo(states.get(0));
  }

  /** Guards against an odd entry in the log, where hosts of an earlier build end. */
  @Test
  void leaderAppendsNoOddEntry() {
    startAll(true);
    replace(1);

    assertThat(refusal(expiryOfOddServer()).code()).isEqualTo(ErrorCode.BAD_REQUEST);
    assertThat(refusal(configuration(2, ODD_NAME)).code())
        .isEqualTo(ErrorCode.CONFIGURATION_INVALID);

    replace(3);
    hosts.values().forEach(host -> assertThat(host.state.refusedEntries()).isEqualTo(0));
  }
}
