package org.alderyard.proxy.api;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;
import org.alderyard.common.id.PoolName;
import org.junit.jupiter.api.Test;

/**
 * Guards against numbers that are cut to fewer bits, and values of another type that count as 0.
 */
class OddRequestsTest {
  private static final String STATEMENT =
      "{\"key\":\"k\",\"kind\":\"read\",\"statement\":\"s\",\"deadlineMillis\":100,"
          + "\"freshness\":{\"mode\":\"any\"}}";
  private static final String ANNOUNCEMENT =
      "{\"server\":\"s1\",\"incarnation\":5,\"group\":\"g1\",\"zone\":\"z\",\"term\":3,"
          + "\"address\":\"10.0.0.1\",\"port\":80,\"leaving\":false,\"leaseMillis\":1500}";

  private static JsonNode json(String text) {
    return Json.parseObject(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void refusesOddStatements() {
    for (String odd :
        List.of(
            STATEMENT.replace("100", "18446744073709556616"),
            STATEMENT.replace("100", "1.5"),
            STATEMENT.replace("\"any\"", "5"),
            STATEMENT.replace("\"any\"", "[]"))) {
      AlderyardException refused =
          assertThrows(
              AlderyardException.class,
              () ->
                  StatementJson.request(
                      new PoolName("p"), json(odd), Optional.empty(), Optional.empty()));
      assertThat(refused.code()).isEqualTo(ErrorCode.BAD_REQUEST);
    }
  }

  @Test
  void refusesOddAnnouncements() {
    for (String odd :
        List.of(
            ANNOUNCEMENT.replace("80", "4294967376"),
            ANNOUNCEMENT.replace("80", "0"),
            ANNOUNCEMENT.replace("\"10.0.0.1\"", "\"face.cafe\""),
            ANNOUNCEMENT.replace(":5,", ":18446744073709551621,"),
            ANNOUNCEMENT.replace(":5,", ":\"5\","),
            ANNOUNCEMENT.replace("1500", "-1"),
            ANNOUNCEMENT.replace("false", "\"no\""),
            ANNOUNCEMENT.replace("\"term\":3", "\"term\":[]"))) {
      AlderyardException refused =
          assertThrows(AlderyardException.class, () -> AnnouncementHandler.parse(json(odd)));
      assertThat(refused.code()).isEqualTo(ErrorCode.BAD_REQUEST);
    }
  }

  @Test
  void acceptsValidRequests() {
    assertThat(
            StatementJson.request(
                    new PoolName("p"), json(STATEMENT), Optional.empty(), Optional.empty())
                .timeout()
                .toMillis())
        .isEqualTo(100);
    assertThat(AnnouncementHandler.parse(json(ANNOUNCEMENT)).getLeaseMillis()).isEqualTo(1_500);
    String ipv6 = ANNOUNCEMENT.replace("10.0.0.1", "::1");
    assertThat(AnnouncementHandler.parse(json(ipv6)).getServer().getAddress().getPort())
        .isEqualTo(80);
  }
}
