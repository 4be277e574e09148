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

/** Components of a proxy that change data: writes, request ledgers and transactions. */
final class WriteStack {
  private final HostState self;
  private final ViewHolder views;
  private final ServerPools pools;
  private final MonotonicClock clock;
  private final LedgerSupport ledgerSupport;
  private final WritePath writePath;
  private final OwnerLedger ownerLedger;

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
    ledgerSupport = new LedgerSupport(views, monitor);
    writePath =
        new WritePath(
            views,
            pools,
            admin,
            new RetryBudget(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_MAX_RESENDS),
            new LimiterWriteAdmission(limiters, views),
            ledgerSupport,
            viewClient::leaseValid,
            workers,
            clock);
    ownerLedger =
        new OwnerLedger(
            self.id(),
            views,
            viewClient::leaseValid,
            writePath::run,
            (host, request, timeout) ->
                links
                    .linkTo(host.innerAddress())
                    .call(DataMethods.RUN_OWNED_WRITE, request, timeout),
            LedgerLimits.DEFAULT,
            workers,
            clock,
            wallClock);
    viewClient.onLeaseLapsed(ownerLedger::onViewLeaseRegained);
  }

  /**
   * Makes the watchers check a primary immediately when a connection to it is refused or breaks.
   */
  void reportLostPrimariesTo(WatcherService watchers) {
    writePath.onPrimaryConnectionLost(watchers::requestFailed);
  }

  /** Creates the executor of writes outside transactions. */
  WriteExecutor writeExecutor() {
    return new WriteExecutor(writePath, ledgerSupport, ownerLedger);
  }

  /**
   * Serves writes that other proxies forward to this proxy as the owner of their request ids.
   * Writes are accepted while this proxy drains.
   */
  void serveLedger(Dispatcher dispatcher, RequestsInFlight inFlight) {
    dispatcher.serve(
        DataMethods.RUN_OWNED_WRITE,
        (peer, request) -> inFlight.runEvenIfDraining(() -> ownerLedger.serve(request)));
  }

  /** Creates the service for the transactions that this proxy holds. */
  TransactionService transactions() {
    return new TransactionService(
        self.id(),
        self.incarnation(),
        writePath,
        pools,
        TransactionLimits.DEFAULT,
        new SecureRandom(),
        clock);
  }

  /**
   * Creates the transaction API for callers and serves transactions that other proxies forward to
   * this holder, also while this proxy drains.
   */
  TransactionApi serveTransactions(
      TransactionService heldTransactions,
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
            heldTransactions,
            tokens,
            (holder, request, timeout) ->
                links
                    .linkTo(holder.innerAddress())
                    .call(DataMethods.FORWARD_TRANSACTION, request, timeout),
            inFlight);
    dispatcher.serve(
        DataMethods.FORWARD_TRANSACTION,
        (peer, request) -> inFlight.runEvenIfDraining(() -> api.serve(request)));
    return api;
  }
}
