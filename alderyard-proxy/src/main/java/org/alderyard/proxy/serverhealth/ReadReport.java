package org.alderyard.proxy.serverhealth;

import java.util.concurrent.TimeUnit;
import org.alderyard.common.id.ServerFingerprint;
import org.alderyard.common.id.ServerId;

/**
 * Sums over the reads at one incarnation of a server, as hosts exchange them.
 *
 * @param server the fingerprint of the server's name and incarnation
 * @param answered reads that the server ran
 * @param failed reads that the server failed or did not answer
 * @param refused reads for which the server had no free slot
 * @param meanMicros mean response time of the answered reads, in microseconds
 * @param coldRemainingMillis how much longer the server stays slow after its start, by its own
 *     heartbeat; 0 if it does not say so
 */
public record ReadReport(
    int server, int answered, int failed, int refused, int meanMicros, int coldRemainingMillis) {

  /** Returns the key of an incarnation of a server. */
  public static int fingerprint(ServerId server, long incarnation) {
    return ServerFingerprint.of(server, incarnation);
  }

  static ReadReport of(ServerId server, long incarnation, ReadSums sums) {
    return new ReadReport(
        fingerprint(server, incarnation),
        (int) sums.answered(),
        (int) sums.failed(),
        (int) sums.refused(),
        (int) Math.min(Integer.MAX_VALUE, sums.meanMillis() * TimeUnit.MILLISECONDS.toMicros(1)),
        0);
  }

  ReadSums sums() {
    double meanMillis = meanMicros / (double) TimeUnit.MILLISECONDS.toMicros(1);
    return new ReadSums(answered, failed, refused, answered * meanMillis);
  }
}
