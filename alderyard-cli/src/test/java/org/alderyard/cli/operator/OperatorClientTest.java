package org.alderyard.cli.operator;

import static com.google.common.truth.Truth.assertThat;

import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.http.Json;
import org.junit.jupiter.api.Test;

/** Guards against an operator who is told that a ticket did not run, though it may have. */
class OperatorClientTest {
  private static AlderyardException told(String code, String outcome) {
    return OperatorClient.error(
        Json.object().put("code", code).put("message", "m").put("outcome", outcome));
  }

  @Test
  void outcomeIsTheHostsAndNotGuessed() {
    AlderyardException unclear = told("NO_QUORUM", "OUTCOME_UNKNOWN");

    assertThat(unclear.code()).isEqualTo(ErrorCode.NO_QUORUM);
    assertThat(unclear.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
    assertThat(told("TICKET_CONFLICT", "NOT_RUN").outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void wordsOfNewerHostAreInDoubt() {
    AlderyardException newer = told("SOMETHING_NEW", "SOMETHING_ELSE");

    assertThat(newer.code()).isEqualTo(ErrorCode.INTERNAL);
    assertThat(newer.outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }
}
