package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.alderyard.protocol.generated.raft.JoinReply;
import org.alderyard.protocol.generated.raft.JoinRequest;
import org.alderyard.protocol.wire.PeerLinks;

/** Sends join requests to all other hosts, one round at a time. Used only on the serial loop. */
final class JoinPoller {
  private final PeerLinks links;
  private final SerialLoop loop;
  private final ReplicatedLogOptions options;
  private final Supplier<Map<String, InetSocketAddress>> addressSource;
  private Map<String, InetSocketAddress> others = Map.of();
  private final Consumer<Map<String, JoinReply>> onRound;
  private Map<String, JoinReply> replies = new HashMap<>();
  private int pendingReplies;

  JoinPoller(
      PeerLinks links,
      SerialLoop loop,
      ReplicatedLogOptions options,
      Supplier<Map<String, InetSocketAddress>> addressSource,
      Consumer<Map<String, JoinReply>> onRound) {
    this.links = links;
    this.loop = loop;
    this.options = options;
    this.addressSource = addressSource;
    this.onRound = onRound;
  }

  List<String> others() {
    return List.copyOf(others.keySet());
  }

  /**
   * Sends a request to all other hosts unless a round is in progress, so that replies of different
   * rounds never mix.
   */
  void startRound(JoinRequest request) {
    if (pendingReplies > 0) {
      return;
    }
    replies = new HashMap<>();
    others = addressSource.get();
    if (others.isEmpty()) {
      onRound.accept(replies);
      return;
    }
    pendingReplies = others.size();
    others.forEach(
        (peer, address) ->
            links
                .linkTo(address)
                .call(RaftMethods.JOIN, request, options.sendTimeout())
                .whenComplete(
                    (reply, failure) -> loop.submit(() -> onReply(peer, reply, failure))));
  }

  private void onReply(String peer, JoinReply reply, Throwable failure) {
    if (failure == null) {
      replies.put(peer, reply);
    }
    pendingReplies--;
    if (pendingReplies == 0) {
      onRound.accept(replies);
    }
  }
}
