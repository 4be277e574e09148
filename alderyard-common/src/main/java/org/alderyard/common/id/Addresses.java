package org.alderyard.common.id;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/** The text form of addresses, an IP number with a port such as {@code 10.0.0.1:7000}. */
public final class Addresses {
  private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|[0-9A-Fa-f:]+");
  private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /** Returns the text form of a resolved address. */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Returns the address; empty if the text is not an IP number with a port. */
  public static Optional<InetSocketAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return Optional.empty();
    }
    String host = text.substring(0, colon).replaceAll("^\\[|]$", "");
    String port = text.substring(colon + 1);
    if (!IP_ADDRESS.matcher(host).matches()
        || !PORT.matcher(port).matches()
        || Integer.parseInt(port) > MAX_PORT) {
      return Optional.empty();
    }
    try {
      // The pattern accepts IP numbers only, so getByName does not query DNS.
      return Optional.of(
          new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port)));
    } catch (UnknownHostException invalidAddress) {
      return Optional.empty();
    }
  }
}
