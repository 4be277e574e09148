package org.alderyard.testkit.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.alderyard.backend.http.BackendJson;

/** Fetches log entries from the primary and applies them after the configured lag. */
final class StandInReplication implements AutoCloseable {
  private static final long IDLE_MILLIS = 20;
  private static final long FETCH_WAIT_MILLIS = 200;

  private final StandInState state;
  private final StandInSwitches switches;
  private final Deque<ReceivedEntries> unapplied = new ArrayDeque<>();
  private final Thread fetcher;
  private final Thread applier;
  private volatile boolean closed;

  StandInReplication(StandInState state, StandInSwitches switches) {
    this.state = state;
    this.switches = switches;
    fetcher = start("stand-in-fetch", this::fetchLoop);
    applier = start("stand-in-apply", this::applyLoop);
  }

  private static Thread start(String name, Runnable loop) {
    Thread thread = new Thread(loop, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void fetchLoop() {
    while (!closed) {
      Optional<InetSocketAddress> primary = state.primary();
      boolean fetched = primary.isPresent() && !switches.unreachable && fetch(primary.get());
      sleep(fetched ? switches.shipLagMillis : IDLE_MILLIS);
    }
  }

  private boolean fetch(InetSocketAddress primary) {
    JsonNode request =
        BackendJson.object()
            .put("from", Math.max(0, state.logSize()))
            .put("waitMillis", FETCH_WAIT_MILLIS);
    try {
      JsonNode answer = PlainHttp.post(primary, StandInServer.LOG_PATH, request);
      var report = BackendJson.report(answer);
      if (!report.role().equals(org.alderyard.backend.ServerRole.PRIMARY)) {
        return false;
      }
      List<LogEntry> entries = new ArrayList<>();
      answer.path("entries").forEach(entry -> entries.add(LogEntry.fromJson(entry)));
      state.replicate(primary, report.termStarts(), entries);
      synchronized (unapplied) {
        unapplied.add(new ReceivedEntries(state.logSize(), System.nanoTime()));
        unapplied.notifyAll();
      }
      return true;
    } catch (IOException unreachable) {
      return false;
    }
  }

  private void applyLoop() {
    while (!closed) {
      ReceivedEntries next;
      synchronized (unapplied) {
        while (unapplied.isEmpty() && !closed) {
          try {
            unapplied.wait(FETCH_WAIT_MILLIS);
          } catch (InterruptedException interrupted) {
            return;
          }
        }
        next = unapplied.poll();
      }
      if (next != null) {
        long elapsedMillis = (System.nanoTime() - next.receivedNanos) / 1_000_000;
        sleep(switches.applyLagMillis - elapsedMillis);
        state.applyUpTo(next.count);
      }
    }
  }

  private static void sleep(long millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    closed = true;
    fetcher.interrupt();
    applier.interrupt();
  }

  private record ReceivedEntries(int count, long receivedNanos) {}
}
