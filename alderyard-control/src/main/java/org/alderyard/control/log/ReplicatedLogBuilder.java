package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.HostId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.PeerLinks;

/** Builder of a {@link ReplicatedLog}; not thread-safe. */
public final class ReplicatedLogBuilder {
  String clusterId;
  HostId host;
  InetSocketAddress address;
  List<InetSocketAddress> members;
  Optional<OpenMembership> openMembership = Optional.empty();
  Path dataFolder;
  StateMachine stateMachine;
  PeerLinks links;
  Dispatcher dispatcher;
  Executor callbacks;
  MonotonicClock clock = MonotonicClock.system();
  RandomGenerator random;
  LogListener listener = new LogListener() {};
  ReplicatedLogOptions options = ReplicatedLogOptions.defaults();

  ReplicatedLogBuilder() {}

  /** Sets the id of the cluster that the data folder must belong to. */
  public ReplicatedLogBuilder clusterId(String value) {
    clusterId = value;
    return this;
  }

  /** Sets the name of this host and the address of its inner port. */
  public ReplicatedLogBuilder host(HostId name, InetSocketAddress innerAddress) {
    host = name;
    address = innerAddress;
    return this;
  }

  /**
   * Sets the inner addresses of all control hosts. Must contain this host, unless the membership is
   * open.
   */
  public ReplicatedLogBuilder members(List<InetSocketAddress> innerAddresses) {
    members = List.copyOf(innerAddresses);
    return this;
  }

  /** Lets hosts join that are not listed as members; the listed members only found the cluster. */
  public ReplicatedLogBuilder openMembership(OpenMembership value) {
    openMembership = Optional.of(value);
    return this;
  }

  /** Sets the folder in which this host stores all files of the log. */
  public ReplicatedLogBuilder dataFolder(Path value) {
    dataFolder = value;
    return this;
  }

  /** Sets the state machine that applies the commands. */
  public ReplicatedLogBuilder stateMachine(StateMachine value) {
    stateMachine = value;
    return this;
  }

  /** Sets the connections to other hosts and the dispatcher for requests to this host. */
  public ReplicatedLogBuilder network(PeerLinks peerLinks, Dispatcher requestDispatcher) {
    links = peerLinks;
    dispatcher = requestDispatcher;
    return this;
  }

  /** Sets the executor that completes futures, so that log threads never run a caller's code. */
  public ReplicatedLogBuilder callbacks(Executor value) {
    callbacks = value;
    return this;
  }

  /** Sets the clock; the default is the system clock. */
  public ReplicatedLogBuilder clock(MonotonicClock value) {
    clock = value;
    return this;
  }

  /**
   * Sets the random source of election timeouts and of the replica id of a new data folder. It must
   * be seeded differently on each host and at each start, as a {@link java.security.SecureRandom}
   * is.
   */
  public ReplicatedLogBuilder random(RandomGenerator value) {
    random = value;
    return this;
  }

  /** Sets the listener for leadership changes and failures; the default ignores them. */
  public ReplicatedLogBuilder listener(LogListener value) {
    listener = value;
    return this;
  }

  /** Sets the options; the default is {@link ReplicatedLogOptions#defaults()}. */
  public ReplicatedLogBuilder options(ReplicatedLogOptions value) {
    options = value;
    return this;
  }

  /**
   * Opens the data folder and starts the log.
   *
   * @throws AlderyardException if the settings or the data folder cannot be used
   */
  public ReplicatedLog start() {
    Objects.requireNonNull(clusterId, "clusterId");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(dataFolder, "dataFolder");
    Objects.requireNonNull(stateMachine, "machine");
    Objects.requireNonNull(links, "network");
    Objects.requireNonNull(callbacks, "callbacks");
    Objects.requireNonNull(random, "random");
    if (openMembership.isEmpty() && !members.contains(address)) {
      throw AlderyardException.notRun(
          ErrorCode.SETTINGS_INVALID,
          "this host's inner address " + address + " is not among the control hosts " + members);
    }
    return new ReplicatedLog(this);
  }
}
