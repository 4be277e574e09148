package org.alderyard.proxy.callersession;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.alderyard.backend.ConnectionOwner;
import org.alderyard.backend.StatementKind;
import org.alderyard.backend.session.Refusal;
import org.alderyard.backend.session.RefusalCode;
import org.alderyard.backend.session.SessionReply;
import org.alderyard.backend.session.SessionRequest;
import org.alderyard.backend.session.SessionStatement;
import org.alderyard.backend.session.SessionStatement.Commit;
import org.alderyard.backend.session.SessionStatement.Execute;
import org.alderyard.backend.session.SessionStatement.Prepare;
import org.alderyard.backend.session.SessionStatement.Read;
import org.alderyard.backend.session.SessionStatement.Write;
import org.alderyard.backend.session.TransactionState;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.protocol.generated.statement.HeldStatementReply;
import org.alderyard.protocol.generated.statement.HeldStatementRequest;
import org.alderyard.protocol.generated.statement.State;
import org.alderyard.protocol.generated.statement.Work;
import org.alderyard.protocol.view.StateCodec;

/** Encodes and decodes the statements and replies that a caller's host exchanges with a holder. */
final class HeldStatementCodec {

  private HeldStatementCodec() {}

  /** Encodes a statement as a request; the sender adds its host and incarnation. */
  static HeldStatementRequest.Builder requestMessage(
      StatementTask task, Optional<GroupRouting.Floor> lastWrite, long nowNanos) {
    long remainingNanos = Math.max(0, task.deadlineNanos() - nowNanos);
    HeldStatementRequest.Builder message =
        HeldStatementRequest.newBuilder()
            .setOrganisation(task.owner().organisation())
            .setDatabase(StateCodec.databaseMessage(task.database()))
            .setRemainingMillis((int) TimeUnit.NANOSECONDS.toMillis(remainingNanos))
            .setId(task.request().id().orElseThrow())
            .setWork(work(task))
            .putAllValues(task.values());
    lastWrite.ifPresent(
        floor ->
            message
                .setWritten(StateCodec.positionMessage(floor.position()))
                .setWrittenAgeMicros(
                    TimeUnit.NANOSECONDS.toMicros(Math.max(0, nowNanos - floor.sinceNanos()))));
    return message;
  }

  private static Work work(StatementTask task) {
    Work.Builder work = Work.newBuilder();
    SessionStatement statement = task.request().statement();
    if (statement instanceof Commit) {
      return work.setKind(Work.Kind.COMMIT).build();
    }
    work.setKind(task.kind() == StatementKind.WRITE ? Work.Kind.WRITE : Work.Kind.READ);
    if (statement instanceof Read read) {
      work.setItem(read.item());
    } else if (statement instanceof Write write) {
      work.setItem(write.item()).setData(write.data());
    } else if (statement instanceof Execute execute) {
      work.setItem(execute.item()).setShape(task.prepared().orElseThrow().shape());
      execute.data().ifPresent(work::setData);
    } else {
      throw new IllegalArgumentException("statement does not run on a server: " + statement);
    }
    return work.build();
  }

  /**
   * Decodes the statement of a request. The deadline is the remaining time of the request, counted
   * from the arrival.
   *
   * @param arrival the view and the time at which the request arrived
   */
  static StatementTask task(HeldStatementRequest message, ViewLookup arrival) {
    Work work = message.getWork();
    StatementKind kind =
        work.getKind() == Work.Kind.WRITE ? StatementKind.WRITE : StatementKind.READ;
    Optional<Prepare> prepared =
        work.hasShape() ? Optional.of(new Prepare("", kind, work.getShape())) : Optional.empty();
    return new StatementTask(
        arrival,
        new ConnectionOwner(message.getOrganisation()),
        SessionRequest.of(message.getId(), statement(work, prepared)),
        kind,
        work.getKind() == Work.Kind.COMMIT,
        prepared,
        StateCodec.database(message.getDatabase()),
        message.getValuesMap(),
        arrival.nanos() + TimeUnit.MILLISECONDS.toNanos(message.getRemainingMillis()));
  }

  private static SessionStatement statement(Work work, Optional<Prepare> prepared) {
    Optional<String> data = work.hasData() ? Optional.of(work.getData()) : Optional.empty();
    if (prepared.isPresent()) {
      return new Execute(PooledSession.serverName(prepared.get()), work.getItem(), data);
    }
    return switch (work.getKind()) {
      case COMMIT -> new Commit();
      case READ -> new Read(work.getItem());
      case WRITE -> new Write(work.getItem(), data.orElseThrow(HeldStatementCodec::malformed));
      // An unknown kind is rejected, so that no other statement runs instead.
      default -> throw malformed();
    };
  }

  private static AlderyardException malformed() {
    return AlderyardException.notRun(
        ErrorCode.MESSAGE_DAMAGED, "the forwarded statement is malformed");
  }

  /** Decodes the position of the session's last write from a request. */
  static Optional<GroupRouting.Floor> lastWrite(HeldStatementRequest message, long nowNanos) {
    if (!message.hasWritten()) {
      return Optional.empty();
    }
    long sinceNanos = nowNanos - TimeUnit.MICROSECONDS.toNanos(message.getWrittenAgeMicros());
    return Optional.of(
        new GroupRouting.Floor(StateCodec.position(message.getWritten()), sinceNanos));
  }

  /** Encodes a reply. */
  static HeldStatementReply replyMessage(SessionReply reply) {
    HeldStatementReply.Builder message =
        HeldStatementReply.newBuilder()
            .addAllRows(reply.rows())
            .setState(State.forNumber(reply.state().ordinal()));
    reply.proof().ifPresent(message::setProof);
    reply
        .refusal()
        .ifPresent(
            refusal -> message.setRefusal(refusal.code().name()).setRefusalText(refusal.text()));
    reply
        .position()
        .ifPresent(position -> message.setPosition(StateCodec.positionMessage(position)));
    return message.build();
  }

  /** Decodes a reply. */
  static SessionReply reply(HeldStatementReply message) {
    return new SessionReply(
        message.getRowsList(),
        message.hasProof() ? Optional.of(message.getProof()) : Optional.empty(),
        message.getRefusal().isEmpty()
            ? Optional.empty()
            : Optional.of(new Refusal(code(message.getRefusal()), message.getRefusalText())),
        state(message.getState()),
        message.hasPosition()
            ? Optional.of(StateCodec.position(message.getPosition()))
            : Optional.empty());
  }

  /**
   * Returns the refusal code with this name; {@code IN_DOUBT} for a code that a newer peer added,
   * as its meaning for the outcome is unknown here.
   */
  private static RefusalCode code(String name) {
    for (RefusalCode code : RefusalCode.values()) {
      if (code.name().equals(name)) {
        return code;
      }
    }
    return RefusalCode.IN_DOUBT;
  }

  private static TransactionState state(State state) {
    return switch (state) {
      case NONE -> TransactionState.NONE;
      case OPEN -> TransactionState.OPEN;
      default -> TransactionState.FAILED;
    };
  }
}
