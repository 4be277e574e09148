package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.protocol.generated.state.Configuration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a change that is too large for the log and is sent again for ever: the host that
 * takes it must say so itself, since what a control host fails with refuses nothing.
 */
class ConfigurationSizeTest {
  private static Configuration withText(int bytes) {
    return Configuration.newBuilder()
        .setNumber(1)
        .setSource(ByteString.copyFrom(new byte[bytes]))
        .build();
  }

  @Test
  void largestConfigurationIsTaken() {
    int overhead =
        withText(ConfigurationRules.MAX_BYTES).getSerializedSize() - ConfigurationRules.MAX_BYTES;

    ConfigurationRules.check(withText(ConfigurationRules.MAX_BYTES - overhead));
  }

  @Test
  void largerOneIsRefusedWhereItIsTaken() {
    AlderyardException refusal =
        assertThrows(
            AlderyardException.class,
            () -> ConfigurationRules.check(withText(ConfigurationRules.MAX_BYTES)));

    assertThat(refusal.code()).isEqualTo(ErrorCode.REQUEST_TOO_LARGE);
  }
}
