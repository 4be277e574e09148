package org.alderyard.cli.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.alderyard.cli.local.LocalHttp;
import org.alderyard.cli.local.LocalSystem;
import org.alderyard.common.http.Json;

/** Process and disk faults of hosts. */
final class HostFaults {
  private static final Duration DOWNTIME = Duration.ofMillis(2_500);
  private static final Duration PAUSE_DURATION = Duration.ofMillis(6_000);
  private static final Duration LOAD_BEFORE_STOP = Duration.ofMillis(500);
  private static final int CALLERS_DURING_STOP = 4;

  /** The time after which a successor counts, and a host with a lost disk counts again. */
  private static final Duration CATCH_UP = Duration.ofMillis(4_000);

  private static final int MAX_MILLIS_BEFORE_LOSS = 4_000;
  private static final Duration RECOVERY = Duration.ofSeconds(12);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

  private HostFaults() {}

  static List<Fault> all() {
    return List.of(
        new Fault("kill a proxy, start it again", HostFaults::killProxy),
        new Fault("kill a control host, start it again", HostFaults::killControl),
        new Fault("pause a control host, let it wake up", HostFaults::pauseControl),
        new Fault("wipe a control host's disk", HostFaults::wipeControl),
        new Fault("shut a proxy down in good order", HostFaults::stopProxy));
  }

  /** Returns the faults of systems whose control hosts can be replaced. */
  static List<Fault> replacements() {
    return List.of(
        Fault.alone(
            "replace a control host by SIGTERM, lose a disk",
            (system, context) -> replaceControl(system, context, true)),
        Fault.alone(
            "replace a control host by SIGKILL, lose a disk",
            (system, context) -> replaceControl(system, context, false)),
        Fault.alone(
            "replace a control host by SIGKILL, lose another one for good",
            HostFaults::loseHostAfterReplacement),
        Fault.alone(
            "replace a control host by SIGKILL after another one froze, lose a disk",
            HostFaults::loseDiskAfterFreezeAndReplacement));
  }

  private static int randomProxy(LocalSystem system, FaultContext context) {
    int control = system.plan().controlHosts();
    return control + context.nextInt(system.plan().hosts() - control);
  }

  private static int randomControlHost(LocalSystem system, FaultContext context) {
    return context.nextInt(system.plan().controlHosts());
  }

  /** Kills a proxy during requests and transactions, and restarts it. */
  private static void killProxy(LocalSystem system, FaultContext context) {
    killAndRestart(system, context, randomProxy(system, context));
  }

  /** Kills a control host and restarts it with its existing disk. */
  private static void killControl(LocalSystem system, FaultContext context) {
    killAndRestart(system, context, randomControlHost(system, context));
  }

  private static void killAndRestart(LocalSystem system, FaultContext context, int host) {
    system.killHost(host);
    context.sleep(DOWNTIME);
    system.startHost(host);
  }

  /** Suspends a control host, which resumes with outdated state. */
  private static void pauseControl(LocalSystem system, FaultContext context) {
    String host = system.hostName(randomControlHost(system, context));
    system.pause(host);
    context.sleep(PAUSE_DURATION);
    system.resume(host);
  }

  /**
   * Starts the successor of a control host, ends that host once the successor counts, and takes the
   * disk of another one up to 4 s later. The tickets must still be returned after that.
   */
  private static void replaceControl(LocalSystem system, FaultContext context, boolean graceful) {
    int replaced = randomControlHost(system, context);
    final int wiped = anotherControlHost(system, context, replaced);
    final Duration untilLoss = Duration.ofMillis(context.nextInt(MAX_MILLIS_BEFORE_LOSS));
    String former = system.startSuccessor(replaced);
    context.sleep(CATCH_UP);
    system.removeProcess(former, graceful);
    context.sleep(untilLoss);
    wipe(system, wiped);
    context.tickets.record(returnsTickets(system, context));
    context.sleep(CATCH_UP);
  }

  /**
   * Kills a control host whose successor counts, and another one up to 4 s later, for good. An
   * empty host takes its place. The tickets must still be returned after that.
   */
  private static void loseHostAfterReplacement(LocalSystem system, FaultContext context) {
    int replaced = randomControlHost(system, context);
    final int lost = anotherControlHost(system, context, replaced);
    final Duration untilLoss = Duration.ofMillis(context.nextInt(MAX_MILLIS_BEFORE_LOSS));
    String former = system.startSuccessor(replaced);
    context.sleep(CATCH_UP);
    system.removeProcess(former, false);
    context.sleep(untilLoss);
    system.removeProcess(system.hostName(lost), false);
    context.sleep(DOWNTIME);
    system.startSuccessor(lost);
    context.tickets.record(returnsTickets(system, context));
    context.sleep(CATCH_UP);
  }

  /**
   * Freezes a control host while the successor of another one counts. Once the frozen one counts
   * again, kills the replaced host and takes the disk of a third one up to 4 s later.
   */
  private static void loseDiskAfterFreezeAndReplacement(LocalSystem system, FaultContext context) {
    int replaced = randomControlHost(system, context);
    final int frozen = anotherControlHost(system, context, replaced);
    final int wiped = anotherControlHost(system, context, replaced, frozen);
    final Duration untilLoss = Duration.ofMillis(context.nextInt(MAX_MILLIS_BEFORE_LOSS));
    final String former = system.startSuccessor(replaced);
    context.sleep(CATCH_UP);
    system.pause(system.hostName(frozen));
    context.sleep(DOWNTIME);
    system.resume(system.hostName(frozen));
    context.sleep(CATCH_UP);
    system.removeProcess(former, false);
    context.sleep(untilLoss);
    wipe(system, wiped);
    context.tickets.record(returnsTickets(system, context));
    context.sleep(CATCH_UP);
  }

  private static int anotherControlHost(
      LocalSystem system, FaultContext context, Integer... excluded) {
    List<Integer> others =
        IntStream.range(0, system.plan().controlHosts())
            .filter(host -> !List.of(excluded).contains(host))
            .boxed()
            .toList();
    return context.choose(others);
  }

  private static boolean returnsTickets(LocalSystem system, FaultContext context) {
    long endMillis = context.nowMillis() + RECOVERY.toMillis();
    while (context.nowMillis() < endMillis) {
      for (InetSocketAddress port : system.operatorPorts()) {
        if (system.http().get(port, "/v1/tickets/1").isPresent()) {
          return true;
        }
      }
      context.sleep(POLL_INTERVAL);
    }
    return false;
  }

  /** Kills a control host and restarts it with an empty disk. */
  private static void wipeControl(LocalSystem system, FaultContext context) {
    wipe(system, randomControlHost(system, context));
  }

  private static void wipe(LocalSystem system, int host) {
    system.killHost(host);
    system.deleteHostData(host);
    system.startHost(host);
  }

  /**
   * Shuts a proxy down while it has requests in flight, each of which must receive a response. A
   * refused connection and a request refused as not run don't count as violations.
   */
  private static void stopProxy(LocalSystem system, FaultContext context) {
    int host = randomProxy(system, context);
    InetSocketAddress port = system.callerPorts().get(host);
    AtomicBoolean stopping = new AtomicBoolean();
    List<Thread> callers = new ArrayList<>();
    for (int caller = 0; caller < CALLERS_DURING_STOP; caller++) {
      callers.add(start(() -> callUntilRefused(system.http(), port, context, stopping)));
    }
    context.sleep(LOAD_BEFORE_STOP);
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
      LocalHttp.PostResult result = http.postDetectingRefusal(port, path, read);
      if (result.refused()) {
        return;
      }
      context.gracefulShutdown.record(result.response().isPresent());
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
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
