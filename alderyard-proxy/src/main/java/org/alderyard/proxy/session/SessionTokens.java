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
 * Encodes and decodes session tokens: signed protobuf in base64url.
 *
 * <p>The first key of the view signs; every key of the view verifies. To rotate keys without
 * rejecting a token, add the new key after the signing key with one ticket, and move it to the
 * front with a second ticket once the first is in force on all hosts.
 *
 * <pre>{@code
 * SessionTokens tokens = new SessionTokens(InstantSource.system(), Duration.ofHours(24));
 * SessionState session = tokens.decode(headerValue, pool, view);
 * String next = tokens.encode(session.observe(group, position), view);
 * }</pre>
 */
public final class SessionTokens {
  /** The maximum length of a token; a token with all positions and the longest names is shorter. */
  public static final int MAX_TEXT_LENGTH = 16 * 1024;

  /** The maximum number of tokens per request. */
  public static final int MAX_TOKENS = 16;

  private static final String ALGORITHM = "HmacSHA256";

  /**
   * Prefix of the signed bytes, so that a signature made with the same key for another purpose is
   * not a valid token.
   */
  private static final byte[] DOMAIN_SEPARATOR =
      "alderyard session 1\n".getBytes(StandardCharsets.US_ASCII);

  private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
  private static final String TOKEN_SEPARATOR = ",";

  private final InstantSource wallClock;
  private final Duration maxAge;

  /** Creates a codec that rejects tokens older than the given age. */
  public SessionTokens(InstantSource wallClock, Duration maxAge) {
    this.wallClock = Objects.requireNonNull(wallClock);
    this.maxAge = Objects.requireNonNull(maxAge);
  }

  /**
   * Returns the signed token of a session.
   *
   * @throws AlderyardException with {@code NO_ELIGIBLE_SERVER} if the view does not contain a key
   *     yet
   */
  public String encode(SessionState session, View view) {
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
   * Decodes and merges the tokens of one request, which are separated by commas.
   *
   * @param text the value of the header; empty or null for a new session
   * @param pool the pool that the request addresses
   * @param view the view by which the request is routed
   * @throws AlderyardException with {@code TOKEN_DAMAGED}, {@code TOKEN_FORGED}, {@code
   *     TOKEN_EXPIRED}, {@code TOKEN_WRONG_POOL} or {@code SESSION_TAIL_LOST}; an invalid token is
   *     never ignored, since the caller would then read older data than it has observed
   */
  public SessionState decode(String text, PoolName pool, View view) {
    if (text == null || text.isBlank()) {
      return SessionState.empty(pool);
    }
    String[] tokenTexts = text.split(TOKEN_SEPARATOR, MAX_TOKENS + 1);
    if (tokenTexts.length > MAX_TOKENS) {
      throw AlderyardException.notRun(
          ErrorCode.BAD_REQUEST,
          "more than " + MAX_TOKENS + " session tokens; send only those of the latest responses");
    }
    SessionState merged = SessionState.empty(pool);
    for (String tokenText : tokenTexts) {
      SessionState session = decodeToken(tokenText.strip(), pool, view.keys());
      // Checked before the merge, since a later term of another token would hide a lost position.
      session.checkNotLost(view);
      merged = merged.merge(session);
    }
    return merged;
  }

  private SessionState decodeToken(String text, PoolName pool, List<SigningKey> keys) {
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
              + "; expected a token of pool "
              + pool);
    }
    checkAge(token.getIssuedAtSeconds());
    return toState(token, pool);
  }

  private static SignedToken parseSigned(String text) {
    if (text.isEmpty() || text.length() > MAX_TEXT_LENGTH) {
      throw damagedToken(
          text.length() + " characters; the allowed length is 1 to " + MAX_TEXT_LENGTH, null);
    }
    try {
      byte[] bytes = Base64.getUrlDecoder().decode(text);
      // The decoder ignores the unused bits of the last character if the length is not a multiple
      // of four, so that a modified last character could pass.
      if (!text.equals(ENCODER.encodeToString(bytes))) {
        throw damagedToken("it is not in the canonical base64url form", null);
      }
      return SignedToken.parseFrom(bytes);
    } catch (IllegalArgumentException | InvalidProtocolBufferException failure) {
      throw damagedToken("it is not a signed token in base64url", failure);
    }
  }

  private static SessionToken parseContent(ByteString content) {
    try {
      return SessionToken.parseFrom(content);
    } catch (InvalidProtocolBufferException failure) {
      throw damagedToken("its content cannot be parsed", failure);
    }
  }

  private static AlderyardException damagedToken(String detail, Exception cause) {
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
                    "no key for session tokens is in force; submit a ticket with a key ring"));
  }

  /**
   * Returns the key with the ID; fails if a ticket retired the key or the view does not contain it
   * yet.
   */
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
              + " s old; the maximum is "
              + maxAge.toSeconds()
              + " s");
    }
  }

  private static SessionState toState(SessionToken token, PoolName pool) {
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
      mac.update(DOMAIN_SEPARATOR);
      mac.update(content.asReadOnlyByteBuffer());
      return mac.doFinal();
    } catch (GeneralSecurityException failure) {
      throw new IllegalStateException("every Java runtime supports " + ALGORITHM, failure);
    }
  }
}
