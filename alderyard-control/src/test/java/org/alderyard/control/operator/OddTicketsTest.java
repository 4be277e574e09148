package org.alderyard.control.operator;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.alderyard.common.http.Json;
import org.junit.jupiter.api.Test;

/** Guards against a ticket that is applied with other content than the one sent. */
class OddTicketsTest {

  @Test
  void reportsValuesOfAnotherType() {
    for (String ticket :
        List.of(
            "{\"objects\":{\"a\":{\"kind\":\"host\",\"id\":\"h\"}}}",
            "{\"objects\":\"x\"}",
            "{\"objects\":[{\"kind\":\"host\",\"id\":5,\"removed\":true}]}",
            "{\"objects\":[{\"kind\":\"keys\",\"keys\":{\"a\":{\"id\":1}}}]}",
            "{\"objects\":[{\"kind\":\"keys\",\"keys\":[{\"id\":1,\"secretBase64\":1234}]}]}")) {
      var parsed = TicketParser.parse(7, Json.parseObject(ticket.getBytes(StandardCharsets.UTF_8)));
      assertWithMessage(ticket).that(parsed.faults()).isNotEmpty();
    }
  }
}
