package org.alderyard.testkit.standin;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;

/**
 * Start options of a stand-in server.
 *
 * @param server the id of the server
 * @param incarnation number that increases with each start
 * @param group the database group of the server
 * @param zone the availability zone of the server
 * @param address the address to listen on
 * @param announced the address to announce, if it differs from the listen address
 * @param slots maximum number of concurrent statements
 * @param maxQueued maximum number of statements queued for a slot; further ones receive BUSY
 * @param primary whether the server starts as the primary of term 1 if its log is empty
 * @param follow the primary to replicate from after the start
 * @param ledger whether results of writes are recorded by ledger key
 * @param dataFile the file that persists the log; empty to keep the log in memory
 * @param entryHosts the hosts that receive announcements
 * @param leaseMillis validity of an announcement, in milliseconds
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
