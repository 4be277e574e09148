package org.alderyard.proxy.callersession;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.backend.session.SessionStatement.Begin;
import org.alderyard.backend.session.SessionStatement.Commit;
import org.alderyard.backend.session.SessionStatement.Execute;
import org.alderyard.backend.session.SessionStatement.Prepare;
import org.alderyard.backend.session.SessionStatement.Read;
import org.alderyard.backend.session.SessionStatement.SetValue;
import org.alderyard.backend.session.SessionStatement.Write;
import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.ConfigurationState;
import org.alderyard.common.view.DatabaseState;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.ServerState;
import org.alderyard.common.view.ServerStatus;
import org.alderyard.common.view.SessionReads;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.proxy.pool.ConnectionAllowance;
import org.alderyard.proxy.view.ViewHolder;

/**
 * Runs statements of a caller who does not exist on servers that do not exist, while a host that
 * has just started waits for its first view.
 *
 * <p>Guards against a slow return: after a loss of power all callers come back at the moment in
 * which the hosts have their view. The first statements of a process load and link the code of
 * sessions and are interpreted, and on a small host those that wait behind them miss their
 * objective. The processor has nothing to do until the view comes, and this uses that time.
 */
public final class Rehearsal {
  private static final GroupId GROUP = new GroupId("rehearsal");
  private static final ZoneName ZONE = new ZoneName("rehearsal");
  private static final ServerId PRIMARY = new ServerId("rehearsal-1");
  private static final ServerId REPLICA = new ServerId("rehearsal-2");

  /** Most methods on the way of a statement have been compiled by then. */
  private static final int ROUNDS = 400;

  /** The statements of nobody are no lines for operators. */
  private static final int NO_LOG = 0;

  private static final int TIMEOUT_MILLIS = 1_000;
  private static final int CONNECTIONS = 4;
  private static final String ITEM = "item";

  private final SessionService service;
  private final WorkerPool workers;
  private final BooleanSupplier over;
  private int rounds;

  private Rehearsal(SessionService service, WorkerPool workers, BooleanSupplier over) {
    this.service = service;
    this.workers = workers;
    this.over = over;
  }

  /**
   * Starts to rehearse.
   *
   * @param workers run the rounds, one at a time, so that other work comes in between
   * @param over whether there is work of callers now
   */
  public static void start(
      WorkerPool workers, MonotonicClock clock, InstantSource wallClock, BooleanSupplier over) {
    workers.execute(
        () -> {
          ViewHolder views = new ViewHolder();
          SessionService service =
              new SessionService(
                  views,
                  ZONE,
                  new RehearsalServers(),
                  ConnectionAllowance.UNLIMITED,
                  workers,
                  clock,
                  wallClock,
                  new PrometheusRegistry(),
                  () -> true,
                  new SessionLimits(CONNECTIONS, Duration.ZERO, NO_LOG));
          views.offer(view());
          new Rehearsal(service, workers, over).round();
        });
  }

  private void round() {
    if (rounds == ROUNDS || over.getAsBoolean()) {
      return;
    }
    rounds++;
    for (SessionReads reads : SessionReads.values()) {
      CallerSession session = service.open(reads.name());
      List<SessionStatement> statements =
          List.of(
              new SetValue("name", "value"),
              new Prepare("shape", StatementKind.READ, "shape"),
              new Write(ITEM, "data"),
              new Read(ITEM),
              new Execute("shape", ITEM, Optional.empty()),
              new Begin(false),
              new Read(ITEM),
              new Commit());
      CompletableFuture<?> last = CompletableFuture.completedFuture(null);
      for (SessionStatement statement : statements) {
        last = last.thenCompose(done -> session.handle("rehearsal", statement));
      }
      last.whenComplete((done, failure) -> service.close(session));
    }
    workers.execute(this::round);
  }

  private static View view() {
    View.Editor editor = View.EMPTY.edit();
    editor
        .groups()
        .put(
            GROUP,
            new GroupState(GROUP, 1, Optional.of(PRIMARY), List.of(), CONNECTIONS, CONNECTIONS));
    editor.put(server(PRIMARY));
    editor.put(server(REPLICA));
    editor.configuration(
        new ConfigurationState(
            1,
            List.of(
                database(SessionReads.NEWEST),
                database(SessionReads.BOUNDED),
                database(SessionReads.OWN_WRITES)),
            new TreeMap<>(Map.of(GROUP, CONNECTIONS)),
            TIMEOUT_MILLIS,
            0,
            Bytes.of(new byte[0]),
            Bytes.of(new byte[0])));
    return editor.at(new ViewVersion(1, 1));
  }

  private static ServerState server(ServerId id) {
    InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    return new ServerState(id, 1, GROUP, ZONE, nowhere, ServerStatus.ACTIVE);
  }

  private static DatabaseState database(SessionReads reads) {
    return new DatabaseState(
        reads.name(), "/", GROUP, reads, TIMEOUT_MILLIS, TIMEOUT_MILLIS, 1, TIMEOUT_MILLIS);
  }
}
