package org.alderyard.control.service;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.control.state.ViewChange;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.view.ViewChain;
import org.alderyard.protocol.view.ViewCodec;
import org.junit.jupiter.api.Test;

class SnapshotRepliesTest {
  private static final int HOSTS = 65;

  private final AtomicInteger built = new AtomicInteger();
  private final SnapshotReplies replies =
      new SnapshotReplies(
          view -> {
            built.incrementAndGet();
            return FetchViewReply.newBuilder().setChainHash(view.chainHash()).build();
          });

  private static ViewChange view(int version, ByteString chainHash) {
    return new ViewChange(
        ViewCodec.apply(View.EMPTY, new ViewVersion(1, version), List.of()),
        chainHash,
        Optional.empty());
  }

  /** Answers the load of all hosts that return at once: the view is collected once. */
  @Test
  void buildsOneReplyForAllHosts() {
    for (int host = 0; host < HOSTS; host++) {
      replies.of(view(7, ViewChain.START));
    }
    assertThat(built.get()).isEqualTo(1);
  }

  /** Guards against an older view for a host that fetches after a change. */
  @Test
  void newVersionAndNewChainGetTheirOwnReply() {
    ByteString otherChain = ByteString.copyFromUtf8("other");
    replies.of(view(7, ViewChain.START));
    replies.of(view(8, ViewChain.START));
    assertThat(replies.of(view(8, otherChain)).getChainHash()).isEqualTo(otherChain);
    assertThat(built.get()).isEqualTo(3);
  }
}
