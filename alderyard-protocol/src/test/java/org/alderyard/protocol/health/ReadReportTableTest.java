package org.alderyard.protocol.health;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.generated.control.ServerReads;
import org.junit.jupiter.api.Test;

class ReadReportTableTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final ReadReportTable table = new ReadReportTable();

  private static ServerReads reads(int server, int answered, int failed, int meanMicros) {
    return ServerReads.newBuilder()
        .setServer(server)
        .setAnswered(answered)
        .setFailed(failed)
        .setMeanMicros(meanMicros)
        .build();
  }

  /** Guards against reports that use a host's link: less than 1 KB/s with the largest values. */
  @Test
  void largestExchangeStaysBelowOneKilobytePerSecond() {
    List<ServerReads> largest =
        IntStream.range(0, 100)
            .mapToObj(
                server ->
                    reads(-1 - server, -1, -1, -1).toBuilder()
                        .setRefused(-1)
                        .setColdRemainingMillis(-1)
                        .build())
            .toList();
    int request =
        HeartbeatRequest.newBuilder()
            .setWantsReads(true)
            .addAllReads(ReadReportLimits.bounded(largest, ReadReportLimits.MAX_REPORTED_SERVERS))
            .build()
            .getSerializedSize();
    int reply =
        HeartbeatReply.newBuilder()
            .setHasReads(true)
            .addAllReads(ReadReportLimits.bounded(largest, ReadReportLimits.MAX_REPLIED_SERVERS))
            .build()
            .getSerializedSize();

    double exchangesPerSecond =
        TimeUnit.SECONDS.toNanos(1) / (double) ReadReportLimits.MIN_EXCHANGE_NANOS;
    assertThat((request + reply) * exchangesPerSecond).isLessThan(1_000.0);
  }

  /** Guards against observations that count twice, for a host or in two replies. */
  @Test
  void hostGetsSumsOfOthersSinceItsLastExchange() {
    table.exchange("a", List.of(), 0);
    table.exchange("b", List.of(reads(7, 10, 1, 20_000)), MILLI);
    table.exchange("c", List.of(reads(7, 30, 2, 40_000)), 2 * MILLI);

    assertThat(table.exchange("a", List.of(reads(7, 5, 0, 1)), 3 * MILLI))
        .containsExactly(reads(7, 40, 3, 35_000));
    assertThat(table.exchange("a", List.of(), 4 * MILLI)).isEmpty();
    assertThat(table.exchange("b", List.of(), 5 * MILLI))
        .containsExactly(reads(7, 35, 2, (30 * 40_000 + 5) / 35));
  }

  /** Guards against decisions on reports of hosts that died. */
  @Test
  void reportsExpire() {
    table.exchange("b", List.of(reads(7, 10, 1, 20_000)), 0);
    assertThat(table.exchange("a", List.of(), 1_500 * MILLI)).isEmpty();
  }

  /** Guards against a server that stays cold for hosts once its announcements stop. */
  @Test
  void coldTimeOfServerRunsOut() {
    table.recordCold(7, 2_000, 0);
    assertThat(table.exchange("a", List.of(), 500 * MILLI).get(0).getColdRemainingMillis())
        .isEqualTo(1_500);
    assertThat(table.exchange("a", List.of(), 2_000 * MILLI)).isEmpty();
  }

  /** Guards against a failing server that busy ones crowd out of a bounded report. */
  @Test
  void failingServersAreReportedFirst() {
    List<ServerReads> all =
        IntStream.range(0, 40).mapToObj(i -> reads(i, 100 + i, i == 3 ? 1 : 0, 1)).toList();
    List<ServerReads> bounded =
        ReadReportLimits.bounded(all, ReadReportLimits.MAX_REPORTED_SERVERS);
    assertThat(bounded).hasSize(ReadReportLimits.MAX_REPORTED_SERVERS);
    assertThat(bounded.get(0).getServer()).isEqualTo(3);
  }
}
