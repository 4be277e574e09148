package org.alderyard.protocol.data;

import org.alderyard.protocol.generated.ledger.OwnedWriteReply;
import org.alderyard.protocol.generated.ledger.OwnedWriteRequest;
import org.alderyard.protocol.wire.Method;

/** The methods that proxies serve for one another. */
public final class DataMethods {
  /** Runs a write under its request id, at the proxy that owns the id. */
  public static final Method<OwnedWriteRequest, OwnedWriteReply> RUN_OWNED_WRITE =
      new Method<>(200, "run-owned-write", OwnedWriteRequest.parser(), OwnedWriteReply.parser());

  private DataMethods() {}
}
