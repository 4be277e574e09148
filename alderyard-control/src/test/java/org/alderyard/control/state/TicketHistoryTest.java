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
 * Operators submit and look up tickets at the same time. Each history must be one that a single
 * operator could have seen, one request after the other; else two operators may both be told that
 * their content of one number was accepted.
 */
@Param(name = "number", gen = IntGen.class, conf = "1:3")
@Param(name = "content", gen = IntGen.class, conf = "1:2")
public class TicketHistoryTest {
  private final ControlState state = new ControlState(change -> {});
  private final LocalLog log = new LocalLog(new HostId("c1"), state);

  /** Returns the verdict, and the content that the number has. */
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

  /** Returns the content that the number has, if any. */
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

  /** What one operator after the other would see. */
  public static class Sequential {
    private final Map<Integer, Integer> accepted = new HashMap<>();

    /** Accepts the first content of a number. */
    public String submit(int number, int content) {
      int first = accepted.computeIfAbsent(number, key -> content);
      return (first == content ? "ACCEPTED " : "CONFLICT ") + first;
    }

    /** Returns the accepted content. */
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
