package org.alderyard.control.state;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Database;
import org.alderyard.protocol.generated.state.GroupLimits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The names in a configuration: what no host can carry out is refused, and nothing else. */
class ConfigurationNamesTest {
  private static final String LONG_NAME =
      "a1234567890123456789012345678901234567890123456789012345678901234"
          + "a234567890123456789012345678901234567890123456789012345678901234";

  private static Configuration configuration(String group, String database) {
    return Configuration.newBuilder()
        .setNumber(1)
        .addGroups(GroupLimits.newBuilder().setId(group).setConnectionsPerServer(40))
        .addDatabases(
            Database.newBuilder().setName(database).setGroup(group).setStatementTimeoutMillis(800))
        .build();
  }

  private static void assertRefused(Configuration configuration) {
    AlderyardException refusal =
        assertThrows(AlderyardException.class, () -> ConfigurationValidator.check(configuration));
    assertThat(refusal.code()).isEqualTo(ErrorCode.CONFIGURATION_INVALID);
  }

  /** Guards against a service name in the log at which each control host ends. */
  @ParameterizedTest
  @ValueSource(strings = {"", "a b", "a/b", "a\nb", "ä", LONG_NAME})
  void groupWithOddNameIsRefused(String group) {
    assertRefused(configuration(group, "db1"));
  }

  /** Guards against a database that no caller can open, as its name is not one word of a line. */
  @ParameterizedTest
  @ValueSource(strings = {"", " ", "a b", "a\r\nb", "a\nb"})
  void databaseWithOddNameIsRefused(String database) {
    assertRefused(configuration("g1", database));
  }

  /** Guards against the refusal of a valid configuration. */
  @ParameterizedTest
  @ValueSource(strings = {"fiti832ti23", "orders.eu:1", "größe", "a/b", "a\tb", LONG_NAME})
  void databaseWithUnusualNameIsAccepted(String database) {
    Configuration configuration = configuration("huvo11a", database);
    ConfigurationValidator.check(configuration);

    ControlState state = new ControlState(change -> {});
    state.apply(
        1, Command.newBuilder().setReplaceConfiguration(configuration).build().toByteString());
    assertThat(state.view().configuration().get().database(database)).isPresent();
  }
}
