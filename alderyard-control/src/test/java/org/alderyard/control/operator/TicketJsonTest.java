package org.alderyard.control.operator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.protocol.generated.control.SubmitTicketReply;
import org.alderyard.protocol.generated.control.TicketAnswer;
import org.alderyard.protocol.generated.control.TicketVerdict;
import org.junit.jupiter.api.Test;

/** Tests the errors that operators receive for tickets that are not accepted. */
class TicketJsonTest {
  private static AlderyardException refusal(TicketVerdict verdict) {
    TicketAnswer answer = TicketAnswer.newBuilder().setNumber(4).setVerdict(verdict).build();
    return assertThrows(
        AlderyardException.class,
        () -> TicketJson.answer(SubmitTicketReply.newBuilder().setAnswer(answer).build()));
  }

  /** Guards against reporting NOT_RUN for a resent ticket that was accepted long ago. */
  @Test
  void forgottenTicketHasUnknownOutcome() {
    AlderyardException refusal = refusal(TicketVerdict.FORGOTTEN);

    assertThat(refusal.code()).isEqualTo(ErrorCode.TICKET_FORGOTTEN);
    assertThat(refusal.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  @Test
  void conflictingTicketDidNotRun() {
    assertThat(refusal(TicketVerdict.CONFLICT).outcome()).isEqualTo(Outcome.NOT_RUN);
  }
}
