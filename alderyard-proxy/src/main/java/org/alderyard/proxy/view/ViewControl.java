package org.alderyard.proxy.view;

import java.util.concurrent.CompletableFuture;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.FetchViewRequest;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;

/** The requests of a view client to the control hosts. Futures fail after a timeout. */
interface ViewControl {

  /**
   * Fetches from one control host.
   *
   * @param index the index of the host, modulo the number of hosts
   */
  CompletableFuture<FetchViewReply> fetch(int index, FetchViewRequest request);

  /** Fetches from the leader. */
  CompletableFuture<FetchViewReply> fetchFromLeader(FetchViewRequest request);

  /** Sends a heartbeat to the leader. */
  CompletableFuture<HeartbeatReply> heartbeat(HeartbeatRequest request);
}
