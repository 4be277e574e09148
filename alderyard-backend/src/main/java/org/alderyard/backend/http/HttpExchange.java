package org.alderyard.backend.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request on a client connection, and the collection of its whole answer. */
final class HttpExchange {
  private final ClientConnection connection;
  private final int maxAnswerBytes;
  private final String number;
  private final ByteBuffer buffer;
  private final CompletableFuture<JsonNode> answer = new CompletableFuture<>();

  /**
   * Creates an exchange.
   *
   * @param buffer where answers are read through; no other exchange uses it at the same time
   * @param number names the request among those of its connection; its answer must name it too
   */
  HttpExchange(ClientConnection connection, int maxAnswerBytes, ByteBuffer buffer, long number) {
    this.buffer = buffer;
    this.connection = connection;
    this.number = Long.toString(number);
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /** Sends a request; the answer is a JSON object, or a typed error of any kind. */
  CompletableFuture<JsonNode> send(String path, Optional<JsonNode> body) {
    byte[] content = body.map(BackendJson::bytes).orElse(new byte[0]);
    ClientRequest request =
        new ClientRequest().setPath(path).setMethod(body.isPresent() ? Methods.POST : Methods.GET);
    HeaderMap headers = request.getRequestHeaders();
    headers.put(Headers.HOST, connection.getPeerAddress().toString().replaceFirst("^.*/", ""));
    headers.put(BackendPaths.REQUEST_NUMBER, number);
    if (body.isPresent()) {
      headers.put(Headers.CONTENT_TYPE, "application/json");
      headers.put(Headers.CONTENT_LENGTH, content.length);
    }
    connection
        .getIoThread()
        .execute(
            () ->
                connection.sendRequest(
                    request,
                    new Callback(
                        exchange -> {
                          exchange.setResponseListener(new Callback(this::onResponse));
                          write(exchange.getRequestChannel(), ByteBuffer.wrap(content));
                        })));
    return answer;
  }

  private void write(StreamSinkChannel channel, ByteBuffer content) {
    try {
      while (content.hasRemaining()) {
        if (channel.write(content) == 0) {
          channel.getWriteSetter().set(ready -> write(ready, content));
          channel.resumeWrites();
          return;
        }
      }
      channel.getWriteSetter().set(null);
      channel.suspendWrites();
      finish(channel);
    } catch (IOException broken) {
      fail(broken);
    }
  }

  private void finish(StreamSinkChannel channel) throws IOException {
    channel.shutdownWrites();
    if (!channel.flush()) {
      ChannelListener<StreamSinkChannel> flush =
          ready -> {
            try {
              if (ready.flush()) {
                ready.suspendWrites();
              }
            } catch (IOException broken) {
              fail(broken);
            }
          };
      channel.getWriteSetter().set(flush);
      channel.resumeWrites();
    }
  }

  private void onResponse(ClientExchange exchange) {
    if (!number.equals(
        exchange.getResponse().getResponseHeaders().getFirst(BackendPaths.REQUEST_NUMBER))) {
      refuseForeign();
      return;
    }
    int status = exchange.getResponse().getResponseCode();
    ByteArrayOutputStream collected = new ByteArrayOutputStream();
    StreamSourceChannel channel = exchange.getResponseChannel();
    ChannelListener<StreamSourceChannel> reader = ready -> read(ready, status, collected);
    channel.getReadSetter().set(reader);
    channel.resumeReads();
    reader.handleEvent(channel);
  }

  /**
   * Guards against an answer that was sent twice or out of order: on a kept connection the next
   * request would take it for its own. The failure is of unknown outcome, so the connection closes.
   */
  private void refuseForeign() {
    answer.completeExceptionally(
        AlderyardException.unknown(
            ErrorCode.BACKEND_PROTOCOL, "the answer is not that of request " + number, null));
  }

  private void read(StreamSourceChannel channel, int status, ByteArrayOutputStream collected) {
    try {
      while (true) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count == 0) {
          return;
        }
        if (count < 0) {
          channel.suspendReads();
          complete(status, collected.toByteArray());
          return;
        }
        collected.write(buffer.array(), 0, count);
        if (collected.size() > maxAnswerBytes) {
          throw new IOException("an answer of more than " + maxAnswerBytes + " bytes");
        }
      }
    } catch (IOException broken) {
      fail(broken);
    }
  }

  private void complete(int status, byte[] body) {
    try {
      JsonNode node = BackendJson.parse(body);
      if (status == StatusCodes.OK) {
        answer.complete(node);
      } else {
        answer.completeExceptionally(BackendJson.refusal(node));
      }
    } catch (AlderyardException unreadable) {
      answer.completeExceptionally(unreadable);
    }
  }

  private void fail(IOException broken) {
    answer.completeExceptionally(
        AlderyardException.unknown(
            ErrorCode.CONNECTION_LOST,
            "the connection to the backend server broke: " + broken.getMessage(),
            broken));
  }

  /** Hands each step of the exchange on, and any failure to the answer. */
  private final class Callback implements ClientCallback<ClientExchange> {
    private final java.util.function.Consumer<ClientExchange> next;

    Callback(java.util.function.Consumer<ClientExchange> next) {
      this.next = next;
    }

    @Override
    public void completed(ClientExchange exchange) {
      next.accept(exchange);
    }

    @Override
    public void failed(IOException broken) {
      fail(broken);
    }
  }
}
