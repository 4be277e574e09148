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

/** Sends one request on a client connection and collects the complete response. */
final class HttpExchange {
  private final ClientConnection connection;
  private final int maxResponseBytes;
  private final String requestNumber;
  private final ByteBuffer buffer;
  private final CompletableFuture<JsonNode> response = new CompletableFuture<>();

  /**
   * Creates an exchange.
   *
   * @param buffer read buffer for the response; not shared with a concurrent exchange
   * @param requestNumber identifies the request on its connection; the response must repeat it
   */
  HttpExchange(
      ClientConnection connection, int maxResponseBytes, ByteBuffer buffer, long requestNumber) {
    this.buffer = buffer;
    this.connection = connection;
    this.requestNumber = Long.toString(requestNumber);
    this.maxResponseBytes = maxResponseBytes;
  }

  /** Sends a request; the future holds a JSON object or fails with an AlderyardException. */
  CompletableFuture<JsonNode> send(String path, Optional<JsonNode> body) {
    byte[] content = body.map(BackendJson::serialize).orElse(new byte[0]);
    ClientRequest request =
        new ClientRequest().setPath(path).setMethod(body.isPresent() ? Methods.POST : Methods.GET);
    HeaderMap headers = request.getRequestHeaders();
    headers.put(Headers.HOST, connection.getPeerAddress().toString().replaceFirst("^.*/", ""));
    headers.put(BackendPaths.REQUEST_NUMBER_HEADER, requestNumber);
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
    return response;
  }

  private void write(StreamSinkChannel channel, ByteBuffer content) {
    try {
      while (content.hasRemaining()) {
        if (channel.write(content) == 0) {
          channel.getWriteSetter().set(readyChannel -> write(readyChannel, content));
          channel.resumeWrites();
          return;
        }
      }
      channel.getWriteSetter().set(null);
      channel.suspendWrites();
      endRequest(channel);
    } catch (IOException exception) {
      fail(exception);
    }
  }

  private void endRequest(StreamSinkChannel channel) throws IOException {
    channel.shutdownWrites();
    if (!channel.flush()) {
      ChannelListener<StreamSinkChannel> flush =
          readyChannel -> {
            try {
              if (readyChannel.flush()) {
                readyChannel.suspendWrites();
              }
            } catch (IOException exception) {
              fail(exception);
            }
          };
      channel.getWriteSetter().set(flush);
      channel.resumeWrites();
    }
  }

  private void onResponse(ClientExchange exchange) {
    if (!requestNumber.equals(
        exchange.getResponse().getResponseHeaders().getFirst(BackendPaths.REQUEST_NUMBER_HEADER))) {
      failMismatchedResponse();
      return;
    }
    int status = exchange.getResponse().getResponseCode();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    StreamSourceChannel channel = exchange.getResponseChannel();
    ChannelListener<StreamSourceChannel> reader = readyChannel -> read(readyChannel, status, body);
    channel.getReadSetter().set(reader);
    channel.resumeReads();
    reader.handleEvent(channel);
  }

  /**
   * Fails the exchange on a response to another request. If a server sends a response twice or out
   * of order on a persistent connection, the next request would otherwise receive it. The failure
   * has an unknown outcome, so the connection is closed.
   */
  private void failMismatchedResponse() {
    response.completeExceptionally(
        AlderyardException.unknown(
            ErrorCode.BACKEND_PROTOCOL,
            "the response does not carry request number " + requestNumber,
            null));
  }

  private void read(StreamSourceChannel channel, int status, ByteArrayOutputStream body) {
    try {
      while (true) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count == 0) {
          return;
        }
        if (count < 0) {
          channel.suspendReads();
          complete(status, body.toByteArray());
          return;
        }
        body.write(buffer.array(), 0, count);
        if (body.size() > maxResponseBytes) {
          throw new IOException("the response exceeds " + maxResponseBytes + " bytes");
        }
      }
    } catch (IOException exception) {
      fail(exception);
    }
  }

  private void complete(int status, byte[] body) {
    try {
      JsonNode node = BackendJson.parse(body);
      if (status == StatusCodes.OK) {
        response.complete(node);
      } else {
        response.completeExceptionally(BackendJson.refusal(node));
      }
    } catch (RuntimeException | Error malformed) {
      // On this I/O thread nobody else would end the exchange.
      response.completeExceptionally(malformed);
    }
  }

  private void fail(IOException exception) {
    response.completeExceptionally(
        AlderyardException.unknown(
            ErrorCode.CONNECTION_LOST,
            "the connection to the backend server failed: " + exception.getMessage(),
            exception));
  }

  /** Passes a completed step to the next one and a failure to the response future. */
  private final class Callback implements ClientCallback<ClientExchange> {
    private final java.util.function.Consumer<ClientExchange> onCompleted;

    Callback(java.util.function.Consumer<ClientExchange> onCompleted) {
      this.onCompleted = onCompleted;
    }

    @Override
    public void completed(ClientExchange exchange) {
      onCompleted.accept(exchange);
    }

    @Override
    public void failed(IOException exception) {
      fail(exception);
    }
  }
}
