package org.alderyard.daemon;

import static org.alderyard.common.settings.SettingTypes.address;
import static org.alderyard.common.settings.SettingTypes.bytes;
import static org.alderyard.common.settings.SettingTypes.decimal;
import static org.alderyard.common.settings.SettingTypes.duration;
import static org.alderyard.common.settings.SettingTypes.flag;
import static org.alderyard.common.settings.SettingTypes.integer;
import static org.alderyard.common.settings.SettingTypes.list;
import static org.alderyard.common.settings.SettingTypes.name;
import static org.alderyard.common.settings.SettingTypes.path;
import static org.alderyard.common.settings.SettingTypes.word;
import static org.alderyard.common.settings.SettingTypes.words;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.settings.Setting;
import org.alderyard.common.settings.SettingsSpec;
import org.alderyard.proxy.admission.AdmissionMode;
import org.alderyard.proxy.callersession.StartOpenings;
import org.alderyard.proxy.pool.ConnectionSharing;
import org.alderyard.proxy.quota.QuotaCounters;
import org.alderyard.proxy.serverhealth.PaceMode;
import org.alderyard.proxy.serverhealth.ServerKnowledge;

/** Specification of all daemon settings. */
public final class DaemonSpec {
  static final Setting<HostId> HOST_ID =
      Setting.required("host", "id", name(HostId::new), "name of this host, unique in the cluster");
  static final Setting<ZoneName> ZONE =
      Setting.required("host", "zone", name(ZoneName::new), "availability zone of this host");
  static final Setting<String> CLUSTER_ID =
      Setting.required(
          "host", "cluster-id", name(text -> new HostId(text).value()), "name of the cluster");
  static final Setting<Set<Role>> ROLES =
      Setting.preset("host", "roles", words(Role.class), "proxy", "what this process does");

  static final Setting<InetSocketAddress> CALLER_ADDRESS =
      Setting.required("network", "caller-address", address(), "where callers connect");
  static final Setting<InetSocketAddress> INNER_ADDRESS =
      Setting.required("network", "inner-address", address(), "where other hosts connect");
  static final Setting<InetSocketAddress> INNER_LISTEN_ADDRESS =
      Setting.optional(
          "network",
          "inner-listen-address",
          address(),
          "where the port for other hosts is bound, if they reach it at another address");
  static final Setting<InetSocketAddress> ANNOUNCEMENT_ADDRESS =
      Setting.optional(
          "network",
          "announcement-address",
          address(),
          "dedicated address for announcements of backend servers");
  static final Setting<InetSocketAddress> OPERATOR_ADDRESS =
      Setting.optional("network", "operator-address", address(), "where operators connect");

  static final Setting<List<InetSocketAddress>> CONTROL_HOSTS =
      Setting.optional("control", "hosts", list(address()), "inner addresses of the control hosts");
  static final Setting<List<InetSocketAddress>> SEEDS =
      Setting.optional(
          "control",
          "seeds",
          list(address()),
          "replaces hosts: some hosts of the cluster; their inner port equals this host's");
  static final Setting<Boolean> MAY_FOUND =
      Setting.preset(
          "control",
          "may-found",
          flag(),
          "false",
          "whether control hosts among the seeds may form a new cluster");
  static final Setting<Integer> BORNE_LOSSES =
      Setting.preset(
          "control",
          "borne-losses",
          integer(0, 3),
          "1",
          "number n of control hosts that may fail at the same time; 2n + 1 of them vote");
  static final Setting<Path> DATA_FOLDER =
      Setting.optional("control", "data-folder", path(), "where a control host keeps its state");

  static final Setting<Path> CLUSTER_KEY_FILE =
      Setting.optional(
          "keys", "cluster-key-file", path(), "secret shared by all hosts, at least 16 bytes");
  static final Setting<String> CLUSTER_KEY_VARIABLE =
      Setting.optional(
          "keys",
          "cluster-key-variable",
          name(text -> new HostId(text).value()),
          "replaces the file: name of the environment variable with the secret");
  static final Setting<Path> ACCEPTED_CLUSTER_KEY_FILE =
      Setting.optional(
          "keys",
          "accepted-cluster-key-file",
          path(),
          "second secret that other hosts may use while the cluster key is replaced");
  static final Setting<Path> OPERATOR_KEY_FILE =
      Setting.optional("keys", "operator-key-file", path(), "secret that operators send");

  static final Setting<Duration> MONITOR_INTERVAL =
      Setting.preset(
          "proxy",
          "monitor-interval",
          duration(Duration.ofMillis(1), Duration.ofSeconds(10)),
          "20ms",
          "interval between position requests to a backend server");
  static final Setting<Duration> MONITOR_IDLE_INTERVAL =
      Setting.preset(
          "proxy",
          "monitor-idle-interval",
          duration(Duration.ofMillis(1), Duration.ofMinutes(1)),
          "500ms",
          "interval between position requests for groups without work on this host");
  static final Setting<Duration> READ_WAIT_BUDGET =
      Setting.preset(
          "proxy",
          "read-wait-budget",
          duration(Duration.ZERO, Duration.ofSeconds(10)),
          "300ms",
          "maximum wait of a read for a replica before it is sent to the primary");
  static final Setting<Integer> QUEUE_PER_SERVER =
      Setting.preset(
          "proxy",
          "queue-per-server",
          integer(1, 100_000),
          "64",
          "maximum number of statements queued for one backend server");
  static final Setting<Integer> ROUTING_LOG_SAMPLE =
      Setting.preset(
          "proxy",
          "routing-log-sample",
          integer(1, 1_000_000),
          "1",
          "one in this number of routing decisions is logged; refusals are always logged");
  static final Setting<Duration> MAX_TOKEN_AGE =
      Setting.preset(
          "proxy",
          "max-token-age",
          duration(Duration.ofMinutes(1), Duration.ofHours(24 * 30)),
          "24h",
          "maximum age of an accepted session token");
  static final Setting<Duration> DRAIN_TIMEOUT =
      Setting.preset(
          "proxy",
          "drain-timeout",
          duration(Duration.ZERO, Duration.ofMinutes(10)),
          "30s",
          "maximum wait for in-flight requests during shutdown");
  static final Setting<Duration> DRAIN_LINGER =
      Setting.preset(
          "proxy",
          "drain-linger",
          duration(Duration.ZERO, Duration.ofMinutes(1)),
          "1s",
          "how long the caller port stays open after the last request during shutdown");
  static final Setting<Integer> WORKER_THREADS =
      Setting.preset(
          "proxy", "worker-threads", integer(1, 256), "4", "number of threads in the worker pool");
  static final Setting<Integer> IO_THREADS =
      Setting.preset(
          "proxy", "io-threads", integer(1, 64), "2", "number of I/O threads of the HTTP ports");

  static final Setting<Integer> INNER_THREADS =
      Setting.preset(
          "proxy",
          "inner-threads",
          integer(1, 64),
          "2",
          "number of threads for connections to other hosts and for sessions");

  static final Setting<InetSocketAddress> READY_ADDRESS =
      Setting.optional(
          "sessions",
          "ready-address",
          address(),
          "address of the readiness check; if set, callers open sessions instead of sending HTTP");
  static final Setting<InetSocketAddress> METRICS_ADDRESS =
      Setting.optional("sessions", "metrics-address", address(), "where metrics are served");
  static final Setting<InetSocketAddress> APPOINTER_ADDRESS =
      Setting.optional(
          "sessions", "appointer-address", address(), "the service that appoints primaries");
  static final Setting<Duration> GRACE =
      Setting.preset(
          "sessions",
          "grace",
          duration(Duration.ofSeconds(1), Duration.ofMinutes(10)),
          "10s",
          "time between the request to stop the process and its forced termination");
  static final Setting<Integer> MAX_SESSIONS =
      Setting.preset(
          "sessions",
          "max-sessions",
          integer(1, 1_000_000),
          "3000",
          "maximum number of concurrent sessions");

  static final Setting<Duration> QUOTA_WINDOW =
      Setting.preset(
          "limits",
          "quota-window",
          duration(Duration.ofMillis(100), Duration.ofHours(1)),
          "5s",
          "window in which the operations of an organisation may exceed its limit");
  static final Setting<Double> QUOTA_OVERRUN =
      Setting.preset(
          "limits",
          "quota-overrun",
          decimal(0, 1),
          "0.1",
          "fraction of an organisation's limit in a window by which it may be exceeded");
  static final Setting<Double> QUOTA_SLACK =
      Setting.preset(
          "limits",
          "quota-slack",
          decimal(0, 1_000_000),
          "20",
          "operations of an organisation in a window that may exceed its limit in addition");
  static final Setting<QuotaCounters> QUOTA_COUNTERS =
      Setting.preset(
          "load",
          "quota-counters",
          word(QuotaCounters.class),
          "zones",
          "how the limits of organisations are divided among hosts; the same on all hosts");
  static final Setting<ConnectionSharing> CONNECTION_SHARING =
      Setting.preset(
          "load",
          "connection-sharing",
          word(ConnectionSharing.class),
          "recency",
          "how organisations share connections to a server; the same on all hosts");
  static final Setting<Long> MAX_HEADER_BYTES =
      Setting.preset(
          "limits",
          "max-header-size",
          bytes(1024, 1 << 20),
          "16KiB",
          "maximum total size of the headers");
  static final Setting<Long> MAX_BODY_BYTES =
      Setting.preset(
          "limits", "max-body-size", bytes(1024, 1L << 30), "1MiB", "maximum size of a body");
  static final Setting<Duration> REQUEST_TIMEOUT =
      Setting.preset(
          "limits",
          "request-timeout",
          duration(Duration.ofMillis(100), Duration.ofMinutes(5)),
          "10s",
          "maximum time for a caller to send a request");
  static final Setting<Duration> IDLE_TIMEOUT =
      Setting.preset(
          "limits",
          "idle-timeout",
          duration(Duration.ofSeconds(1), Duration.ofHours(24)),
          "5min",
          "maximum idle time of a caller's connection");

  static final Setting<StartOpenings> START_OPENINGS =
      Setting.preset(
          "load",
          "start-openings",
          word(StartOpenings.class),
          "wait",
          "session openings before the first view: wait (up to 1 s) or refuse (after 60 ms, "
              + "with a retry time)");
  static final Setting<ServerKnowledge> SERVER_KNOWLEDGE =
      Setting.preset(
          "load",
          "server-knowledge",
          word(ServerKnowledge.class),
          "local",
          "observations of servers that a host acts on: local (its own) or shared (those of "
              + "all hosts; outliers are ejected)");
  static final Setting<PaceMode> SERVER_PACE =
      Setting.preset(
          "load",
          "server-pace",
          word(PaceMode.class),
          "none",
          "load of a server that has just started: none (no bound) or adaptive (concurrent "
              + "statements are bounded)");
  static final Setting<AdmissionMode> ADMISSION =
      Setting.preset(
          "load",
          "admission",
          word(AdmissionMode.class),
          "none",
          "statements that no server can run at once: none (they wait) or deadline (refused "
              + "at once if they can not be served in time)");

  static final Setting<HttpStart> HTTP_START =
      Setting.preset(
          "load",
          "http-start",
          word(HttpStart.class),
          "timed",
          "HTTP ports of a host with sessions open after the first view: timed (after 2 s at "
              + "the latest) or after-view (after 15 s at the latest)");

  static final Setting<Path> TLS_KEYSTORE_FILE =
      Setting.optional(
          "tls",
          "keystore-file",
          path(),
          "PKCS#12 file with the key and certificate of the HTTP ports; if absent, plain HTTP");
  static final Setting<Path> TLS_PASSWORD_FILE =
      Setting.optional(
          "tls", "keystore-password-file", path(), "file with the password of the keystore");
  static final Setting<Set<TlsPort>> TLS_PORTS =
      Setting.preset("tls", "ports", words(TlsPort.class), "operator", "HTTP ports that use TLS");

  static final Setting<LogFormat> LOG_FORMAT =
      Setting.preset(
          "log", "format", word(LogFormat.class), "text", "key=value lines or JSON objects");
  static final Setting<LogLevel> LOG_LEVEL =
      Setting.preset("log", "level", word(LogLevel.class), "info", "minimum level of logged lines");

  /** All settings, in the order of the documentation. */
  public static final SettingsSpec SPEC =
      new SettingsSpec(
          List.of(
              HOST_ID,
              ZONE,
              CLUSTER_ID,
              ROLES,
              CALLER_ADDRESS,
              INNER_ADDRESS,
              INNER_LISTEN_ADDRESS,
              ANNOUNCEMENT_ADDRESS,
              OPERATOR_ADDRESS,
              CONTROL_HOSTS,
              SEEDS,
              MAY_FOUND,
              BORNE_LOSSES,
              DATA_FOLDER,
              CLUSTER_KEY_FILE,
              CLUSTER_KEY_VARIABLE,
              ACCEPTED_CLUSTER_KEY_FILE,
              OPERATOR_KEY_FILE,
              MONITOR_INTERVAL,
              MONITOR_IDLE_INTERVAL,
              READ_WAIT_BUDGET,
              QUEUE_PER_SERVER,
              ROUTING_LOG_SAMPLE,
              MAX_TOKEN_AGE,
              DRAIN_TIMEOUT,
              DRAIN_LINGER,
              WORKER_THREADS,
              IO_THREADS,
              INNER_THREADS,
              READY_ADDRESS,
              METRICS_ADDRESS,
              APPOINTER_ADDRESS,
              GRACE,
              MAX_SESSIONS,
              QUOTA_WINDOW,
              QUOTA_OVERRUN,
              QUOTA_SLACK,
              QUOTA_COUNTERS,
              CONNECTION_SHARING,
              MAX_HEADER_BYTES,
              MAX_BODY_BYTES,
              REQUEST_TIMEOUT,
              IDLE_TIMEOUT,
              START_OPENINGS,
              SERVER_KNOWLEDGE,
              SERVER_PACE,
              ADMISSION,
              HTTP_START,
              TLS_KEYSTORE_FILE,
              TLS_PASSWORD_FILE,
              TLS_PORTS,
              LOG_FORMAT,
              LOG_LEVEL));

  private DaemonSpec() {}
}
