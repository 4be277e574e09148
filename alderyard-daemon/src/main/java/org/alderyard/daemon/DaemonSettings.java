package org.alderyard.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.alderyard.common.http.HttpLimits;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.settings.Secret;
import org.alderyard.common.settings.Setting;
import org.alderyard.common.settings.Settings;
import org.alderyard.common.settings.SettingsException;
import org.alderyard.common.settings.SettingsReader;
import org.alderyard.protocol.wire.ClusterKey;
import org.alderyard.proxy.read.ReadOptions;

/**
 * The settings of one process, checked as far as that is possible without starting it.
 *
 * @param host name of this host
 * @param zone its availability zone
 * @param clusterId name of the cluster
 * @param roles what this process does
 * @param callerAddress where callers connect
 * @param innerAddress where other hosts connect
 * @param innerListenAddress where the port for them is bound, if that is another address
 * @param announcementAddress where backend servers announce themselves, beside the callers' port
 * @param operatorAddress where operators connect, if they may here
 * @param controlHosts inner addresses of the control hosts
 * @param open how the others are found where the control hosts are not listed
 * @param dataFolder where a control host keeps its state
 * @param clusterKey the secret of the hosts
 * @param operatorKey the secret of the operators
 * @param monitorInterval pace of the questions to backend servers
 * @param monitorIdleInterval the same for groups without work here
 * @param readOptions how reads are routed and limited
 * @param maxTokenAge the oldest session token that is accepted
 * @param drainTimeout longest wait for requests in flight at a shutdown
 * @param drainLinger how long the callers' port stays open after that
 * @param workerThreads threads of the worker pool
 * @param ioThreads threads of the HTTP ports
 * @param innerThreads threads of the connections to hosts, and of sessions
 * @param sessions how callers' sessions are served, where they do not send HTTP
 * @param httpLimits what HTTP clients may send
 * @param tls the keys of the HTTP ports that speak TLS
 * @param log how lines are logged
 */
public record DaemonSettings(
    HostId host,
    ZoneName zone,
    String clusterId,
    Set<Role> roles,
    InetSocketAddress callerAddress,
    InetSocketAddress innerAddress,
    Optional<InetSocketAddress> innerListenAddress,
    Optional<InetSocketAddress> announcementAddress,
    Optional<InetSocketAddress> operatorAddress,
    List<InetSocketAddress> controlHosts,
    Optional<OpenClusterOptions> open,
    Optional<Path> dataFolder,
    ClusterKey clusterKey,
    Optional<Secret> operatorKey,
    Duration monitorInterval,
    Duration monitorIdleInterval,
    ReadOptions readOptions,
    Duration maxTokenAge,
    Duration drainTimeout,
    Duration drainLinger,
    int workerThreads,
    int ioThreads,
    int innerThreads,
    Optional<SessionOptions> sessions,
    HttpLimits httpLimits,
    TlsOptions tls,
    LogOptions log) {

  /**
   * Reads and checks a file.
   *
   * @throws SettingsException when anything in it can't be used
   */
  public static DaemonSettings read(Path file) {
    Settings settings = new SettingsReader(DaemonSpec.SPEC).read(file);
    DaemonSettings result =
        new DaemonSettings(
            settings.get(DaemonSpec.HOST_ID),
            settings.get(DaemonSpec.ZONE),
            settings.get(DaemonSpec.CLUSTER_ID),
            settings.get(DaemonSpec.ROLES),
            settings.get(DaemonSpec.CALLER_ADDRESS),
            settings.get(DaemonSpec.INNER_ADDRESS),
            settings.find(DaemonSpec.INNER_LISTEN_ADDRESS),
            settings.find(DaemonSpec.ANNOUNCEMENT_ADDRESS),
            settings.find(DaemonSpec.OPERATOR_ADDRESS),
            settings.find(DaemonSpec.CONTROL_HOSTS).orElse(List.of()),
            open(settings),
            settings.findPath(DaemonSpec.DATA_FOLDER),
            clusterKey(settings),
            operatorKey(settings),
            settings.get(DaemonSpec.MONITOR_INTERVAL),
            settings.get(DaemonSpec.MONITOR_IDLE_INTERVAL),
            new ReadOptions(
                settings.get(DaemonSpec.READ_WAIT_BUDGET),
                settings.get(DaemonSpec.QUEUE_PER_SERVER),
                settings.get(DaemonSpec.ROUTING_LOG_SAMPLE)),
            settings.get(DaemonSpec.MAX_TOKEN_AGE),
            settings.get(DaemonSpec.DRAIN_TIMEOUT),
            settings.get(DaemonSpec.DRAIN_LINGER),
            settings.get(DaemonSpec.WORKER_THREADS),
            settings.get(DaemonSpec.IO_THREADS),
            settings.get(DaemonSpec.INNER_THREADS),
            sessions(settings),
            new HttpLimits(
                settings.get(DaemonSpec.MAX_HEADER_BYTES).intValue(),
                settings.get(DaemonSpec.MAX_BODY_BYTES),
                settings.get(DaemonSpec.REQUEST_TIMEOUT),
                settings.get(DaemonSpec.IDLE_TIMEOUT)),
            TlsOptions.of(settings),
            new LogOptions(
                settings.get(DaemonSpec.LOG_FORMAT), settings.get(DaemonSpec.LOG_LEVEL)));
    result.checkTogether(settings);
    return result;
  }

  private void checkTogether(Settings settings) {
    if (operatorAddress.isPresent() && operatorKey.isEmpty() && sessions.isEmpty()) {
      throw wrong(
          settings,
          DaemonSpec.OPERATOR_KEY_FILE,
          "the key is missing; [network] operator-address needs it");
    }
    if (open.isPresent() != controlHosts.isEmpty()) {
      throw wrong(
          settings,
          DaemonSpec.CONTROL_HOSTS,
          "the key is missing; accepted: either [control] hosts or [control] seeds");
    }
    boolean listed = open.isEmpty();
    if (listed && roles.contains(Role.CONTROL) && !controlHosts.contains(innerAddress)) {
      throw wrong(
          settings,
          DaemonSpec.CONTROL_HOSTS,
          "[network] inner-address " + innerAddress + " of this control host is not in the list");
    }
    boolean several = open.isPresent() || controlHosts.size() > 1;
    if (roles.contains(Role.CONTROL) && dataFolder.isEmpty() && several) {
      throw wrong(
          settings,
          DaemonSpec.DATA_FOLDER,
          "it is missing; each of several control hosts needs one for its copy of the log");
    }
    if (roles.contains(Role.CONTROL) && dataFolder.isPresent()) {
      checkFolder(settings, dataFolder.get());
    }
  }

  private static void checkFolder(Settings settings, Path folder) {
    boolean usable =
        Files.isDirectory(folder) && Files.isReadable(folder) && Files.isWritable(folder);
    if (!usable) {
      throw wrong(
          settings,
          DaemonSpec.DATA_FOLDER,
          "'" + folder + "' is not a folder that can be read and written");
    }
  }

  /** Seeds are given by any port of theirs: the inner port is the same on all hosts. */
  private static Optional<OpenClusterOptions> open(Settings settings) {
    int innerPort = settings.get(DaemonSpec.INNER_ADDRESS).getPort();
    return settings
        .find(DaemonSpec.SEEDS)
        .map(
            seeds ->
                new OpenClusterOptions(
                    seeds.stream()
                        .map(seed -> new InetSocketAddress(seed.getAddress(), innerPort))
                        .toList(),
                    settings.get(DaemonSpec.MAY_FOUND),
                    settings.get(DaemonSpec.BORNE_LOSSES)));
  }

  private static Optional<SessionOptions> sessions(Settings settings) {
    return settings
        .find(DaemonSpec.READY_ADDRESS)
        .map(
            ready ->
                new SessionOptions(
                    ready,
                    settings.find(DaemonSpec.METRICS_ADDRESS),
                    settings.find(DaemonSpec.APPOINTER_ADDRESS),
                    settings.get(DaemonSpec.GRACE),
                    settings.get(DaemonSpec.MAX_SESSIONS)));
  }

  private static ClusterKey clusterKey(Settings settings) {
    byte[] secret = clusterSecret(settings).getBytes(StandardCharsets.UTF_8);
    if (secret.length < ClusterKey.MIN_BYTES) {
      throw wrong(
          settings,
          DaemonSpec.CLUSTER_KEY_FILE,
          "the secret has " + secret.length + " bytes; accepted: at least " + ClusterKey.MIN_BYTES);
    }
    return new ClusterKey(secret);
  }

  private static String clusterSecret(Settings settings) {
    Optional<String> variable = settings.find(DaemonSpec.CLUSTER_KEY_VARIABLE);
    if (variable.isEmpty() && settings.find(DaemonSpec.CLUSTER_KEY_FILE).isEmpty()) {
      throw wrong(
          settings,
          DaemonSpec.CLUSTER_KEY_FILE,
          "the key is missing; accepted: a path, or [keys] cluster-key-variable");
    }
    if (variable.isEmpty()) {
      return secret(settings, DaemonSpec.CLUSTER_KEY_FILE);
    }
    return Optional.ofNullable(System.getenv(variable.get()))
        .orElseThrow(
            () ->
                wrong(
                    settings,
                    DaemonSpec.CLUSTER_KEY_VARIABLE,
                    "the environment variable " + variable.get() + " is not set"));
  }

  private static Optional<Secret> operatorKey(Settings settings) {
    return settings
        .find(DaemonSpec.OPERATOR_KEY_FILE)
        .map(file -> new Secret(secret(settings, DaemonSpec.OPERATOR_KEY_FILE)));
  }

  static String secret(Settings settings, Setting<Path> setting) {
    Path file = settings.findPath(setting).orElseThrow();
    try {
      String secret = Files.readString(file).trim();
      if (secret.isEmpty()) {
        throw wrong(settings, setting, "the key file '" + file + "' is empty");
      }
      return secret;
    } catch (IOException unreadable) {
      throw wrong(settings, setting, "the key file '" + file + "' can't be read: " + unreadable);
    }
  }

  static SettingsException wrong(Settings settings, Setting<?> setting, String problem) {
    return new SettingsException(settings.file(), setting.section(), setting.key(), problem);
  }
}
