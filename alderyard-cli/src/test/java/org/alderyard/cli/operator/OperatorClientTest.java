package org.alderyard.cli.operator;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.http.Json;
import org.junit.jupiter.api.Test;

/** Checks that a ticket which may have run is never reported to the operator as not run. */
class OperatorClientTest {
  private static AlderyardException exceptionFor(String code, String outcome) {
    return OperatorClient.toException(
        Json.object().put("code", code).put("message", "m").put("outcome", outcome));
  }

  @Test
  void outcomeIsTakenFromTheResponse() {
    AlderyardException unclear = exceptionFor("NO_QUORUM", "OUTCOME_UNKNOWN");

    assertThat(unclear.code()).isEqualTo(ErrorCode.NO_QUORUM);
    assertThat(unclear.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(exceptionFor("TICKET_CONFLICT", "NOT_RUN").outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void unknownNamesAreReportedAsUnknownOutcome() {
    AlderyardException newer = exceptionFor("SOMETHING_NEW", "SOMETHING_ELSE");

    assertThat(newer.code()).isEqualTo(ErrorCode.INTERNAL);
    assertThat(newer.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }
}
