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

/** Collects what a {@link ReplicatedLog} needs. */
public final class ReplicatedLogBuilder {
  String clusterId;
  HostId host;
  InetSocketAddress address;
  List<InetSocketAddress> members;
  Optional<OpenMembership> open = Optional.empty();
  Path dataFolder;
  StateMachine machine;
  PeerLinks links;
  Dispatcher dispatcher;
  Executor callbacks;
  MonotonicClock clock = MonotonicClock.system();
  RandomGenerator random;
  LogListener listener = new LogListener() {};
  ReplicatedLogOptions options = ReplicatedLogOptions.defaults();

  ReplicatedLogBuilder() {}

  /** Sets the cluster, which the data folder must belong to. */
  public ReplicatedLogBuilder clusterId(String value) {
    clusterId = value;
    return this;
  }

  /** Sets the name of this host and where its inner port listens. */
  public ReplicatedLogBuilder host(HostId name, InetSocketAddress innerAddress) {
    host = name;
    address = innerAddress;
    return this;
  }

  /** Sets the inner addresses of all control hosts, this one among them. */
  public ReplicatedLogBuilder members(List<InetSocketAddress> innerAddresses) {
    members = List.copyOf(innerAddresses);
    return this;
  }

  /** Lets hosts join that are not among the members; those only found the cluster then. */
  public ReplicatedLogBuilder open(OpenMembership value) {
    open = Optional.of(value);
    return this;
  }

  /** Sets the folder for all files. */
  public ReplicatedLogBuilder dataFolder(Path value) {
    dataFolder = value;
    return this;
  }

  /** Sets what the commands act on. */
  public ReplicatedLogBuilder machine(StateMachine value) {
    machine = value;
    return this;
  }

  /** Sets the connections to other hosts, and the methods that this host serves. */
  public ReplicatedLogBuilder network(PeerLinks linksToOthers, Dispatcher served) {
    links = linksToOthers;
    dispatcher = served;
    return this;
  }

  /** Sets where answers are completed; the log's own threads never run a caller's code. */
  public ReplicatedLogBuilder callbacks(Executor value) {
    callbacks = value;
    return this;
  }

  /** Sets the clock; default is that of the runtime. */
  public ReplicatedLogBuilder clock(MonotonicClock value) {
    clock = value;
    return this;
  }

  /**
   * Sets the source of election timeouts and of the replica id of a new folder. It must differ on
   * each host and at each start, as a {@link java.security.SecureRandom} does.
   */
  public ReplicatedLogBuilder random(RandomGenerator value) {
    random = value;
    return this;
  }

  /** Sets who is told of leadership and failure. */
  public ReplicatedLogBuilder listener(LogListener value) {
    listener = value;
    return this;
  }

  /** Sets the options; default is {@link ReplicatedLogOptions#defaults()}. */
  public ReplicatedLogBuilder options(ReplicatedLogOptions value) {
    options = value;
    return this;
  }

  /**
   * Opens the data folder and starts the log.
   *
   * @throws AlderyardException if the settings or the folder can't be used
   */
  public ReplicatedLog start() {
    Objects.requireNonNull(clusterId, "clusterId");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(dataFolder, "dataFolder");
    Objects.requireNonNull(machine, "machine");
    Objects.requireNonNull(links, "network");
    Objects.requireNonNull(callbacks, "callbacks");
    Objects.requireNonNull(random, "random");
    if (open.isEmpty() && !members.contains(address)) {
      throw AlderyardException.notRun(
          ErrorCode.SETTINGS_INVALID,
          "this host's inner address " + address + " is not among the control hosts " + members);
    }
    return new ReplicatedLog(this);
  }
}
