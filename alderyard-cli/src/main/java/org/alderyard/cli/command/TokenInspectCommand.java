package org.alderyard.cli.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Base64;
import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.http.Json;
import org.alderyard.daemon.ExitCode;
import org.alderyard.protocol.generated.session.SessionToken;
import org.alderyard.protocol.generated.session.SignedToken;
import org.apache.commons.cli.Options;

/** Prints the content of a session token; verifying the signature would require the key. */
public final class TokenInspectCommand implements Command {
  private static final CommandSpec SPEC =
      new CommandSpec(
          "token inspect",
          "show the content of a session token, without verifying its signature",
          List.of("TOKEN"),
          new Options());

  @Override
  public CommandSpec spec() {
    return SPEC;
  }

  @Override
  public ExitCode run(Invocation invocation) {
    invocation.out().println(Json.pretty(inspect(invocation.arguments().get(0))));
    return ExitCode.OK;
  }

  private static ObjectNode inspect(String encoded) {
    try {
      SignedToken signed = SignedToken.parseFrom(Base64.getUrlDecoder().decode(encoded));
      SessionToken token = SessionToken.parseFrom(signed.getContent());
      ObjectNode node = Json.object();
      node.put("keyId", signed.getKeyId());
      node.put("pool", token.getPool());
      node.put("folded", token.getFolded());
      node.put("issuedAtSeconds", token.getIssuedAtSeconds());
      var positions = node.putArray("positions");
      token
          .getPositionsList()
          .forEach(
              position ->
                  positions
                      .addObject()
                      .put("group", position.getGroup())
                      .put("term", position.getTerm())
                      .put("index", position.getIndex()));
      return node;
    } catch (IllegalArgumentException | InvalidProtocolBufferException damaged) {
      throw AlderyardException.notRun(
          ErrorCode.TOKEN_DAMAGED, "the session token can't be decoded");
    }
  }
}
