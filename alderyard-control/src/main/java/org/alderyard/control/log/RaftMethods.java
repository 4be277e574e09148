package org.alderyard.control.log;

import org.alderyard.protocol.generated.raft.JoinReply;
import org.alderyard.protocol.generated.raft.JoinRequest;
import org.alderyard.protocol.generated.raft.RaftAck;
import org.alderyard.protocol.generated.raft.RaftBatch;
import org.alderyard.protocol.wire.Method;

/** Methods of the inner protocol that the replicated log uses between hosts. */
final class RaftMethods {
  static final Method<RaftBatch, RaftAck> MESSAGES =
      new Method<>(100, "raft-messages", RaftBatch.parser(), RaftAck.parser());
  static final Method<JoinRequest, JoinReply> JOIN =
      new Method<>(101, "raft-join", JoinRequest.parser(), JoinReply.parser());

  private RaftMethods() {}
}
