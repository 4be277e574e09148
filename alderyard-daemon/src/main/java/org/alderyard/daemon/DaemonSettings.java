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
import org.alderyard.proxy.quota.QuotaTolerance;
import org.alderyard.proxy.read.ReadOptions;
import org.alderyard.proxy.serverhealth.HealthOptions;

/**
 * Validated settings of one daemon process.
 *
 * @param host id of this host
 * @param zone availability zone of this host
 * @param clusterId name of the cluster
 * @param roles roles that this process runs
 * @param callerAddress address that callers connect to
 * @param innerAddress address that other hosts connect to
 * @param innerListenAddress bind address of the port for other hosts, if it differs from {@code
 *     innerAddress}
 * @param announcementAddress additional address on which backend servers announce themselves; the
 *     caller port accepts announcements as well
 * @param operatorAddress address that operators connect to; empty if this host has no operator port
 * @param controlHosts inner addresses of the control hosts; empty if {@code discovery} is present
 * @param discovery how other hosts are discovered when the control hosts are not listed
 * @param dataFolder folder in which a control host stores its state
 * @param clusterKey secret shared by all hosts
 * @param operatorKey secret that operators send
 * @param monitorInterval interval between state requests to a backend server
 * @param monitorIdleInterval interval between state requests to servers of groups without work on
 *     this host
 * @param readOptions routing and limits of reads
 * @param maxTokenAge maximum age of an accepted session token
 * @param drainTimeout maximum wait for in-flight requests during shutdown
 * @param drainLinger how long the caller port stays open after the last in-flight request
 * @param workerThreads number of threads in the worker pool
 * @param ioThreads number of I/O threads of the HTTP ports
 * @param innerThreads number of threads for connections to other hosts and for sessions
 * @param sessions settings for callers that open sessions; empty if callers send HTTP
 * @param httpLimits limits on requests of HTTP clients
 * @param tls TLS settings of the HTTP ports
 * @param log format and level of the log
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
    Optional<DiscoveryOptions> discovery,
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
   * Reads and validates a settings file.
   *
   * @throws SettingsException if the file or a file that it names cannot be read, or a setting is
   *     invalid
   */
  public static DaemonSettings read(Path file) {
    Settings settings = new SettingsReader(DaemonSpec.SPEC).read(file);
    DaemonSettings daemonSettings =
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
            discovery(settings),
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
            TlsOptions.load(settings),
            new LogOptions(
                settings.get(DaemonSpec.LOG_FORMAT), settings.get(DaemonSpec.LOG_LEVEL)));
    daemonSettings.validateCombinations(settings);
    return daemonSettings;
  }

  private void validateCombinations(Settings settings) {
    if (operatorAddress.isPresent() && operatorKey.isEmpty() && sessions.isEmpty()) {
      throw invalid(
          settings,
          DaemonSpec.OPERATOR_KEY_FILE,
          "the key is missing; [network] operator-address needs it");
    }
    if (discovery.isPresent() != controlHosts.isEmpty()) {
      throw invalid(
          settings,
          DaemonSpec.CONTROL_HOSTS,
          "the key is missing; accepted: either [control] hosts or [control] seeds");
    }
    boolean controlHostsListed = discovery.isEmpty();
    if (controlHostsListed
        && roles.contains(Role.CONTROL)
        && !controlHosts.contains(innerAddress)) {
      throw invalid(
          settings,
          DaemonSpec.CONTROL_HOSTS,
          "[network] inner-address " + innerAddress + " of this control host is not in the list");
    }
    boolean severalControlHosts = discovery.isPresent() || controlHosts.size() > 1;
    if (roles.contains(Role.CONTROL) && dataFolder.isEmpty() && severalControlHosts) {
      throw invalid(
          settings,
          DaemonSpec.DATA_FOLDER,
          "the key is missing; each of several control hosts needs it for its copy of the log");
    }
    if (roles.contains(Role.CONTROL) && dataFolder.isPresent()) {
      validateDataFolder(settings, dataFolder.get());
    }
  }

  private static void validateDataFolder(Settings settings, Path folder) {
    boolean accessible =
        Files.isDirectory(folder) && Files.isReadable(folder) && Files.isWritable(folder);
    if (!accessible) {
      throw invalid(
          settings,
          DaemonSpec.DATA_FOLDER,
          "'" + folder + "' is not a folder that can be read and written");
    }
  }

  /**
   * Returns the discovery settings. The port of a seed is replaced by this host's inner port, which
   * is the same on all hosts.
   */
  private static Optional<DiscoveryOptions> discovery(Settings settings) {
    int innerPort = settings.get(DaemonSpec.INNER_ADDRESS).getPort();
    return settings
        .find(DaemonSpec.SEEDS)
        .map(
            seeds ->
                new DiscoveryOptions(
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
                    settings.get(DaemonSpec.MAX_SESSIONS),
                    quotaTolerance(settings),
                    settings.get(DaemonSpec.START_OPENINGS),
                    new HealthOptions(
                        settings.get(DaemonSpec.SERVER_KNOWLEDGE),
                        settings.get(DaemonSpec.SERVER_PACE)),
                    settings.get(DaemonSpec.QUOTA_COUNTERS),
                    settings.get(DaemonSpec.CONNECTION_SHARING),
                    settings.get(DaemonSpec.ADMISSION),
                    settings.get(DaemonSpec.HTTP_START)));
  }

  private static QuotaTolerance quotaTolerance(Settings settings) {
    return new QuotaTolerance(
        settings.get(DaemonSpec.QUOTA_WINDOW).toMillis() / 1_000.0,
        settings.get(DaemonSpec.QUOTA_OVERRUN),
        settings.get(DaemonSpec.QUOTA_SLACK));
  }

  private static ClusterKey clusterKey(Settings settings) {
    byte[] secret = readClusterSecret(settings).getBytes(StandardCharsets.UTF_8);
    if (secret.length < ClusterKey.MIN_BYTES) {
      throw invalid(
          settings,
          DaemonSpec.CLUSTER_KEY_FILE,
          "the secret has " + secret.length + " bytes; accepted: at least " + ClusterKey.MIN_BYTES);
    }
    return new ClusterKey(secret, acceptedClusterSecrets(settings));
  }

  private static List<byte[]> acceptedClusterSecrets(Settings settings) {
    if (settings.find(DaemonSpec.ACCEPTED_CLUSTER_KEY_FILE).isEmpty()) {
      return List.of();
    }
    String secret = readSecret(settings, DaemonSpec.ACCEPTED_CLUSTER_KEY_FILE);
    return List.of(secret.getBytes(StandardCharsets.UTF_8));
  }

  private static String readClusterSecret(Settings settings) {
    Optional<String> variable = settings.find(DaemonSpec.CLUSTER_KEY_VARIABLE);
    if (variable.isEmpty() && settings.find(DaemonSpec.CLUSTER_KEY_FILE).isEmpty()) {
      throw invalid(
          settings,
          DaemonSpec.CLUSTER_KEY_FILE,
          "the key is missing; accepted: a path, or [keys] cluster-key-variable");
    }
    if (variable.isEmpty()) {
      return readSecret(settings, DaemonSpec.CLUSTER_KEY_FILE);
    }
    return Optional.ofNullable(System.getenv(variable.get()))
        .orElseThrow(
            () ->
                invalid(
                    settings,
                    DaemonSpec.CLUSTER_KEY_VARIABLE,
                    "the environment variable " + variable.get() + " is not set"));
  }

  private static Optional<Secret> operatorKey(Settings settings) {
    return settings
        .find(DaemonSpec.OPERATOR_KEY_FILE)
        .map(file -> new Secret(readSecret(settings, DaemonSpec.OPERATOR_KEY_FILE)));
  }

  static String readSecret(Settings settings, Setting<Path> setting) {
    Path file = settings.findPath(setting).orElseThrow();
    try {
      String secret = Files.readString(file).trim();
      if (secret.isEmpty()) {
        throw invalid(settings, setting, "the key file '" + file + "' is empty");
      }
      return secret;
    } catch (IOException readFailure) {
      throw invalid(settings, setting, "the key file '" + file + "' can't be read: " + readFailure);
    }
  }

  static SettingsException invalid(Settings settings, Setting<?> setting, String problem) {
    return new SettingsException(settings.file(), setting.section(), setting.key(), problem);
  }
}
