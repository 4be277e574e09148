package org.alderyard.common.id;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AddressesTest {
  @Test
  void addressIsReadFromItsText() {
    assertThat(Addresses.parse("10.0.0.1:7000").map(Addresses::text)).hasValue("10.0.0.1:7000");
  }

  /** Guards against a host that looks up a name which another host sent as the leader's address. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        ":7000",
        "leader:7000",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:-1",
        "10.0.0.1:70000"
      })
  void textWithoutIpNumberOrPortIsNoAddress(String text) {
    assertThat(Addresses.parse(text)).isEmpty();
  }
}
