package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import java.io.IOException;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.HostId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.log.LogText;
import org.alderyard.control.log.EntryRefusedException;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.PromotionIntent;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.view.StateCodec;

/**
 * Checks whether a host can read a command: its names, addresses and numbers.
 *
 * <p>Leaders check each command before they append it, and every host checks it again when it is
 * applied, as the leader may run an earlier build. Hosts of different builds must refuse the same
 * commands. A stricter rule therefore belongs into the checks of requests, such as {@link
 * ConfigurationValidator}.
 */
final class CommandValidator {
  private static final int MAX_REASON_CHARS = 200;

  /**
   * Bounds the nesting of the unknown fields that a command takes over from a request. Parsers give
   * up at 100 levels, and a view encloses parts of a command in further messages.
   */
  private static final int MAX_NESTING = 32;

  private CommandValidator() {}

  /**
   * Parses a command that is not in the log yet.
   *
   * @throws EntryRefusedException if that is impossible, or a later reader might fail to parse it
   */
  static Command parse(ByteString bytes) {
    CodedInputStream input = bytes.newCodedInput();
    input.setRecursionLimit(MAX_NESTING);
    try {
      Command command = Command.parseFrom(input);
      input.checkLastTagWas(0);
      return command;
    } catch (IOException unreadable) {
      throw new EntryRefusedException(
          ErrorCode.BAD_REQUEST, "the command can't be parsed: " + unreadable.getMessage());
    }
  }

  /**
   * Checks a command.
   *
   * @throws RuntimeException if the command can't be read
   */
  static void check(Command command, FailoverHandler failovers) {
    switch (command.getCommandCase()) {
      case ANNOUNCEMENT -> StateCodec.server(command.getAnnouncement().getServer());
      case SERVER_EXPIRY -> new ServerId(command.getServerExpiry().getServer());
      case HOST_REGISTRATION -> StateCodec.host(command.getHostRegistration().getHost());
      case HOST_EXPIRY -> new HostId(command.getHostExpiry().getHost());
      case FAILOVER_STEP -> failovers.check(command.getFailoverStep());
      case REPLACE_CONFIGURATION -> checkConfiguration(command.getReplaceConfiguration());
      case PROMOTION_INTENT -> checkIntent(command.getPromotionIntent());
      case PROMOTION_WITHDRAWAL -> new GroupId(command.getPromotionWithdrawal().getGroup());
      case REPLICA_CAUGHT_UP -> new ServerId(command.getReplicaCaughtUp().getServer());
      case TICKET, DRAIN_HOST -> {
        // Answered with the faults of their objects.
      }
      default ->
          throw AlderyardException.notRun(
              ErrorCode.BAD_REQUEST, "the command is empty or of an unknown kind");
    }
  }

  private static void checkConfiguration(Configuration configuration) {
    if (configuration.getNumber() <= 0) {
      throw AlderyardException.notRun(
          ErrorCode.CONFIGURATION_INVALID,
          "configuration number is " + configuration.getNumber() + "; accepted is at least 1");
    }
    StateCodec.configuration(configuration);
  }

  private static void checkIntent(PromotionIntent intent) {
    new GroupId(intent.getGroup());
    new ServerId(intent.getServer());
  }

  /** Returns the refusal of a command for its proposer. */
  static EntryRefusedException refusal(Command command, RuntimeException reason) {
    ErrorCode code =
        switch (command.getCommandCase()) {
          case REPLACE_CONFIGURATION -> ErrorCode.CONFIGURATION_INVALID;
          case TICKET -> ErrorCode.TICKET_INVALID;
          default -> ErrorCode.BAD_REQUEST;
        };
    String message = reason.getMessage() == null ? reason.toString() : reason.getMessage();
    return new EntryRefusedException(code, LogText.sanitize(message, MAX_REASON_CHARS));
  }
}
