package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.protocol.generated.state.Configuration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a configuration that is too large for the log and is resent forever. The host that
 * receives it must reject it, because a failure at the control host is not taken as a final
 * refusal.
 */
class ConfigurationSizeTest {
  private static Configuration configurationWithSource(int bytes) {
    return Configuration.newBuilder()
        .setNumber(1)
        .setSource(ByteString.copyFrom(new byte[bytes]))
        .build();
  }

  @Test
  void largestConfigurationIsAccepted() {
    int overhead =
        configurationWithSource(ConfigurationValidator.MAX_BYTES).getSerializedSize()
            - ConfigurationValidator.MAX_BYTES;

    ConfigurationValidator.check(
        configurationWithSource(ConfigurationValidator.MAX_BYTES - overhead));
  }

  @Test
  void largerConfigurationIsRejectedByReceiver() {
    AlderyardException refusal =
        assertThrows(
            AlderyardException.class,
            () ->
                ConfigurationValidator.check(
                    configurationWithSource(ConfigurationValidator.MAX_BYTES)));

    assertThat(refusal.code()).isEqualTo(ErrorCode.REQUEST_TOO_LARGE);
  }
}
