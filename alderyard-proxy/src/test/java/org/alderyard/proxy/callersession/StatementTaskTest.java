package org.alderyard.proxy.callersession;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StatementTaskTest {
  // Guards against a forged or endless log line in the id of a caller's statement.
  @Test
  void loggedIdHoldsNoControlCharactersAndIsShort() {
    assertThat(StatementTask.loggedId("a\revent=x")).isEqualTo("a?event=x");
    assertThat(StatementTask.loggedId("x".repeat(100_000)).length()).isLessThan(100);
  }
}
