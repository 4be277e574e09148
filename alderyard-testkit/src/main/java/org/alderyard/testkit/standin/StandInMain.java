package org.alderyard.testkit.standin;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.id.ZoneName;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs a stand-in server in a separate process. */
public final class StandInMain {
  private static final String DEFAULT_LEASE_MILLIS = "1500";
  private static final String DEFAULT_SLOTS = "5";
  private static final int MAX_QUEUED = 64;

  private StandInMain() {}

  /** Starts the server and blocks until the process is terminated. */
  public static void main(String[] args) throws ParseException, InterruptedException {
    CommandLine line = new DefaultParser().parse(options(), args);
    StandInServer server =
        new StandInServer(
            new StandInOptions(
                new ServerId(line.getOptionValue("server")),
                Long.parseLong(line.getOptionValue("incarnation", "1")),
                new GroupId(line.getOptionValue("group")),
                new ZoneName(line.getOptionValue("zone")),
                address(line.getOptionValue("listen")),
                Optional.ofNullable(line.getOptionValue("announce")).map(StandInMain::address),
                Integer.parseInt(line.getOptionValue("slots", DEFAULT_SLOTS)),
                MAX_QUEUED,
                line.hasOption("primary"),
                Optional.ofNullable(line.getOptionValue("follow")).map(StandInMain::address),
                line.hasOption("ledger"),
                Optional.ofNullable(line.getOptionValue("data")).map(Path::of),
                addresses(line.getOptionValue("entry-hosts")),
                Long.parseLong(line.getOptionValue("lease-millis", DEFAULT_LEASE_MILLIS))));
    server.switches().shipLagMillis = Long.parseLong(line.getOptionValue("ship-lag-millis", "0"));
    server.switches().applyLagMillis = Long.parseLong(line.getOptionValue("apply-lag-millis", "0"));
    new CountDownLatch(1).await();
  }

  private static Options options() {
    Options options = new Options();
    for (String required : List.of("server", "group", "zone", "listen", "entry-hosts")) {
      options.addOption(Option.builder().longOpt(required).hasArg().required().get());
    }
    for (String valued :
        List.of(
            "incarnation",
            "announce",
            "slots",
            "follow",
            "data",
            "lease-millis",
            "ship-lag-millis",
            "apply-lag-millis")) {
      options.addOption(Option.builder().longOpt(valued).hasArg().get());
    }
    options.addOption(Option.builder().longOpt("primary").get());
    options.addOption(Option.builder().longOpt("ledger").get());
    return options;
  }

  private static InetSocketAddress address(String value) {
    int colon = value.lastIndexOf(':');
    return new InetSocketAddress(
        value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
  }

  private static List<InetSocketAddress> addresses(String value) {
    return Arrays.stream(value.split(",")).map(StandInMain::address).toList();
  }
}
