package org.alderyard.proxy.pool;

import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.ServerConnector;

/** The pools of connections that each run one statement or transaction of any caller at a time. */
public final class ServerPools extends ConnectionPools<ServerConnection> {

  /** Creates pools without a connection limit. */
  public ServerPools(ServerConnector connector) {
    this(connector, ConnectionAllowance.UNLIMITED);
  }

  /** Creates pools that are limited by an allowance. */
  public ServerPools(ServerConnector connector, ConnectionAllowance allowance) {
    super((server, owner, timeout) -> connector.connect(server.address(), timeout), allowance);
  }
}
