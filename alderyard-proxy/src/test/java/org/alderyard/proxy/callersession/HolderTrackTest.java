package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class HolderTrackTest {
  private final HolderTrack track = new HolderTrack(1);

  private int fill() {
    int sent = 0;
    while (!track.full()) {
      track.started();
      sent++;
    }
    return sent;
  }

  @Test
  void holderWithoutAnswersGetsFewStatementsAtTime() {
    assertThat(fill()).isEqualTo(4);
  }

  @Test
  void holderThatGivesNoAnswersGetsOneAtTimeInTheEnd() {
    for (int i = 0; i < 10; i++) {
      track.failed(i);
    }
    assertThat(fill()).isEqualTo(1);
  }

  @Test
  void holderThatAnswersGetsMoreWithTime() {
    for (int i = 0; i < 10_000; i++) {
      track.answered(i, 1_000_000, true);
    }
    assertThat(fill()).isEqualTo(64);
  }
}
