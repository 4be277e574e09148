package org.alderyard.proxy.callersession;

import java.util.concurrent.CompletableFuture;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.common.view.ServerState;

/**
 * A connection of this host with an open transaction.
 *
 * @param context the components that all sessions share
 * @param server the server of the connection
 * @param session the connection
 */
record PinnedConnection(SessionContext context, ServerState server, PooledSession session)
    implements TransactionLocation {

  @Override
  public CompletableFuture<SessionReply> run(
      TransactionOwner owner, OpenTransaction open, StatementTask task) {
    return new PinnedStatement(context, this, owner, open, task).run();
  }

  @Override
  public void rollBack() {
    context.rollBackAndRelease(server, session);
  }
}
