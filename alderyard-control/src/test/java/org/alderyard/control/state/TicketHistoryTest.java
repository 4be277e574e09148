package org.alderyard.control.state;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.alderyard.common.id.HostId;
import org.alderyard.control.log.LocalLog;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.Ticket;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.state.Group;
import org.alderyard.protocol.generated.state.ObjectState;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/**
 * Checks that concurrent ticket submissions and lookups are linearizable. Otherwise two operators
 * could both receive {@code ACCEPTED} for different contents of one number.
 */
@Param(name = "number", gen = IntGen.class, conf = "1:3")
@Param(name = "content", gen = IntGen.class, conf = "1:2")
public class TicketHistoryTest {
  private final ControlState state = new ControlState(change -> {});
  private final LocalLog log = new LocalLog(new HostId("c1"), state);

  /** Submits a ticket and returns the verdict with the accepted content of the number. */
  @Operation
  public String submit(@Param(name = "number") int number, @Param(name = "content") int content) {
    Ticket ticket = ticket(number, content);
    var answer = log.propose(Command.newBuilder().setTicket(ticket).build().toByteString()).join();
    try {
      return text(number, TicketAnswer.parseFrom(answer));
    } catch (InvalidProtocolBufferException damaged) {
      throw new IllegalStateException(damaged);
    }
  }

  /** Returns the verdict with the accepted content of the number, or {@code none}. */
  @Operation
  public String find(@Param(name = "number") int number) {
    return state.ticket(number).map(answer -> text(number, answer)).orElse("none");
  }

  private static String text(int number, TicketAnswer answer) {
    boolean first = answer.getContentHash().equals(ticket(number, 1).getContentHash());
    return answer.getVerdict() + " " + (first ? 1 : 2);
  }

  private static Ticket ticket(int number, int content) {
    Group group =
        Group.newBuilder()
            .setId("g1")
            .setSlotsPerServer(content)
            .setConnectionsPerServer(10)
            .build();
    return TicketObjects.ticket(number, List.of(ObjectState.newBuilder().setGroup(group).build()));
  }

  /** Sequential specification of tickets. */
  public static class Sequential {
    private final Map<Integer, Integer> accepted = new HashMap<>();

    /** Accepts the first content of a number; any other content is a conflict. */
    public String submit(int number, int content) {
      int first = accepted.computeIfAbsent(number, key -> content);
      return (first == content ? "ACCEPTED " : "CONFLICT ") + first;
    }

    /** Returns the accepted content of the number, or {@code none}. */
    public String find(int number) {
      return accepted.containsKey(number) ? "ACCEPTED " + accepted.get(number) : "none";
    }
  }

  @Test
  void concurrentTicketHistoriesAreLinearizable() {
    new StressOptions()
        .iterations(10)
        .invocationsPerIteration(200)
        .threads(3)
        .actorsPerThread(3)
        .sequentialSpecification(Sequential.class)
        .check(TicketHistoryTest.class);
  }
}
