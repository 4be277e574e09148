package org.alderyard.control.state;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.alderyard.protocol.generated.control.Announcement;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.DrainHostRequest;
import org.alderyard.protocol.generated.control.HostExpiry;
import org.alderyard.protocol.generated.control.HostRegistration;
import org.alderyard.protocol.generated.control.PromotionIntent;
import org.alderyard.protocol.generated.control.PromotionWithdrawal;
import org.alderyard.protocol.generated.control.ReplicaCaughtUp;
import org.alderyard.protocol.generated.control.ServerExpiry;
import org.alderyard.protocol.generated.failover.ChooseStep;
import org.alderyard.protocol.generated.failover.FailoverStepEntry;
import org.alderyard.protocol.generated.failover.GrantStep;
import org.alderyard.protocol.generated.failover.PublishStep;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Database;
import org.alderyard.protocol.generated.state.Endpoint;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.GroupLimits;
import org.alderyard.protocol.generated.state.Host;
import org.alderyard.protocol.generated.state.HostPolicy;
import org.alderyard.protocol.generated.state.Key;
import org.alderyard.protocol.generated.state.KeyRing;
import org.alderyard.protocol.generated.state.ObjectState;
import org.alderyard.protocol.generated.state.Organisation;
import org.alderyard.protocol.generated.state.OrganisationQuota;
import org.alderyard.protocol.generated.state.Pool;
import org.alderyard.protocol.generated.state.Server;

/**
 * Random commands of all kinds. Most parts are usual; the others are odd names, extreme numbers,
 * empty messages and changed bytes. Addresses are IP numbers, so that no command queries DNS.
 */
final class CommandFuzzer {
  private static final List<String> ODD_NAMES =
      List.of("", "a b", "a\nb", "a/b", "ä", "x".repeat(128), "x".repeat(129), "\u0000", "-");
  private static final long[] EXTREMES = {
    0, 1, -1, Integer.MAX_VALUE, Integer.MIN_VALUE, Long.MAX_VALUE, Long.MIN_VALUE, 1L << 32
  };
  private static final int ODD_ENUM_VALUE = 77;
  private static final int SECRET_BYTES = 16;

  private final Random random;

  CommandFuzzer(Random random) {
    this.random = random;
  }

  /** Returns the bytes of the next command, which seldom can't be parsed. */
  ByteString next() {
    if (oneIn(200)) {
      return randomBytes();
    }
    Command command = command();
    if (!oneIn(10)) {
      return command.toByteString();
    }
    return mutated(command);
  }

  private ByteString randomBytes() {
    byte[] bytes = new byte[random.nextInt(40)];
    random.nextBytes(bytes);
    return ByteString.copyFrom(bytes);
  }

  /** Changes some bytes; keeps the command if an address changes, which could query DNS. */
  private ByteString mutated(Command command) {
    byte[] bytes = command.toByteArray();
    for (int i = 0; i <= random.nextInt(3) && bytes.length > 0; i++) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
    }
    try {
      Command changed = Command.parseFrom(bytes);
      boolean sameAddresses =
          sameHost(
                  changed.getAnnouncement().getServer().getAddress(),
                  command.getAnnouncement().getServer().getAddress())
              && sameHost(
                  changed.getHostRegistration().getHost().getInnerAddress(),
                  command.getHostRegistration().getHost().getInnerAddress())
              && sameHost(
                  changed.getHostRegistration().getHost().getCallerAddress(),
                  command.getHostRegistration().getHost().getCallerAddress());
      return sameAddresses ? ByteString.copyFrom(bytes) : command.toByteString();
    } catch (InvalidProtocolBufferException unreadable) {
      return oneIn(10) ? ByteString.copyFrom(bytes) : command.toByteString();
    }
  }

  private static boolean sameHost(Endpoint changed, Endpoint original) {
    return changed.getAddress().equals(original.getAddress());
  }

  private Command command() {
    Command.Builder command = Command.newBuilder().setProposedAtMillis(number());
    switch (random.nextInt(13)) {
      case 0 -> command.setTicket(TicketObjects.ticket(number(), some(this::object)));
      case 1, 2 -> command.setAnnouncement(announcement());
      case 3 ->
          command.setServerExpiry(
              ServerExpiry.newBuilder()
                  .setServer(name("s"))
                  .setIncarnation(number())
                  .setSaidGoodbye(flag()));
      case 4 -> command.setHostRegistration(HostRegistration.newBuilder().setHost(host()));
      case 5 ->
          command.setHostExpiry(
              HostExpiry.newBuilder().setHost(name("h")).setIncarnation(number()));
      case 6 ->
          command.setDrainHost(
              DrainHostRequest.newBuilder().setHost(name("h")).setDraining(flag()));
      case 7 -> command.setFailoverStep(oneIn(10) ? randomBytes() : step().toByteString());
      case 8, 9 -> command.setReplaceConfiguration(configuration());
      case 10 ->
          command.setPromotionIntent(
              PromotionIntent.newBuilder()
                  .setGroup(name("g"))
                  .setServer(name("s"))
                  .setHolder(name("h")));
      case 11 ->
          command.setPromotionWithdrawal(
              PromotionWithdrawal.newBuilder().setGroup(name("g")).setFencingToken(number()));
      default ->
          command.setReplicaCaughtUp(
              ReplicaCaughtUp.newBuilder().setServer(name("s")).setIncarnation(number()));
    }
    return oneIn(100) ? command.clearCommand().build() : command.build();
  }

  private Announcement announcement() {
    return Announcement.newBuilder()
        .setServer(server())
        .setLeaving(oneIn(5))
        .setLeaseMillis((int) number())
        .setTerm(number())
        .setPrimary(flag())
        .setReportsRole(flag())
        .setSequence(number())
        .build();
  }

  private Server server() {
    return Server.newBuilder()
        .setId(name("s"))
        .setIncarnation(number())
        .setGroup(name("g"))
        .setZone(name("z"))
        .setAddress(address())
        .setStatusValue(enumValue(4))
        .build();
  }

  private Host host() {
    return Host.newBuilder()
        .setId(name("h"))
        .setIncarnation(number())
        .setZone(name("z"))
        .setInnerAddress(address())
        .setCallerAddress(address())
        .setProxy(flag())
        .setControl(flag())
        .setDraining(flag())
        .build();
  }

  private Endpoint address() {
    return Endpoint.newBuilder()
        .setAddress(oneIn(4) ? "0:0:0:0:0:0:0:1" : "10.0.0." + random.nextInt(3))
        .setPort(oneIn(20) ? (int) extreme() : 7_000 + random.nextInt(3))
        .build();
  }

  private Configuration configuration() {
    Configuration.Builder configuration =
        Configuration.newBuilder()
            .setNumber(number())
            .setTransactionIdleMillis((int) number())
            .setSessionIdleMillis((int) number())
            .setSource(randomBytes())
            .setContentHash(randomBytes())
            .setRequiresKeys(flag());
    some(() -> GroupLimits.newBuilder().setId(name("g")).setConnectionsPerServer((int) number()))
        .forEach(
            group -> configuration.addGroups(group.setSyncReplicas(oneIn(2) ? 1 : (int) number())));
    some(this::database).forEach(configuration::addDatabases);
    some(this::organisation).forEach(configuration::addOrganisations);
    return configuration.build();
  }

  private Database database() {
    return Database.newBuilder()
        .setName(name("d"))
        .setScope(name("p"))
        .setGroup(name("g"))
        .setReadsValue(enumValue(3))
        .setStatementTimeoutMillis((int) number())
        .setPriority((int) number())
        .setPublicAccess(flag())
        .build();
  }

  private Organisation organisation() {
    return Organisation.newBuilder()
        .setName(name("o"))
        .addKeyDigests(randomBytes())
        .setQuota(
            OrganisationQuota.newBuilder()
                .setRatePerSecond(oneIn(5) ? Double.NaN : number())
                .setBurst(oneIn(5) ? Double.NEGATIVE_INFINITY : number()))
        .build();
  }

  private FailoverStepEntry step() {
    FailoverStepEntry.Builder step =
        FailoverStepEntry.newBuilder().setGroup(name("g")).setProposedAtMillis(number());
    switch (random.nextInt(4)) {
      case 0, 1 ->
          step.setGrant(
              GrantStep.newBuilder()
                  .setExpectedTerm(number())
                  .setTerm(number())
                  .setKindValue(enumValue(3))
                  .addAllMembers(some(() -> name("s"))));
      case 2 ->
          step.setChoose(
              ChooseStep.newBuilder()
                  .setTerm(number())
                  .setServer(name("s"))
                  .setStartIndex(number())
                  .setStartTerm(number()));
      default -> step.setPublish(PublishStep.newBuilder().setTerm(number()));
    }
    return oneIn(30) ? step.clearStep().build() : step.build();
  }

  private ObjectState object() {
    ObjectState.Builder object = ObjectState.newBuilder();
    switch (random.nextInt(12)) {
      case 0 ->
          object.setPool(
              Pool.newBuilder()
                  .setName(name("p"))
                  .addAllGroups(some(() -> name("g")))
                  .setMaxStalenessMillis(number())
                  .setMaxConcurrentStatements((int) number()));
      case 1, 2 ->
          object.setGroup(
              Group.newBuilder()
                  .setId(name("g"))
                  .setSlotsPerServer(oneIn(5) ? (int) number() : 2)
                  .setConnectionsPerServer(oneIn(5) ? (int) number() : 40));
      case 3 -> object.setServer(server());
      case 4 -> object.setHost(host());
      case 5 -> {
        byte[] secret = new byte[SECRET_BYTES - (oneIn(4) ? 1 : 0)];
        random.nextBytes(secret);
        object.setKeyRing(
            KeyRing.newBuilder()
                .addKeys(
                    Key.newBuilder().setId((int) number()).setSecret(ByteString.copyFrom(secret))));
      }
      case 6 -> object.setRemovedPool(name("p"));
      case 7 -> object.setRemovedGroup(name("g"));
      case 8 -> object.setRemovedServer(name("s"));
      case 9 ->
          object.setHostPolicy(
              HostPolicy.newBuilder()
                  .setId(name("h"))
                  .setProxy(flag())
                  .setControl(flag())
                  .setDraining(flag()));
      case 10 -> object.setRemovedHostPolicy(name("h"));
      default -> object.setConfiguration(configuration());
    }
    return object.build();
  }

  private <T> List<T> some(Supplier<T> part) {
    return IntStream.range(0, random.nextInt(4)).mapToObj(i -> part.get()).toList();
  }

  private String name(String kind) {
    return oneIn(15)
        ? ODD_NAMES.get(random.nextInt(ODD_NAMES.size()))
        : kind + (1 + random.nextInt(4));
  }

  private long number() {
    return oneIn(10) ? extreme() : random.nextInt(6);
  }

  private long extreme() {
    return EXTREMES[random.nextInt(EXTREMES.length)];
  }

  private int enumValue(int known) {
    return oneIn(20) ? ODD_ENUM_VALUE : random.nextInt(known);
  }

  private boolean flag() {
    return random.nextBoolean();
  }

  private boolean oneIn(int count) {
    return random.nextInt(count) == 0;
  }
}
