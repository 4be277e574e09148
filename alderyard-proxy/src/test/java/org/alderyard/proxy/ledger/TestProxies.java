package org.alderyard.proxy.ledger;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.alderyard.backend.LedgerKey;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.RequestId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.common.view.WriteAcknowledgement;
import org.alderyard.protocol.generated.ledger.OwnedWriteReply;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.proxy.write.WriteAnswer;
import org.alderyard.proxy.write.WriteRequest;

/** The owner ledgers of several proxies over one database that counts the runs of each request. */
final class TestProxies implements AutoCloseable {
  static final PoolName POOL = new PoolName("orders");
  private static final GroupId GROUP = new GroupId("g");
  private static final Duration TIMEOUT = Duration.ofMillis(200);

  final Map<String, Integer> runCounts = new ConcurrentHashMap<>();
  final Map<HostId, Proxy> proxies = new TreeMap<>();
  private final WorkerPool workers = new WorkerPool("test", 2);
  private final LedgerLimits limits;
  Function<WriteRequest, CompletableFuture<WriteAnswer>> database = this::answer;
  long nowMillis = 1_000_000_000;
  View latestView = View.EMPTY;

  TestProxies(LedgerLimits limits, String... ids) {
    this.limits = limits;
    for (String id : ids) {
      proxies.put(new HostId(id), new Proxy(new HostId(id)));
    }
  }

  /** Publishes a view with the given proxies; a test delivers it to each proxy separately. */
  void publish(String... ids) {
    Map<HostId, HostState> hosts = new HashMap<>();
    for (String id : ids) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
      HostId host = new HostId(id);
      hosts.put(
          host, new HostState(host, 1, new ZoneName("z"), address, address, true, false, false));
    }
    PoolState pool = new PoolState(POOL, List.of(GROUP), WriteAcknowledgement.MAJORITY, 1_000, 0);
    ViewVersion version = new ViewVersion(1, latestView.version().version() + 1);
    latestView = new View(version, Map.of(POOL, pool), Map.of(), Map.of(), hosts, List.of());
  }

  void publishToAll(String... ids) {
    publish(ids);
    proxies.values().forEach(proxy -> proxy.views.updateIfNewer(latestView));
  }

  void advance(Duration duration) {
    nowMillis += duration.toMillis();
  }

  Proxy proxy(String id) {
    return proxies.get(new HostId(id));
  }

  /** Returns a request ID that the given proxy owns among the given proxies. */
  String idOwnedBy(String owner, String... ids) {
    publish(ids);
    for (int number = 0; ; number++) {
      String id = "order-" + number;
      if (RequestOwners.owner(latestView, key(id)).equals(Optional.of(new HostId(owner)))) {
        return id;
      }
    }
  }

  private static LedgerKey key(String id) {
    return new LedgerKey(new CallerId("shop"), new RequestId(id));
  }

  WriteRequest order(String id, long requestedAtMillis, String content) {
    return new WriteRequest(
        latestView.pool(POOL).orElseThrow(),
        GROUP,
        "key-" + content,
        "append",
        List.of(),
        Optional.of(key(id)),
        OptionalLong.of(requestedAtMillis),
        TIMEOUT);
  }

  CompletableFuture<WriteAnswer> answer(WriteRequest request) {
    int run = runCounts.merge(request.ledgerKey().orElseThrow().request().value(), 1, Integer::sum);
    return CompletableFuture.completedFuture(
        new WriteAnswer(
            JsonNodeFactory.instance.numberNode(run), new ServerId("s"), new Position(1, 1)));
  }

  @Override
  public void close() {
    workers.close();
  }

  /** A proxy with its own view, lease and reachability. */
  final class Proxy {
    final ViewHolder views = new ViewHolder();
    boolean leaseValid = true;
    boolean reachable = true;
    int repliesToLose;
    final OwnerLedger ledger;

    private Proxy(HostId id) {
      InstantSource wallClock = () -> Instant.ofEpochMilli(nowMillis);
      ledger =
          new OwnerLedger(
              id,
              views,
              () -> leaseValid,
              request -> database.apply(request),
              (owner, request, timeout) -> proxies.get(owner.id()).receive(request),
              limits,
              workers,
              MonotonicClock.system(),
              wallClock);
    }

    private CompletableFuture<OwnedWriteReply> receive(
        org.alderyard.protocol.generated.ledger.OwnedWriteRequest request) {
      if (!reachable) {
        return CompletableFuture.failedFuture(
            AlderyardException.notRun(ErrorCode.CONNECTION_LOST, "unreachable"));
      }
      CompletableFuture<OwnedWriteReply> reply = ledger.serve(request);
      if (repliesToLose > 0) {
        repliesToLose--;
        return CompletableFuture.failedFuture(
            AlderyardException.unknown(ErrorCode.CONNECTION_LOST, "cut", null));
      }
      return reply;
    }

    CompletableFuture<WriteAnswer> send(String id, long requestedAtMillis) {
      return ledger.run(order(id, requestedAtMillis, "a"));
    }
  }
}
