package org.alderyard.protocol.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import com.google.protobuf.ByteString;
import org.alderyard.protocol.generated.envelope.Reply;
import org.junit.jupiter.api.Test;

class SharedEncodingTest {
  private final SharedEncoding encoding = new SharedEncoding();

  private static Reply reply(int bytes) {
    return Reply.newBuilder().setPayload(ByteString.copyFrom(new byte[bytes])).build();
  }

  /** Answers the load of all hosts that fetch one view at once: it is encoded once. */
  @Test
  void encodesSharedMessageOnce() {
    Reply view = reply(SharedEncoding.MIN_KEPT_BYTES);
    ByteString first = encoding.encode(view);
    encoding.encode(reply(1));
    assertSame(first, encoding.encode(view));
    assertEquals(view.toByteString(), first);
  }

  /** Guards against the bytes of an older view for a message that only looks alike. */
  @Test
  void encodesAnotherMessageAnew() {
    ByteString first = encoding.encode(reply(SharedEncoding.MIN_KEPT_BYTES));
    Reply other = reply(SharedEncoding.MIN_KEPT_BYTES + 1);
    assertNotSame(first, encoding.encode(other));
    assertEquals(other.toByteString(), encoding.encode(other));
  }
}
