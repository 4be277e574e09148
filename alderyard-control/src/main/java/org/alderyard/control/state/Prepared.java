package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import java.util.Optional;

/**
 * A command that is about to be carried out.
 *
 * @param next the next view; empty if it stays the same
 * @param plan the changes of the other tables
 * @param reply the result for the proposer
 */
record Prepared(Optional<ViewTable.Next> next, Plan plan, ByteString reply) {}
