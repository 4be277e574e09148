package org.alderyard.control.log;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.alderyard.protocol.generated.raft.JoinReply;
import org.alderyard.protocol.generated.raft.JoinRequest;
import org.alderyard.protocol.generated.raft.Member;
import org.alderyard.protocol.wire.PeerLinks;

/** Asks all other hosts who they are, one round after the other; used on the loop only. */
final class JoinRounds {
  private final PeerLinks links;
  private final SerialLoop loop;
  private final ReplicatedLogOptions options;
  private final Member self;
  private final Supplier<Map<String, InetSocketAddress>> addresses;
  private Map<String, InetSocketAddress> others = Map.of();
  private final Consumer<Map<String, JoinReply>> onRound;
  private Map<String, JoinReply> replies = new HashMap<>();
  private int outstanding;

  JoinRounds(
      PeerLinks links,
      SerialLoop loop,
      ReplicatedLogOptions options,
      Member self,
      Supplier<Map<String, InetSocketAddress>> addresses,
      Consumer<Map<String, JoinReply>> onRound) {
    this.links = links;
    this.loop = loop;
    this.options = options;
    this.self = self;
    this.addresses = addresses;
    this.onRound = onRound;
  }

  List<String> others() {
    return List.copyOf(others.keySet());
  }

  /** Starts a round unless one is under way; answers of one round never mix with another's. */
  void start(boolean newcomer) {
    if (outstanding > 0) {
      return;
    }
    replies = new HashMap<>();
    others = addresses.get();
    if (others.isEmpty()) {
      onRound.accept(replies);
      return;
    }
    outstanding = others.size();
    JoinRequest request = JoinRequest.newBuilder().setSelf(self).setNewcomer(newcomer).build();
    others.forEach(
        (endpoint, address) ->
            links
                .to(address)
                .call(RaftMethods.JOIN, request, options.sendTimeout())
                .whenComplete(
                    (reply, failure) -> loop.submit(() -> answered(endpoint, reply, failure))));
  }

  private void answered(String endpoint, JoinReply reply, Throwable failure) {
    if (failure == null) {
      replies.put(endpoint, reply);
    }
    outstanding--;
    if (outstanding == 0) {
      onRound.accept(replies);
    }
  }
}
