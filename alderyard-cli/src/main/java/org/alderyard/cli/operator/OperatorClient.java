package org.alderyard.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.alderyard.cli.command.CommonOptions;
import org.alderyard.cli.command.Invocation;
import org.alderyard.cli.command.UsageException;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.http.Json;

/** HTTP client for the operators' port of a host. */
final class OperatorClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final String ADDRESS_VARIABLE = "ALDERYARD_OPERATOR";
  private static final String KEY_FILE_VARIABLE = "ALDERYARD_KEY_FILE";

  private final HttpClient http = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final String address;
  private final String key;

  private OperatorClient(String address, String key) {
    this.address = address;
    this.key = key;
  }

  /** Creates a client from the address and key file in the options or the environment. */
  static OperatorClient of(Invocation invocation) {
    String address = optionOrVariable(invocation, CommonOptions.OPERATOR, ADDRESS_VARIABLE);
    String keyFile = optionOrVariable(invocation, CommonOptions.KEY_FILE, KEY_FILE_VARIABLE);
    try {
      return new OperatorClient(address, Files.readString(Path.of(keyFile)).trim());
    } catch (IOException unreadable) {
      throw new UsageException(
          invocation.spec(), "the key file '" + keyFile + "' can't be read: " + unreadable);
    }
  }

  private static String optionOrVariable(Invocation invocation, String option, String variable) {
    return invocation
        .option(option)
        .or(() -> Optional.ofNullable(System.getenv(variable)))
        .orElseThrow(
            () ->
                new UsageException(
                    invocation.spec(),
                    "--" + option + " is missing and " + variable + " is not set"));
  }

  JsonNode get(String path) {
    return send(request(path).GET().build());
  }

  JsonNode put(String path, byte[] body) {
    return send(request(path).PUT(HttpRequest.BodyPublishers.ofByteArray(body)).build());
  }

  JsonNode post(String path, byte[] body) {
    return send(request(path).POST(HttpRequest.BodyPublishers.ofByteArray(body)).build());
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + key);
  }

  private JsonNode send(HttpRequest request) {
    try {
      HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode body = Json.parseObject(response.body());
      if (body.has("error")) {
        throw toException(body.path("error"));
      }
      return body;
    } catch (IOException failure) {
      throw AlderyardException.unknown(
          ErrorCode.CONNECTION_LOST, address + ": no response: " + failure, failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw AlderyardException.unknown(ErrorCode.CONNECTION_LOST, "interrupted", interrupted);
    }
  }

  /**
   * Converts the error of a response to an exception.
   *
   * <p>An unknown error code becomes {@code INTERNAL} and an unknown outcome becomes {@code
   * OUTCOME_UNKNOWN}, since a newer host may send values that this version doesn't define.
   */
  static AlderyardException toException(JsonNode error) {
    StringBuilder message = new StringBuilder(error.path("message").asText());
    error
        .path("faults")
        .forEach(fault -> message.append(System.lineSeparator()).append("  ").append(fault));
    return new AlderyardException(
        code(error.path("code").asText()),
        outcome(error.path("outcome").asText()),
        message.toString());
  }

  private static ErrorCode code(String name) {
    try {
      return ErrorCode.valueOf(name);
    } catch (IllegalArgumentException unknownName) {
      return ErrorCode.INTERNAL;
    }
  }

  private static Outcome outcome(String name) {
    try {
      return Outcome.valueOf(name);
    } catch (IllegalArgumentException unknownName) {
      return Outcome.OUTCOME_UNKNOWN;
    }
  }
}
