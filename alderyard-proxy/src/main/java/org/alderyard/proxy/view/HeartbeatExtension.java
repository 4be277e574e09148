package org.alderyard.proxy.view;

import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;

/** Sends data with heartbeats and receives data with their replies. Called without a lock. */
public interface HeartbeatExtension {
  /** Adds nothing. */
  HeartbeatExtension NONE =
      new HeartbeatExtension() {
        @Override
        public void addTo(HeartbeatRequest.Builder request) {}

        @Override
        public void onReply(HeartbeatReply reply) {}
      };

  /** Adds data to the next heartbeat, within bounds of the extension. */
  void addTo(HeartbeatRequest.Builder request);

  /** Receives a reply; not called for a heartbeat that failed. */
  void onReply(HeartbeatReply reply);
}
