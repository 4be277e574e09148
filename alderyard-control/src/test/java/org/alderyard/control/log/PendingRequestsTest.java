package org.alderyard.control.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.junit.jupiter.api.Test;

/** Tests which entry answers a pending proposal. */
class PendingRequestsTest {
  private static final ByteString RESULT = ByteString.copyFromUtf8("result");

  private final PendingRequests pending = new PendingRequests(Runnable::run);
  private final CompletableFuture<ByteString> proposal = new CompletableFuture<>();

  @Test
  void proposedEntryAnswersProposal() {
    pending.addProposal(7, 2, proposal);

    pending.completeProposal(7, 2, RESULT);

    assertThat(proposal.join()).isEqualTo(RESULT);
    assertThat(pending.size()).isEqualTo(0);
  }

  /** Guards against the acknowledgement of a change that no log holds. */
  @Test
  void entryOfLaterTermProvesThatProposalDoesNotRun() {
    pending.addProposal(7, 2, proposal);

    pending.completeProposal(7, 3, RESULT);

    AlderyardException failure =
        Futures.toAlderyardException(assertThrows(CompletionException.class, proposal::join));
    assertThat(failure.code()).isEqualTo(ErrorCode.NOT_LEADER);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(pending.size()).isEqualTo(0);
  }
}
