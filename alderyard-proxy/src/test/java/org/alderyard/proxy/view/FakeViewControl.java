package org.alderyard.proxy.view;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.view.ViewVersion;
import org.alderyard.protocol.generated.control.FetchViewReply;
import org.alderyard.protocol.generated.control.FetchViewRequest;
import org.alderyard.protocol.generated.control.HeartbeatReply;
import org.alderyard.protocol.generated.control.HeartbeatRequest;
import org.alderyard.protocol.generated.state.ViewDelta;
import org.alderyard.protocol.generated.state.ViewDeltas;
import org.alderyard.protocol.generated.state.ViewSnapshot;
import org.alderyard.protocol.view.StateCodec;
import org.alderyard.protocol.view.ViewChain;

/** Control hosts whose replies a test sends. The views have no content. */
final class FakeViewControl implements ViewControl {
  static final int LEASE_MILLIS = 3_000;

  /** A fetch; {@code index} is -1 if it went to the leader. */
  record Fetch(int index, CompletableFuture<FetchViewReply> reply) {}

  final List<Fetch> fetches = new ArrayList<>();
  final List<CompletableFuture<HeartbeatReply>> heartbeats = new ArrayList<>();
  private final TreeMap<Long, ViewDelta> deltas = new TreeMap<>();

  @Override
  public CompletableFuture<FetchViewReply> fetch(int index, FetchViewRequest request) {
    return add(index);
  }

  @Override
  public CompletableFuture<FetchViewReply> fetchFromLeader(FetchViewRequest request) {
    return add(-1);
  }

  private CompletableFuture<FetchViewReply> add(int index) {
    Fetch fetch = new Fetch(index, new CompletableFuture<>());
    fetches.add(fetch);
    return fetch.reply();
  }

  @Override
  public CompletableFuture<HeartbeatReply> heartbeat(HeartbeatRequest request) {
    CompletableFuture<HeartbeatReply> reply = new CompletableFuture<>();
    heartbeats.add(reply);
    return reply;
  }

  /** Returns the fetches in flight. */
  List<Fetch> pending() {
    return fetches.stream().filter(fetch -> !fetch.reply().isDone()).toList();
  }

  /** Returns the fetches in flight from the leader. */
  List<Fetch> pendingAtLeader() {
    return pending().stream().filter(fetch -> fetch.index() < 0).toList();
  }

  /** Answers all heartbeats in flight. */
  void confirm(long version) {
    HeartbeatReply reply =
        HeartbeatReply.newBuilder()
            .setCurrent(StateCodec.versionMessage(version(version)))
            .setLeaseMillis(LEASE_MILLIS)
            .build();
    List.copyOf(heartbeats).forEach(heartbeat -> heartbeat.complete(reply));
  }

  static ViewVersion version(long number) {
    return new ViewVersion(1, number);
  }

  private ViewDelta delta(long to) {
    if (!deltas.containsKey(to)) {
      ByteString previous = to == 2 ? ViewChain.START : delta(to - 1).getChainHash();
      deltas.put(
          to,
          ViewChain.link(
              previous,
              StateCodec.versionMessage(version(to - 1)),
              StateCodec.versionMessage(version(to)),
              List.of()));
    }
    return deltas.get(to);
  }

  /** Returns the whole view of version 1. */
  FetchViewReply firstView() {
    return FetchViewReply.newBuilder()
        .setSnapshot(
            ViewSnapshot.newBuilder().setVersion(StateCodec.versionMessage(version(1))).build())
        .setChainHash(ViewChain.START)
        .build();
  }

  /** Returns the delta to a version after the first. */
  FetchViewReply change(long version) {
    return FetchViewReply.newBuilder()
        .setDeltas(ViewDeltas.newBuilder().addDeltas(delta(version)))
        .build();
  }

  /** Returns the reply without a change. */
  FetchViewReply nothingNew() {
    return FetchViewReply.newBuilder().setDeltas(ViewDeltas.getDefaultInstance()).build();
  }
}
