package org.alderyard.backend;

import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.RequestId;

/**
 * Key under which a server with a request ledger records the response to a request.
 *
 * @param caller the caller that sent the request
 * @param request the request id, unique within the caller
 */
public record LedgerKey(CallerId caller, RequestId request) {}
