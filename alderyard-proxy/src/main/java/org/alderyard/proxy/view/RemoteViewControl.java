package org.alderyard.proxy.view;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.alderyard.protocol.control.ControlClient;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.FetchViewRequest;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;

/**
 * Sends the requests of a view client over the links to the control hosts.
 *
 * @param control sends heartbeats
 * @param viewSources fetches views, over connections of its own: on a small link, a large view
 *     would delay the replies to heartbeats on the same connection beyond their timeout
 */
record RemoteViewControl(ControlClient control, ControlClient viewSources) implements ViewControl {
  private static final Duration FETCH_TIMEOUT = Duration.ofMillis(2_000);
  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1_000);

  @Override
  public CompletableFuture<FetchViewReply> fetch(int index, FetchViewRequest request) {
    return viewSources.callHost(index, ControlMethods.FETCH_VIEW, request, FETCH_TIMEOUT);
  }

  @Override
  public CompletableFuture<FetchViewReply> fetchFromLeader(FetchViewRequest request) {
    return viewSources.callIdempotent(ControlMethods.FETCH_VIEW, request, FETCH_TIMEOUT);
  }

  @Override
  public CompletableFuture<HeartbeatReply> heartbeat(HeartbeatRequest request) {
    return control.callIdempotent(ControlMethods.HEARTBEAT, request, HEARTBEAT_TIMEOUT);
  }
}
