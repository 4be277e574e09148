package org.alderyard.protocol.wire;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;

/**
 * A method of the inner protocol.
 *
 * <p>Numbers must never change. Ranges: 1-99 control, 100-199 replicated log, 200-299 data path,
 * 300-399 failover, 400-499 diagnostics.
 *
 * @param number the number on the wire
 * @param name the name in logs and metrics
 * @param requestParser the parser of requests
 * @param replyParser the parser of replies
 * @param <Q> the type of the request
 * @param <R> the type of the reply
 */
public record Method<Q extends MessageLite, R extends MessageLite>(
    int number, String name, Parser<Q> requestParser, Parser<R> replyParser) {}
