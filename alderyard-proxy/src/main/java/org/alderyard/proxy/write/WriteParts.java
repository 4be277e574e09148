package org.alderyard.proxy.write;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.proxy.limit.RetryBudget;
import org.alderyard.proxy.pool.ServerPools;
import org.alderyard.proxy.view.ViewHolder;

/**
 * What every write works with.
 *
 * @param views the view to act on
 * @param pools the connections
 * @param majority the wait for a majority
 * @param waiters the writes that wait for a primary
 * @param admission when a write may be sent
 * @param flights the writes that wait for an answer of a primary
 * @param permits the permits for resends
 * @param ledgerOnServers whether all servers of a group record writes under their ledger keys
 * @param viewLeaseValid whether the view may be acted on
 * @param onPrimaryLost hears of each connection to a primary that broke or was refused
 * @param workers the workers
 * @param clock the clock
 */
record WriteParts(
    ViewHolder views,
    ServerPools pools,
    MajorityAcknowledger majority,
    PrimaryWaiters waiters,
    WriteAdmission admission,
    Flights flights,
    RetryBudget permits,
    Predicate<GroupId> ledgerOnServers,
    BooleanSupplier viewLeaseValid,
    BiConsumer<GroupId, ServerId> onPrimaryLost,
    WorkerPool workers,
    MonotonicClock clock) {}
