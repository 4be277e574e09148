package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the loop of the log when steps or the executor fail. */
class SerialLoopTest {
  private final List<Throwable> failures = new ArrayList<>();
  private final List<String> ran = new ArrayList<>();
  private boolean heapIsFull;
  private final SerialLoop loop = new SerialLoop(this::execute, () -> {}, failures::add);

  private void execute(Runnable task) {
    if (heapIsFull) {
      throw new Error("no task object");
    }
    task.run();
  }

  /** Guards against a loop that stands still after a step has failed with an error. */
  @Test
  void stepAfterErrorRuns() {
    Error error = new Error("in a step");
    loop.submit(
        () -> {
          throw error;
        });

    loop.submit(() -> ran.add("next"));

    assertThat(failures).containsExactly(error);
    assertThat(ran).containsExactly("next");
  }

  /** Guards against a loop that stands still after the executor could not take a batch. */
  @Test
  void stepsRunOnceExecutorAcceptsTasksAgain() {
    heapIsFull = true;
    assertThrows(Error.class, () -> loop.submit(() -> ran.add("first")));
    heapIsFull = false;

    loop.submit(() -> ran.add("second"));

    assertThat(ran).containsExactly("first", "second").inOrder();
  }

  /** Guards against a loop that stands still when the failure handler itself fails. */
  @Test
  void stepAfterFailureOfHandlerRuns() {
    SerialLoop fragile =
        new SerialLoop(
            this::execute,
            () -> {},
            failure -> {
              throw new IllegalStateException(failure);
            });
    assertThrows(
        IllegalStateException.class,
        () ->
            fragile.submit(
                () -> {
                  throw new Error("in a step");
                }));

    fragile.submit(() -> ran.add("next"));

    assertThat(ran).containsExactly("next");
  }

  /** Guards against two batches at the same time: a step that is running must end first. */
  @Test
  void stepFromExecutorWaitsForRunningBatch() {
    List<String> order = new ArrayList<>();
    loop.submitOnExecutor(
        () -> {
          loop.submitOnExecutor(() -> order.add("second"));
          order.add("first");
        });

    assertThat(order).containsExactly("first", "second").inOrder();
  }
}
