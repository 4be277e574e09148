package org.alderyard.proxy.read;

import java.util.Objects;
import java.util.OptionalLong;
import org.alderyard.backend.BackendAnswer;
import org.alderyard.common.view.ServerState;

/**
 * The checked answer to a read.
 *
 * @param answer what the server answered
 * @param server the server
 * @param replica whether it was a replica
 * @param ageMillis an age that the data does not exceed; empty for the primary or if not known
 */
public record ReadAnswer(
    BackendAnswer answer, ServerState server, boolean replica, OptionalLong ageMillis) {

  /** Checks. */
  public ReadAnswer {
    Objects.requireNonNull(answer);
    Objects.requireNonNull(server);
    Objects.requireNonNull(ageMillis);
  }
}
