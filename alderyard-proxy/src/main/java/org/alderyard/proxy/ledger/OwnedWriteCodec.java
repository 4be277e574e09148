package org.alderyard.proxy.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.alderyard.backend.LedgerKey;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.http.Json;
import org.alderyard.common.id.CallerId;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.RequestId;
import org.alderyard.common.id.ServerId;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.ledger.OwnedWriteFailure;
import org.alderyard.protocol.generated.ledger.OwnedWriteReply;
import org.alderyard.protocol.generated.ledger.OwnedWriteRequest;
import org.alderyard.proxy.write.WriteAnswer;
import org.alderyard.proxy.write.WriteRequest;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Converts writes to and from the messages between proxies, and computes the digest of their
 * content.
 */
final class OwnedWriteCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private OwnedWriteCodec() {}

  static OwnedWriteRequest encodeRequest(
      WriteRequest write, long requestedAtMillis, Duration timeLeft) {
    LedgerKey key = write.ledgerKey().orElseThrow();
    return OwnedWriteRequest.newBuilder()
        .setPool(write.pool().name().value())
        .setGroup(write.group().value())
        .setKey(write.key())
        .setStatement(write.text())
        .setParameters(ByteString.copyFrom(Json.bytes(parameters(write))))
        .setCallerId(key.caller().value())
        .setRequestId(key.request().value())
        .setRequestedAtMillis(requestedAtMillis)
        .setTimeoutMillis(timeLeft.toMillis())
        .build();
  }

  static WriteRequest decodeRequest(OwnedWriteRequest message, View view) {
    PoolName pool = new PoolName(message.getPool());
    List<JsonNode> parameters = new ArrayList<>();
    parse(message.getParameters()).forEach(parameters::add);
    return new WriteRequest(
        view.pool(pool)
            .orElseThrow(
                () ->
                    // NOT_RUN is accurate: the request was not admitted yet.
                    AlderyardException.notRun(
                        ErrorCode.NOT_OWNER,
                        "the view of the owner does not contain pool '" + pool + "' yet")),
        new GroupId(message.getGroup()),
        message.getKey(),
        message.getStatement(),
        parameters,
        Optional.of(
            new LedgerKey(
                new CallerId(message.getCallerId()), new RequestId(message.getRequestId()))),
        OptionalLong.of(message.getRequestedAtMillis()),
        Duration.ofMillis(message.getTimeoutMillis()));
  }

  static OwnedWriteReply encodeAnswer(WriteAnswer answer) {
    return OwnedWriteReply.newBuilder()
        .setResult(ByteString.copyFrom(Json.bytes(answer.result())))
        .setServer(answer.server().value())
        .setTerm(answer.position().term())
        .setIndex(answer.position().index())
        .build();
  }

  static WriteAnswer decodeAnswer(OwnedWriteReply message) {
    return new WriteAnswer(
        parse(message.getResult()),
        new ServerId(message.getServer()),
        new Position(message.getTerm(), message.getIndex()));
  }

  static OwnedWriteReply encodeFailure(AlderyardException failure) {
    return OwnedWriteReply.newBuilder()
        .setFailure(
            OwnedWriteFailure.newBuilder()
                .setCode(failure.code().name())
                .setOutcome(failure.outcome().name())
                .setMessage(failure.getMessage())
                .setRetryAfterMillis(failure.retryAfterMillis().orElse(0)))
        .build();
  }

  static AlderyardException decodeFailure(OwnedWriteFailure message) {
    ErrorCode code = ErrorCode.valueOf(message.getCode());
    Outcome outcome = Outcome.valueOf(message.getOutcome());
    return outcome == Outcome.NOT_RUN && message.getRetryAfterMillis() > 0
        ? AlderyardException.notRun(code, message.getMessage(), message.getRetryAfterMillis())
        : new AlderyardException(code, outcome, message.getMessage());
  }

  /** Returns a digest of the pool, key, statement and parameters of a write. */
  static String contentDigest(WriteRequest write) {
    ArrayNode content = MAPPER.createArrayNode();
    content.add(write.pool().name().value());
    content.add(write.key());
    content.add(write.text());
    content.add(parameters(write));
    return DigestUtils.sha256Hex(Json.bytes(content));
  }

  private static ArrayNode parameters(WriteRequest write) {
    ArrayNode parameters = MAPPER.createArrayNode();
    write.parameters().forEach(parameters::add);
    return parameters;
  }

  private static JsonNode parse(ByteString json) {
    try {
      return MAPPER.readTree(json.toByteArray());
    } catch (IOException malformed) {
      throw AlderyardException.unknown(
          ErrorCode.INTERNAL, "a JSON value from another proxy cannot be parsed", malformed);
    }
  }
}
