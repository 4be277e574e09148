package org.alderyard.protocol.failover;

import org.alderyard.protocol.generated.failover.HandOverReply;
import org.alderyard.protocol.generated.failover.HandOverRequest;
import org.alderyard.protocol.generated.failover.WatchReport;
import org.alderyard.protocol.generated.failover.WatchReportReply;
import org.alderyard.protocol.wire.Method;

/** The methods of failover, which the leading control host serves. */
public final class FailoverMethods {
  /** Replaces the set of primaries that a host suspects of failure. */
  public static final Method<WatchReport, WatchReportReply> WATCH_REPORT =
      new Method<>(300, "watch-report", WatchReport.parser(), WatchReportReply.parser());

  /** Starts a planned hand-over of a group to another primary. */
  public static final Method<HandOverRequest, HandOverReply> HAND_OVER =
      new Method<>(301, "hand-over", HandOverRequest.parser(), HandOverReply.parser());

  private FailoverMethods() {}
}
