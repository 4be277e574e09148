package org.alderyard.cli.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.alderyard.cli.local.LocalHttp;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.common.http.Json;

/** Attacks on hosts of the system. */
final class HostFaults {
  private static final Duration SHORT = Duration.ofMillis(2_500);
  private static final Duration LONG = Duration.ofMillis(6_000);
  private static final Duration BEFORE_STOP = Duration.ofMillis(500);
  private static final int STOP_CALLERS = 4;

  private HostFaults() {}

  static List<Fault> all() {
    return List.of(
        new Fault("kill a proxy, start it again", HostFaults::killProxy),
        new Fault("kill a control host, start it again", HostFaults::killControl),
        new Fault("pause a control host, let it wake up", HostFaults::pauseControl),
        new Fault("wipe a control host's disk", HostFaults::wipeControl),
        new Fault("shut a proxy down in good order", HostFaults::stopProxy));
  }

  private static int someProxy(LocalSystem system, FaultContext context) {
    int control = system.plan().controlHosts();
    return control + context.number(system.plan().hosts() - control);
  }

  private static int someControl(LocalSystem system, FaultContext context) {
    return context.number(system.plan().controlHosts());
  }

  /** A proxy dies in the middle of requests and transactions. */
  private static void killProxy(LocalSystem system, FaultContext context) {
    killAndStart(system, context, someProxy(system, context));
  }

  /** A control host dies and returns from its disk. */
  private static void killControl(LocalSystem system, FaultContext context) {
    killAndStart(system, context, someControl(system, context));
  }

  private static void killAndStart(LocalSystem system, FaultContext context, int host) {
    system.killHost(host);
    context.last(SHORT);
    system.startHost(host);
  }

  /** A control host sits silent for a while and returns, believing that nothing changed. */
  private static void pauseControl(LocalSystem system, FaultContext context) {
    String host = LocalSystem.hostName(someControl(system, context));
    system.pause(host);
    context.last(LONG);
    system.resume(host);
  }

  /** A control host loses its disk. */
  private static void wipeControl(LocalSystem system, FaultContext context) {
    int host = someControl(system, context);
    system.killHost(host);
    system.deleteHostData(host);
    system.startHost(host);
  }

  /**
   * A proxy is asked to end while requests are in flight on it: each of them must get its answer. A
   * connection that was refused, or a request that was refused as not run, is no cut request.
   */
  private static void stopProxy(LocalSystem system, FaultContext context) {
    int host = someProxy(system, context);
    InetSocketAddress port = system.callerPorts().get(host);
    AtomicBoolean stopping = new AtomicBoolean();
    List<Thread> callers = new ArrayList<>();
    for (int caller = 0; caller < STOP_CALLERS; caller++) {
      callers.add(start(() -> callUntilRefused(system.http(), port, context, stopping)));
    }
    context.last(BEFORE_STOP);
    system.stopHost(host);
    stopping.set(true);
    callers.forEach(HostFaults::join);
    system.startHost(host);
  }

  private static void callUntilRefused(
      LocalHttp http, InetSocketAddress port, FaultContext context, AtomicBoolean stopping) {
    JsonNode read =
        Json.object().put("key", "warm-up-1").put("kind", "read").put("statement", "get");
    String path = "/v1/pools/" + LocalSystem.POOLS.get(0) + "/statements";
    while (!stopping.get()) {
      LocalHttp.PostResult sent = http.postDetectingRefusal(port, path, read);
      if (sent.refused()) {
        return;
      }
      context.gracefulShutdown.record(sent.response().isPresent());
    }
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task, "prove-caller");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }
}
