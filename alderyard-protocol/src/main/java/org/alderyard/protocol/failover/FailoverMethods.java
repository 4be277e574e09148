package org.alderyard.protocol.failover;

import org.alderyard.protocol.generated.failover.HandOverReply;
import org.alderyard.protocol.generated.failover.HandOverRequest;
import org.alderyard.protocol.generated.failover.WatchReport;
import org.alderyard.protocol.generated.failover.WatchReportReply;
import org.alderyard.protocol.wire.Method;

/** The methods of failover, all served by the control host that leads. */
public final class FailoverMethods {
  /** Replaces all that one host suspects. */
  public static final Method<WatchReport, WatchReportReply> WATCH_REPORT =
      new Method<>(300, "watch-report", WatchReport.parser(), WatchReportReply.parser());

  /** Starts a planned hand-over of a group. */
  public static final Method<HandOverRequest, HandOverReply> HAND_OVER =
      new Method<>(301, "hand-over", HandOverRequest.parser(), HandOverReply.parser());

  private FailoverMethods() {}
}
