package org.alderyard.proxy.ledger;

import java.util.concurrent.CompletableFuture;
import org.alderyard.proxy.write.WriteAnswer;
import org.alderyard.proxy.write.WriteRequest;

/**
 * Runs a write under its request id, at most once however often and wherever it is sent.
 *
 * <p>A resend gets the answer of the first run. The same id with other content is refused as {@code
 * REQUEST_ID_REUSED}.
 */
public interface RequestLedger {

  /** Runs a write that has a ledger key, or returns what became of its first run. */
  CompletableFuture<WriteAnswer> run(WriteRequest request);
}
