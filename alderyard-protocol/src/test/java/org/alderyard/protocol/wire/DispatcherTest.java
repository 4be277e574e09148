package org.alderyard.protocol.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.alderyard.common.concurrent.Futures;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.HostId;
import org.alderyard.protocol.control.ControlMethods;
import org.alderyard.protocol.generated.control.AnnounceReply;
import org.alderyard.protocol.generated.control.ControlStatusReply;
import org.junit.jupiter.api.Test;

/** Guards against faults between hosts that are reported as faults of the request. */
class DispatcherTest {
  private static final PeerIdentity PEER = new PeerIdentity(new HostId("h2"), 1);
  private static final int UNSERVED_METHOD = ControlMethods.HEARTBEAT.number();

  /** Announces a field of 127 bytes that are missing. */
  private static final ByteString TRUNCATED = ByteString.copyFrom(new byte[] {0x0a, 0x7f});

  private final Dispatcher dispatcher =
      new Dispatcher()
          .serve(
              ControlMethods.ANNOUNCE,
              (peer, request) ->
                  CompletableFuture.completedFuture(AnnounceReply.getDefaultInstance()));

  private AlderyardException failure(int method, ByteString payload) {
    return Futures.toAlderyardException(
        assertThrows(
            CompletionException.class, () -> dispatcher.dispatch(PEER, method, payload).join()));
  }

  /** Guards against handlers that compute for long on the network thread. */
  @Test
  void onlyNamedMethodsRunOnTheNetworkThread() {
    dispatcher.serveOnNetworkThread(
        ControlMethods.STATUS,
        (peer, request) ->
            CompletableFuture.completedFuture(ControlStatusReply.getDefaultInstance()));

    assertThat(dispatcher.runsOnNetworkThread(ControlMethods.STATUS.number())).isTrue();
    assertThat(dispatcher.runsOnNetworkThread(ControlMethods.ANNOUNCE.number())).isFalse();
  }

  /** Guards against a request without a reply, which holds its place on the connection for good. */
  @Test
  void errorOfHandlerIsAnswered() {
    dispatcher.serve(
        ControlMethods.STATUS,
        (peer, request) -> {
          throw new StackOverflowError("handler of the test");
        });

    AlderyardException failure = failure(ControlMethods.STATUS.number(), ByteString.EMPTY);

    assertThat(failure.code()).isEqualTo(ErrorCode.INTERNAL);
  }

  @Test
  void unservedMethodIsNotFaultOfTheRequest() {
    AlderyardException failure = failure(UNSERVED_METHOD, ByteString.EMPTY);

    assertThat(failure.code()).isEqualTo(ErrorCode.METHOD_NOT_SERVED);
    assertThat(failure.code().isRequestFault()).isFalse();
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void truncatedMessageIsNotFaultOfTheRequest() {
    AlderyardException failure = failure(ControlMethods.ANNOUNCE.number(), TRUNCATED);

    assertThat(failure.code()).isEqualTo(ErrorCode.MESSAGE_DAMAGED);
    assertThat(failure.code().isRequestFault()).isFalse();
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
  }
}
