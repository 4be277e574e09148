package org.alderyard.protocol.control;

import org.alderyard.protocol.generated.control.AnnounceReply;
import org.alderyard.protocol.generated.control.AnnounceRequest;
import org.alderyard.protocol.generated.control.ControlStatusReply;
import org.alderyard.protocol.generated.control.ControlStatusRequest;
import org.alderyard.protocol.generated.control.DrainHostReply;
import org.alderyard.protocol.generated.control.DrainHostRequest;
import org.alderyard.protocol.generated.control.FetchConfigurationReply;
import org.alderyard.protocol.generated.control.FetchConfigurationRequest;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.FetchViewRequest;
import org.alderyard.protocol.generated.control.FindControlHostsReply;
import org.alderyard.protocol.generated.control.FindControlHostsRequest;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.generated.control.ReplaceConfigurationReply;
import org.alderyard.protocol.generated.control.ReplaceConfigurationRequest;
import org.alderyard.protocol.generated.control.ReportPrimariesReply;
import org.alderyard.protocol.generated.control.ReportPrimariesRequest;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.SubmitTicketRequest;
import org.alderyard.protocol.generated.control.TicketStatusReply;
import org.alderyard.protocol.generated.control.TicketStatusRequest;
import org.alderyard.protocol.wire.Method;

/** The methods of the inner protocol that control hosts serve. */
public final class ControlMethods {
  /** Submits a ticket and returns its result once the ticket is committed. */
  public static final Method<SubmitTicketRequest, SubmitTicketReply> SUBMIT_TICKET =
      new Method<>(1, "submit-ticket", SubmitTicketRequest.parser(), SubmitTicketReply.parser());

  /** Returns the results of tickets and the number of hosts on which they are in force. */
  public static final Method<TicketStatusRequest, TicketStatusReply> TICKET_STATUS =
      new Method<>(2, "ticket-status", TicketStatusRequest.parser(), TicketStatusReply.parser());

  /** Forwards the announcements of backend servers. */
  public static final Method<AnnounceRequest, AnnounceReply> ANNOUNCE =
      new Method<>(3, "announce", AnnounceRequest.parser(), AnnounceReply.parser());

  /** Returns the changes of the view as soon as there are any. */
  public static final Method<FetchViewRequest, FetchViewReply> FETCH_VIEW =
      new Method<>(4, "fetch-view", FetchViewRequest.parser(), FetchViewReply.parser());

  /** Renews the lease of a host and reports the view version that the host acts on. */
  public static final Method<HeartbeatRequest, HeartbeatReply> HEARTBEAT =
      new Method<>(5, "heartbeat", HeartbeatRequest.parser(), HeartbeatReply.parser());

  /** Returns the leader and the view versions that the hosts have reached. */
  public static final Method<ControlStatusRequest, ControlStatusReply> STATUS =
      new Method<>(6, "status", ControlStatusRequest.parser(), ControlStatusReply.parser());

  /** Starts or ends the drain of a host. */
  public static final Method<DrainHostRequest, DrainHostReply> DRAIN_HOST =
      new Method<>(7, "drain-host", DrainHostRequest.parser(), DrainHostReply.parser());

  /**
   * Replaces the configuration of sessions; the reply is sent once the configuration is committed.
   */
  public static final Method<ReplaceConfigurationRequest, ReplaceConfigurationReply>
      REPLACE_CONFIGURATION =
          new Method<>(
              8,
              "replace-configuration",
              ReplaceConfigurationRequest.parser(),
              ReplaceConfigurationReply.parser());

  /** Returns the newest configuration of sessions, as confirmed by a quorum. */
  public static final Method<FetchConfigurationRequest, FetchConfigurationReply>
      FETCH_CONFIGURATION =
          new Method<>(
              9,
              "fetch-configuration",
              FetchConfigurationRequest.parser(),
              FetchConfigurationReply.parser());

  /** Returns the control hosts known to the receiving host; served by every host. */
  public static final Method<FindControlHostsRequest, FindControlHostsReply> FIND_CONTROL_HOSTS =
      new Method<>(
          10,
          "find-control-hosts",
          FindControlHostsRequest.parser(),
          FindControlHostsReply.parser());

  /** Receives a host's observations of the primaries to which it sends requests. */
  public static final Method<ReportPrimariesRequest, ReportPrimariesReply> REPORT_PRIMARIES =
      new Method<>(
          11, "report-primaries", ReportPrimariesRequest.parser(), ReportPrimariesReply.parser());

  private ControlMethods() {}
}
