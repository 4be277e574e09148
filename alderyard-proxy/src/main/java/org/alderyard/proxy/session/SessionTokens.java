package org.alderyard.proxy.session;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.SigningKey;
import org.alderyard.common.view.View;
import org.alderyard.protocol.generated.session.GroupPosition;
import org.alderyard.protocol.generated.session.SessionToken;
import org.alderyard.protocol.generated.session.SignedToken;

/**
 * Writes and reads the text form of session tokens: signed protobuf in base64url.
 *
 * <p>The first key of the view signs, every key of the view verifies. To rotate without a refused
 * token, one ticket adds the new key behind the signing one, and a second ticket moves it to the
 * front once the first is in force everywhere.
 *
 * <pre>{@code
 * SessionTokens tokens = new SessionTokens(InstantSource.system(), Duration.ofHours(24));
 * SessionState session = tokens.read(headerValue, pool, view);
 * String next = tokens.write(session.observe(group, position), view);
 * }</pre>
 */
public final class SessionTokens {
  /** The longest text that is read; a full token with the longest names is shorter. */
  public static final int MAX_TEXT_LENGTH = 16 * 1024;

  /** The most tokens that one request may carry. */
  public static final int MAX_TOKENS = 16;

  private static final String ALGORITHM = "HmacSHA256";

  /** Signed before the content, so that no other use of the keys yields a valid token. */
  private static final byte[] PURPOSE = "alderyard session 1\n".getBytes(StandardCharsets.US_ASCII);

  private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
  private static final String SEPARATOR = ",";

  private final InstantSource wallClock;
  private final Duration maxAge;

  /** Creates a codec that refuses tokens which were issued longer ago than the given age. */
  public SessionTokens(InstantSource wallClock, Duration maxAge) {
    this.wallClock = Objects.requireNonNull(wallClock);
    this.maxAge = Objects.requireNonNull(maxAge);
  }

  /**
   * Returns the signed text of a session.
   *
   * @throws AlderyardException with {@code NO_ELIGIBLE_SERVER} if the view holds no key yet
   */
  public String write(SessionState session, View view) {
    SigningKey key = signingKey(view);
    SessionToken.Builder token =
        SessionToken.newBuilder()
            .setPool(session.pool().value())
            .setFolded(session.folded())
            .setIssuedAtSeconds(wallClock.instant().getEpochSecond());
    session
        .positions()
        .forEach(
            (group, position) ->
                token.addPositions(
                    GroupPosition.newBuilder()
                        .setGroup(group.value())
                        .setTerm(position.term())
                        .setIndex(position.index())));
    ByteString content = token.build().toByteString();
    SignedToken signed =
        SignedToken.newBuilder()
            .setKeyId(key.id())
            .setContent(content)
            .setHmac(ByteString.copyFrom(hmac(key, content)))
            .build();
    return ENCODER.encodeToString(signed.toByteArray());
  }

  /**
   * Reads the tokens of one request, separated by commas, and merges them.
   *
   * @param text the header's value; empty or null for a new session
   * @param pool the pool that the request addresses
   * @param view the view that the request is routed by
   * @throws AlderyardException with {@code TOKEN_DAMAGED}, {@code TOKEN_FORGED}, {@code
   *     TOKEN_EXPIRED}, {@code TOKEN_WRONG_POOL} or {@code SESSION_TAIL_LOST}; a token is never
   *     ignored, since the caller would read older data than it saw
   */
  public SessionState read(String text, PoolName pool, View view) {
    if (text == null || text.isBlank()) {
      return SessionState.empty(pool);
    }
    String[] parts = text.split(SEPARATOR, MAX_TOKENS + 1);
    if (parts.length > MAX_TOKENS) {
      throw AlderyardException.notRun(
          ErrorCode.BAD_REQUEST,
          "more than " + MAX_TOKENS + " session tokens; send those of the latest answers");
    }
    SessionState merged = SessionState.empty(pool);
    for (String part : parts) {
      SessionState session = readOne(part.strip(), pool, view.keys());
      // Each token on its own: after the merge a later term would hide a lost position.
      session.checkTail(view);
      merged = merged.merge(session);
    }
    return merged;
  }

  private SessionState readOne(String text, PoolName pool, List<SigningKey> keys) {
    SignedToken signed = parseSigned(text);
    SigningKey key = verifyingKey(signed.getKeyId(), keys);
    byte[] expected = hmac(key, signed.getContent());
    if (!MessageDigest.isEqual(expected, signed.getHmac().toByteArray())) {
      throw AlderyardException.notRun(
          ErrorCode.TOKEN_FORGED, "the signature of the session token does not match its content");
    }
    SessionToken token = parseContent(signed.getContent());
    if (!token.getPool().equals(pool.value())) {
      throw AlderyardException.notRun(
          ErrorCode.TOKEN_WRONG_POOL,
          "the session token belongs to pool "
              + token.getPool()
              + "; accepted is one of pool "
              + pool);
    }
    checkAge(token.getIssuedAtSeconds());
    return state(token, pool);
  }

  private static SignedToken parseSigned(String text) {
    if (text.isEmpty() || text.length() > MAX_TEXT_LENGTH) {
      throw damaged(text.length() + " characters; accepted are 1 to " + MAX_TEXT_LENGTH, null);
    }
    try {
      byte[] bytes = Base64.getUrlDecoder().decode(text);
      // The decoder ignores the last bits of a text whose length is no multiple of four, so that
      // a changed last character could pass.
      if (!text.equals(ENCODER.encodeToString(bytes))) {
        throw damaged("its text is not the one that was issued", null);
      }
      return SignedToken.parseFrom(bytes);
    } catch (IllegalArgumentException | InvalidProtocolBufferException failure) {
      throw damaged("it is not a signed token in base64url", failure);
    }
  }

  private static SessionToken parseContent(ByteString content) {
    try {
      return SessionToken.parseFrom(content);
    } catch (InvalidProtocolBufferException failure) {
      throw damaged("its content does not parse", failure);
    }
  }

  private static AlderyardException damaged(String detail, Exception cause) {
    return new AlderyardException(
        ErrorCode.TOKEN_DAMAGED, Outcome.NOT_RUN, "the session token is damaged: " + detail, cause);
  }

  private static SigningKey signingKey(View view) {
    return view.keys().stream()
        .findFirst()
        .orElseThrow(
            () ->
                AlderyardException.notRun(
                    ErrorCode.NO_ELIGIBLE_SERVER,
                    "no key for session tokens is in force; a ticket must bring a key ring"));
  }

  /** A key that a ticket retired, or one that this proxy's view does not hold yet. */
  private static SigningKey verifyingKey(int id, List<SigningKey> keys) {
    return keys.stream()
        .filter(key -> key.id() == id)
        .findFirst()
        .orElseThrow(
            () ->
                AlderyardException.notRun(
                    ErrorCode.TOKEN_EXPIRED,
                    "the session token is signed with key " + id + ", which is not in force"));
  }

  private void checkAge(long issuedAtSeconds) {
    long ageSeconds = wallClock.instant().getEpochSecond() - issuedAtSeconds;
    if (ageSeconds > maxAge.toSeconds()) {
      throw AlderyardException.notRun(
          ErrorCode.TOKEN_EXPIRED,
          "the session token is "
              + ageSeconds
              + " s old; accepted are "
              + maxAge.toSeconds()
              + " s at most");
    }
  }

  private static SessionState state(SessionToken token, PoolName pool) {
    Map<GroupId, Position> positions = new LinkedHashMap<>();
    for (GroupPosition entry : token.getPositionsList()) {
      positions.put(new GroupId(entry.getGroup()), new Position(entry.getTerm(), entry.getIndex()));
    }
    return SessionState.of(pool, positions, token.getFolded());
  }

  private static byte[] hmac(SigningKey key, ByteString content) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
      mac.update(PURPOSE);
      mac.update(content.asReadOnlyByteBuffer());
      return mac.doFinal();
    } catch (GeneralSecurityException failure) {
      throw new IllegalStateException("every Java runtime brings " + ALGORITHM, failure);
    }
  }
}
