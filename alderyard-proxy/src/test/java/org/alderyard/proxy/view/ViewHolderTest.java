package org.alderyard.proxy.view;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.junit.jupiter.api.Test;

class ViewHolderTest {
  private static final long OTHER_THREAD_MILLIS = 100;

  private final ViewHolder views = new ViewHolder();

  private static View view(long number) {
    return View.EMPTY.edit().at(new ViewVersion(1, number));
  }

  /** Guards against a listener that is left with an older view when two replies arrive at once. */
  @Test
  void listenersSeeViewsInOrderDespiteConcurrentUpdates() throws Exception {
    List<Long> seen = Collections.synchronizedList(new ArrayList<>());
    Thread other = new Thread(() -> views.updateIfNewer(view(2)));
    views.onChange(
        view -> {
          if (view.version().version() == 1) {
            startAndAwait(other);
          }
        });
    views.onChange(view -> seen.add(view.version().version()));

    views.updateIfNewer(view(1));
    other.join();

    assertThat(seen).containsExactly(1L, 2L).inOrder();
  }

  private static void startAndAwait(Thread thread) {
    thread.start();
    try {
      thread.join(OTHER_THREAD_MILLIS);
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
  }
}
