package org.alderyard.control.service;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.common.concurrent.WorkerPool;
import org.alderyard.common.time.MonotonicClock;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.view.ViewFollower;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Pattern: all hosts start at once and want the whole view. The leader made the same message anew
 * for each of them; with some hundred databases and cold code the last host had its view half a
 * second after the first, and its callers waited.
 */
class ViewSnapshotTest {
  private final WorkerPool workers = new WorkerPool("test", 1);
  private final FakeLog fakeLog = new FakeLog();
  private final ControlHost leader =
      new ControlHost("h1", fakeLog, MonotonicClock.system(), workers);

  @AfterEach
  void close() {
    workers.close();
  }

  @Test
  void hostsThatStartTogetherShareOneMessage() {
    fakeLog.lead(leader.log);
    leader.submit(1, ControlHost.group("g1", 2));

    FetchViewReply first = leader.fetch(ViewFollower.EMPTY);

    assertThat(leader.fetch(ViewFollower.EMPTY)).isSameInstanceAs(first);
  }

  @Test
  void laterViewMakesAnotherMessage() {
    fakeLog.lead(leader.log);
    leader.submit(1, ControlHost.group("g1", 2));
    final FetchViewReply first = leader.fetch(ViewFollower.EMPTY);
    leader.submit(2, ControlHost.group("g2", 2));

    FetchViewReply second = leader.fetch(ViewFollower.EMPTY);

    assertThat(second.getSnapshot().getVersion()).isNotEqualTo(first.getSnapshot().getVersion());
    assertThat(second.getSnapshot().getObjectsCount())
        .isEqualTo(first.getSnapshot().getObjectsCount() + 1);
  }
}
