package org.alderyard.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;

/**
 * The callers' port, opened by the first lines of the program.
 *
 * <p>Guards against callers who use up their few tries while a host starts: after a loss of power
 * on all hosts a port was there only once settings, log and libraries were loaded, which is half of
 * the time until the first view. Now callers wait in the system's queue, as they wait for the view.
 *
 * @param channel the port
 * @param address where it listens, as asked for
 */
record EarlyPort(ServerSocketChannel channel, InetSocketAddress address) {
  /** The option of the command line that names the address. */
  static final String OPTION = "listen";

  private static final String ARGUMENT = "--" + OPTION;

  /** Connections that wait to be taken; a herd of callers that reconnects comes within a second. */
  private static final int BACKLOG = 1_024;

  /**
   * Opens the port that the command line names.
   *
   * @return empty if it names none, or one that can't be opened; the port of the settings is opened
   *     in its turn then, and tells what is wrong
   */
  static Optional<EarlyPort> open(String[] args) {
    for (int i = 0; i + 1 < args.length; i++) {
      if (args[i].equals(ARGUMENT)) {
        return open(args[i + 1]);
      }
    }
    return Optional.empty();
  }

  private static Optional<EarlyPort> open(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1 || !text.substring(0, colon).matches("[0-9a-fA-F.:]+")) {
      return Optional.empty();
    }
    try {
      InetSocketAddress address =
          new InetSocketAddress(
              InetAddress.getByName(text.substring(0, colon)),
              Integer.parseInt(text.substring(colon + 1)));
      ServerSocketChannel channel = ServerSocketChannel.open();
      try {
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, BACKLOG);
        return Optional.of(new EarlyPort(channel, address));
      } catch (IOException taken) {
        channel.close();
        return Optional.empty();
      }
    } catch (IOException | IllegalArgumentException unusable) {
      return Optional.empty();
    }
  }

  /** Checks that the settings name the same address. */
  void check(DaemonSettings settings) {
    if (!address.equals(settings.callerAddress()) || settings.sessions().isEmpty()) {
      throw AlderyardException.notRun(
          ErrorCode.SETTINGS_INVALID,
          ARGUMENT
              + " "
              + address
              + ": accepted is the caller-address of a host with sessions, which is "
              + settings.callerAddress());
    }
  }
}
