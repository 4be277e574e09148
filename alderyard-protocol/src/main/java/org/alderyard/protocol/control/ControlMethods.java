package org.alderyard.protocol.control;

import org.alderyard.protocol.generated.control.AnnounceReply;
import org.alderyard.protocol.generated.control.AnnounceRequest;
import org.alderyard.protocol.generated.control.ControlStatusReply;
import org.alderyard.protocol.generated.control.ControlStatusRequest;
import org.alderyard.protocol.generated.control.DrainHostReply;
import org.alderyard.protocol.generated.control.DrainHostRequest;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.FetchViewRequest;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.SubmitTicketRequest;
import org.alderyard.protocol.generated.control.TicketStatusReply;
import org.alderyard.protocol.generated.control.TicketStatusRequest;
import org.alderyard.protocol.wire.Method;

/** The methods that control hosts serve. */
public final class ControlMethods {
  /** Orders a ticket and returns its answer once it is committed. */
  public static final Method<SubmitTicketRequest, SubmitTicketReply> SUBMIT_TICKET =
      new Method<>(1, "submit-ticket", SubmitTicketRequest.parser(), SubmitTicketReply.parser());

  /** Returns the answers of tickets and on how many hosts they are in force. */
  public static final Method<TicketStatusRequest, TicketStatusReply> TICKET_STATUS =
      new Method<>(2, "ticket-status", TicketStatusRequest.parser(), TicketStatusReply.parser());

  /** Passes on the announcements of backend servers. */
  public static final Method<AnnounceRequest, AnnounceReply> ANNOUNCE =
      new Method<>(3, "announce", AnnounceRequest.parser(), AnnounceReply.parser());

  /** Returns what changed in the view, as soon as something did. */
  public static final Method<FetchViewRequest, FetchViewReply> FETCH_VIEW =
      new Method<>(4, "fetch-view", FetchViewRequest.parser(), FetchViewReply.parser());

  /** Renews the lease of a host, and tells which version it acts on. */
  public static final Method<HeartbeatRequest, HeartbeatReply> HEARTBEAT =
      new Method<>(5, "heartbeat", HeartbeatRequest.parser(), HeartbeatReply.parser());

  /** Returns who leads and how far the hosts have followed. */
  public static final Method<ControlStatusRequest, ControlStatusReply> STATUS =
      new Method<>(6, "status", ControlStatusRequest.parser(), ControlStatusReply.parser());

  /** Starts or ends the drain of a host. */
  public static final Method<DrainHostRequest, DrainHostReply> DRAIN_HOST =
      new Method<>(7, "drain-host", DrainHostRequest.parser(), DrainHostReply.parser());

  private ControlMethods() {}
}
