package org.alderyard.benchmarks.sketch;

import java.nio.ByteBuffer;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.apache.datasketches.req.ReqSketch;
import org.apache.datasketches.req.ReqSketchBuilder;

/** Mergeable summary of the latencies of a proxy. */
interface TailSummary {

  void add(long micros);

  TailSummary mergedWith(List<TailSummary> others);

  long quantile(double rank);

  int serializedBytes();

  /** Histogram with a fixed number of significant digits. */
  final class HdrSummary implements TailSummary {
    private static final long HIGHEST_MICROS = 120_000_000;

    private final Histogram histogram;

    HdrSummary(int digits) {
      histogram = new Histogram(HIGHEST_MICROS, digits);
    }

    @Override
    public void add(long micros) {
      histogram.recordValue(Math.min(micros, HIGHEST_MICROS));
    }

    @Override
    public TailSummary mergedWith(List<TailSummary> others) {
      others.forEach(other -> histogram.add(((HdrSummary) other).histogram));
      return this;
    }

    @Override
    public long quantile(double rank) {
      return histogram.getValueAtPercentile(100 * rank);
    }

    @Override
    public int serializedBytes() {
      ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
      return histogram.encodeIntoCompressedByteBuffer(buffer);
    }
  }

  /** Relative-error quantile sketch with high-rank accuracy. */
  final class ReqSummary implements TailSummary {
    private final ReqSketch sketch;

    ReqSummary(int k) {
      sketch = new ReqSketchBuilder().setK(k).setHighRankAccuracy(true).build();
    }

    @Override
    public void add(long micros) {
      sketch.update(micros);
    }

    @Override
    public TailSummary mergedWith(List<TailSummary> others) {
      others.forEach(other -> sketch.merge(((ReqSummary) other).sketch));
      return this;
    }

    @Override
    public long quantile(double rank) {
      return (long) sketch.getQuantile(rank);
    }

    @Override
    public int serializedBytes() {
      return sketch.toByteArray().length;
    }
  }
}
