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

/** What operators are told of a ticket that is not accepted now. */
class TicketJsonTest {
  private static AlderyardException told(TicketVerdict verdict) {
    TicketAnswer answer = TicketAnswer.newBuilder().setNumber(4).setVerdict(verdict).build();
    return assertThrows(
        AlderyardException.class,
        () -> TicketJson.answer(SubmitTicketReply.newBuilder().setAnswer(answer).build()));
  }

  /** Guards against a denial of a ticket that was accepted long ago and is sent again. */
  @Test
  void forgottenTicketMayHaveRun() {
    AlderyardException told = told(TicketVerdict.FORGOTTEN);

    assertThat(told.code()).isEqualTo(ErrorCode.TICKET_FORGOTTEN);
    assertThat(told.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  @Test
  void otherContentUnderTheNumberDidNotRun() {
    assertThat(told(TicketVerdict.CONFLICT).outcome()).isEqualTo(Outcome.NOT_RUN);
  }
}
