package org.alderyard.daemon;

import java.security.SecureRandom;
import java.time.InstantSource;
import org.alderyard.backend.ServerAdmin;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.HostState;
import org.alderyard.protocol.data.DataMethods;
import org.alderyard.protocol.wire.Dispatcher;
import org.alderyard.protocol.wire.PeerLinks;
import org.alderyard.proxy.api.TransactionApi;
import org.alderyard.proxy.drain.RequestsInFlight;
import org.alderyard.proxy.ledger.LedgerLimits;
import org.alderyard.proxy.ledger.LedgerSupport;
import org.alderyard.proxy.ledger.OwnerLedger;
import org.alderyard.proxy.ledger.WriteExecutor;
import org.alderyard.proxy.limit.RetryBudget;
import org.alderyard.proxy.limit.ServerLimiters;
import org.alderyard.proxy.monitor.GroupMonitor;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.session.SessionTokens;
import org.alderyard.proxy.transaction.TransactionLimits;
import org.alderyard.proxy.transaction.TransactionService;
import org.alderyard.proxy.view.PoolLookup;
import org.alderyard.proxy.view.ViewClient;
import org.alderyard.proxy.view.ViewHolder;
import org.alderyard.proxy.watch.WatcherService;
import org.alderyard.proxy.write.LimiterWriteAdmission;
import org.alderyard.proxy.write.WritePath;

/** The parts of a proxy that change data: writes, their ledgers and transactions. */
final class WriteStack {
  private final HostState self;
  private final ViewHolder views;
  private final ServerPools pools;
  private final MonotonicClock clock;
  private final LedgerSupport ledgerOnServers;
  private final WritePath writes;
  private final OwnerLedger owner;

  WriteStack(
      HostState self,
      ViewHolder views,
      ViewClient viewClient,
      GroupMonitor monitor,
      ServerAdmin admin,
      ServerPools pools,
      ServerLimiters limiters,
      WorkerPool workers,
      MonotonicClock clock,
      InstantSource wallClock,
      PeerLinks links) {
    this.self = self;
    this.views = views;
    this.pools = pools;
    this.clock = clock;
    ledgerOnServers = new LedgerSupport(views, monitor);
    writes =
        new WritePath(
            views,
            pools,
            admin,
            new RetryBudget(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_MAX_RESENDS),
            new LimiterWriteAdmission(limiters, views),
            ledgerOnServers,
            viewClient::leaseValid,
            workers,
            clock);
    owner =
        new OwnerLedger(
            self.id(),
            views,
            viewClient::leaseValid,
            writes::run,
            (host, request, timeout) ->
                links.to(host.innerAddress()).call(DataMethods.RUN_OWNED_WRITE, request, timeout),
            LedgerLimits.DEFAULT,
            workers,
            clock,
            wallClock);
    viewClient.onLeaseLapsed(owner::onViewLeaseRegained);
  }

  /** Makes the watchers look at once at a primary whose connections are refused or break. */
  void feed(WatcherService watchers) {
    writes.onPrimaryConnectionLost(watchers::requestFailed);
  }

  /** Returns the way of single writes. */
  WriteExecutor writeExecutor() {
    return new WriteExecutor(writes, ledgerOnServers, owner);
  }

  /** Serves the writes that other proxies pass on to this one as the owner of their ids. */
  void serveLedger(Dispatcher dispatcher, RequestsInFlight inFlight) {
    dispatcher.serve(
        DataMethods.RUN_OWNED_WRITE,
        (peer, request) -> inFlight.runEvenIfDraining(() -> owner.serve(request)));
  }

  /** Returns a holder of transactions. */
  TransactionService transactions() {
    return new TransactionService(
        self.id(),
        self.incarnation(),
        writes,
        pools,
        TransactionLimits.DEFAULT,
        new SecureRandom(),
        clock);
  }

  /** Serves the transactions of a holder, for callers and for other proxies. */
  TransactionApi serveTransactions(
      TransactionService held,
      PoolLookup poolLookup,
      SessionTokens tokens,
      Dispatcher dispatcher,
      PeerLinks links,
      RequestsInFlight inFlight) {
    TransactionApi api =
        new TransactionApi(
            self.id(),
            views,
            poolLookup,
            held,
            tokens,
            (holder, request, timeout) ->
                links
                    .to(holder.innerAddress())
                    .call(DataMethods.FORWARD_TRANSACTION, request, timeout),
            inFlight);
    dispatcher.serve(
        DataMethods.FORWARD_TRANSACTION,
        (peer, request) -> inFlight.runEvenIfDraining(() -> api.serve(request)));
    return api;
  }
}
