package org.alderyard.proxy.pool;

import org.alderyard.backend.ServerConnection;
import org.alderyard.backend.ServerConnector;

/** The pools of the connections that run one statement or transaction of any caller. */
public final class ServerPools extends ConnectionPools<ServerConnection> {

  /** Creates pools without a limit. */
  public ServerPools(ServerConnector connector) {
    this(connector, ConnectionAllowance.UNLIMITED);
  }

  /** Creates pools that keep to an allowance. */
  public ServerPools(ServerConnector connector, ConnectionAllowance allowance) {
    super((server, timeout) -> connector.connect(server.address(), timeout), allowance);
  }
}
