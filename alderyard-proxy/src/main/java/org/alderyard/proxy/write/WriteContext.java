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
 * The collaborators that all writes share.
 *
 * @param views the current view
 * @param pools the connection pools of the servers
 * @param acknowledger waits until a majority holds a write
 * @param primaryQueue the writes that wait for a primary
 * @param admission decides when a write may be sent
 * @param inFlight the write attempts in flight
 * @param permits the retry budget, which limits resends
 * @param hasServerLedger whether all servers of a group record writes under their ledger keys
 * @param viewLeaseValid whether the view lease is valid
 * @param onPrimaryConnectionLost called for each connection to a primary that broke or was refused
 * @param workers runs timeouts and delayed retries
 * @param clock the clock for deadlines
 */
record WriteContext(
    ViewHolder views,
    ServerPools pools,
    MajorityAcknowledger acknowledger,
    PrimaryWaitQueue primaryQueue,
    WriteAdmission admission,
    InFlightWrites inFlight,
    RetryBudget permits,
    Predicate<GroupId> hasServerLedger,
    BooleanSupplier viewLeaseValid,
    BiConsumer<GroupId, ServerId> onPrimaryConnectionLost,
    WorkerPool workers,
    MonotonicClock clock) {}
