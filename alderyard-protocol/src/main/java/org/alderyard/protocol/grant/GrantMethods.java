package org.alderyard.protocol.grant;

import org.alderyard.protocol.generated.grant.RenewGrantsReply;
import org.alderyard.protocol.generated.grant.RenewGrantsRequest;
import org.alderyard.protocol.wire.Method;

/** The methods for connection leases. */
public final class GrantMethods {
  /** Renews and changes the connections of a proxy to all servers named in the request. */
  public static final Method<RenewGrantsRequest, RenewGrantsReply> RENEW_GRANTS =
      new Method<>(60, "renew-grants", RenewGrantsRequest.parser(), RenewGrantsReply.parser());

  private GrantMethods() {}
}
