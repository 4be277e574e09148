package org.alderyard.testkit.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.alderyard.backend.ServerReport;
import org.alderyard.backend.ServerRole;
import org.alderyard.backend.http.BackendJson;

/** Announces the server to the entry hosts in rotation, three times per lease. */
final class StandInAnnouncer implements AutoCloseable {
  private static final String PATH = "/v1/announcements";
  private static final int ANNOUNCEMENTS_PER_LEASE = 3;

  private final StandInOptions options;
  private final StandInState state;
  private final Thread thread;
  private volatile boolean leaving;
  private volatile boolean closed;
  private int next;

  StandInAnnouncer(StandInOptions options, StandInState state) {
    this.options = options;
    this.state = state;
    thread = new Thread(this::loop, "stand-in-announce");
    thread.setDaemon(true);
    thread.start();
  }

  void leave() {
    leaving = true;
    announceOnce();
  }

  private void loop() {
    while (!closed && !options.entryHosts().isEmpty()) {
      announceOnce();
      try {
        Thread.sleep(options.leaseMillis() / ANNOUNCEMENTS_PER_LEASE);
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  private synchronized void announceOnce() {
    for (int attempts = 0; attempts < options.entryHosts().size(); attempts++) {
      InetSocketAddress host = options.entryHosts().get(next % options.entryHosts().size());
      next++;
      try {
        PlainHttp.post(host, PATH, announcement());
        return;
      } catch (IOException unreachable) {
        // Continues with the next entry host; the next round attempts all hosts again.
      }
    }
  }

  private ObjectNode announcement() {
    ServerReport report = state.report();
    InetSocketAddress announced = options.announced().orElse(options.address());
    return BackendJson.object()
        .put("server", options.server().value())
        .put("incarnation", options.incarnation())
        .put("group", options.group().value())
        .put("zone", options.zone().value())
        .put("address", announced.getAddress().getHostAddress())
        .put("port", announced.getPort())
        .put("term", report.term())
        .put("primary", report.role() == ServerRole.PRIMARY)
        .put("leaving", leaving)
        .put("leaseMillis", options.leaseMillis());
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
