package org.alderyard.proxy.read;

import java.util.Objects;
import java.util.OptionalLong;
import org.alderyard.backend.BackendResponse;
import org.alderyard.common.view.ServerState;

/**
 * An answer to a read that satisfies the freshness that the read requires.
 *
 * @param answer the answer of the server
 * @param server the server
 * @param replica whether the server is a replica
 * @param ageMillis an upper bound for the age of the data; empty for the primary or if unknown
 */
public record ReadAnswer(
    BackendResponse answer, ServerState server, boolean replica, OptionalLong ageMillis) {

  /** Rejects null components. */
  public ReadAnswer {
    Objects.requireNonNull(answer);
    Objects.requireNonNull(server);
    Objects.requireNonNull(ageMillis);
  }
}
