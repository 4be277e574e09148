package org.alderyard.proxy.ledger;

import java.util.concurrent.CompletableFuture;
import org.alderyard.proxy.write.WriteAnswer;
import org.alderyard.proxy.write.WriteRequest;

/**
 * Runs a write under its request ID at most once, however often and through whichever proxy it is
 * sent.
 *
 * <p>A resend receives the answer of the first run. The same ID with other content is rejected as
 * {@code REQUEST_ID_REUSED}.
 */
public interface RequestLedger {

  /** Runs a write that has a ledger key, or returns the outcome of its first run. */
  CompletableFuture<WriteAnswer> run(WriteRequest request);
}
