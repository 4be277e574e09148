package org.alderyard.backend;

import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.RequestId;

/**
 * The name of a request, under which a server that can do so records its answer.
 *
 * @param caller the caller
 * @param request the request id, unique for the caller
 */
public record LedgerKey(CallerId caller, RequestId request) {}
