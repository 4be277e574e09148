package org.alderyard.protocol.data;

import org.alderyard.protocol.generated.control.PositionSampleReply;
import org.alderyard.protocol.generated.control.PositionSampleRequest;
import org.alderyard.protocol.generated.forward.ForwardReply;
import org.alderyard.protocol.generated.forward.ForwardRequest;
import org.alderyard.protocol.generated.ledger.OwnedWriteReply;
import org.alderyard.protocol.generated.ledger.OwnedWriteRequest;
import org.alderyard.protocol.generated.quota.TakeQuotaReply;
import org.alderyard.protocol.generated.quota.TakeQuotaRequest;
import org.alderyard.protocol.generated.statement.EndHeldTransactionReply;
import org.alderyard.protocol.generated.statement.EndHeldTransactionRequest;
import org.alderyard.protocol.generated.statement.HeldStatementReply;
import org.alderyard.protocol.generated.statement.HeldStatementRequest;
import org.alderyard.protocol.wire.Method;

/** The methods of the inner protocol that proxies serve for one another. */
public final class DataMethods {
  /** Runs a write under its request ID at the proxy that owns the ID. */
  public static final Method<OwnedWriteRequest, OwnedWriteReply> RUN_OWNED_WRITE =
      new Method<>(200, "run-owned-write", OwnedWriteRequest.parser(), OwnedWriteReply.parser());

  /** Forwards a request of a transaction to the proxy that holds the transaction. */
  public static final Method<ForwardRequest, ForwardReply> FORWARD_TRANSACTION =
      new Method<>(201, "forward-transaction", ForwardRequest.parser(), ForwardReply.parser());

  /** Returns the newest position of a primary that the receiving proxy knows. */
  public static final Method<PositionSampleRequest, PositionSampleReply> POSITION_SAMPLE =
      new Method<>(
          202, "position-sample", PositionSampleRequest.parser(), PositionSampleReply.parser());

  /** Runs a caller's statement at a host that holds connections to its group. */
  public static final Method<HeldStatementRequest, HeldStatementReply> RUN_HELD_STATEMENT =
      new Method<>(
          203, "run-held-statement", HeldStatementRequest.parser(), HeldStatementReply.parser());

  /** Rolls back a caller's transaction at the host that holds it. */
  public static final Method<EndHeldTransactionRequest, EndHeldTransactionReply>
      END_HELD_TRANSACTION =
          new Method<>(
              204,
              "end-held-transaction",
              EndHeldTransactionRequest.parser(),
              EndHeldTransactionReply.parser());

  /** Requests the right to begin operations of an organisation from a host that counts them. */
  public static final Method<TakeQuotaRequest, TakeQuotaReply> TAKE_QUOTA =
      new Method<>(205, "take-quota", TakeQuotaRequest.parser(), TakeQuotaReply.parser());

  private DataMethods() {}
}
