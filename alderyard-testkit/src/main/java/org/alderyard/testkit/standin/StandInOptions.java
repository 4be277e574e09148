package org.alderyard.testkit.standin;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;

/**
 * How one stand-in server starts.
 *
 * @param server its name
 * @param incarnation grows with each start
 * @param group its group
 * @param zone its availability zone
 * @param address where it listens
 * @param announced where others reach it, if that is another address
 * @param slots statements that run at once
 * @param maxQueued statements that wait for a slot; past it the answer is BUSY
 * @param primary whether it starts as the primary of term 1 when its log is empty
 * @param follow the primary to follow from the start
 * @param ledger whether it records answers under ledger keys
 * @param dataFile where the log outlives the process
 * @param entryHosts the hosts that take announcements
 * @param leaseMillis how long an announcement holds
 */
public record StandInOptions(
    ServerId server,
    long incarnation,
    GroupId group,
    ZoneName zone,
    InetSocketAddress address,
    Optional<InetSocketAddress> announced,
    int slots,
    int maxQueued,
    boolean primary,
    Optional<InetSocketAddress> follow,
    boolean ledger,
    Optional<Path> dataFile,
    List<InetSocketAddress> entryHosts,
    long leaseMillis) {}
