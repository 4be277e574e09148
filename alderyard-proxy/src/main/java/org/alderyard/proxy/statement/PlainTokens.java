package org.alderyard.proxy.statement;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.SigningKey;
import org.alderyard.protocol.generated.session.GroupPosition;
import org.alderyard.protocol.generated.session.SessionToken;
import org.alderyard.protocol.generated.session.SignedToken;

/** Reads and writes session tokens. */
final class PlainTokens {

  private PlainTokens() {}

  static SessionToken read(Optional<String> text, String pool, List<SigningKey> keys) {
    if (text.isEmpty()) {
      return SessionToken.newBuilder().setPool(pool).build();
    }
    try {
      SignedToken signed = SignedToken.parseFrom(Base64.getUrlDecoder().decode(text.get()));
      SigningKey key =
          keys.stream()
              .filter(candidate -> candidate.id() == signed.getKeyId())
              .findFirst()
              .orElseThrow(() -> error(ErrorCode.TOKEN_EXPIRED, "its key is gone"));
      if (!MessageDigest.isEqual(
          signed.getHmac().toByteArray(), hmac(key, signed.getContent().toByteArray()))) {
        throw error(ErrorCode.TOKEN_FORGED, "its signature is wrong");
      }
      SessionToken token = SessionToken.parseFrom(signed.getContent());
      if (!token.getPool().equals(pool)) {
        throw error(ErrorCode.TOKEN_WRONG_POOL, "it is of pool " + token.getPool());
      }
      return token;
    } catch (IllegalArgumentException | InvalidProtocolBufferException damaged) {
      throw error(ErrorCode.TOKEN_DAMAGED, "it can't be read");
    }
  }

  static Position positionOf(SessionToken token, GroupId group) {
    return token.getPositionsList().stream()
        .filter(position -> position.getGroup().equals(group.value()))
        .map(position -> new Position(position.getTerm(), position.getIndex()))
        .findFirst()
        .orElse(Position.NONE);
  }

  static SessionToken with(SessionToken token, GroupId group, Position seen) {
    Position before = positionOf(token, group);
    Position after = before.compareTo(seen) > 0 ? before : seen;
    SessionToken.Builder builder = token.toBuilder().clearPositions();
    token.getPositionsList().stream()
        .filter(position -> !position.getGroup().equals(group.value()))
        .forEach(builder::addPositions);
    return builder
        .addPositions(
            GroupPosition.newBuilder()
                .setGroup(group.value())
                .setTerm(after.term())
                .setIndex(after.index()))
        .build();
  }

  static String sign(SessionToken token, List<SigningKey> keys) {
    if (keys.isEmpty()) {
      throw AlderyardException.notRun(
          ErrorCode.NO_ELIGIBLE_SERVER, "no ticket with token keys is in force yet");
    }
    byte[] content = token.toByteArray();
    SignedToken signed =
        SignedToken.newBuilder()
            .setKeyId(keys.get(0).id())
            .setContent(ByteString.copyFrom(content))
            .setHmac(ByteString.copyFrom(hmac(keys.get(0), content)))
            .build();
    return Base64.getUrlEncoder().withoutPadding().encodeToString(signed.toByteArray());
  }

  private static byte[] hmac(SigningKey key, byte[] content) {
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(key.secret(), "HmacSHA256"));
      return mac.doFinal(content);
    } catch (GeneralSecurityException missing) {
      throw AlderyardException.unknown(ErrorCode.INTERNAL, "no HMAC in this runtime", missing);
    }
  }

  private static AlderyardException error(ErrorCode code, String reason) {
    return AlderyardException.notRun(code, "the session token is refused: " + reason);
  }
}
