package org.alderyard.proxy.session;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.id.Position;
import org.alderyard.common.view.GroupState;
import org.alderyard.common.view.SigningKey;
import org.alderyard.common.view.TermStart;
import org.alderyard.common.view.View;
import org.alderyard.common.view.ViewVersion;
import org.junit.jupiter.api.Test;

/** Tests valid and damaged session tokens that move between proxies. */
class SessionTokensTest {
  private static final PoolName POOL = new PoolName("listings");
  private static final GroupId GROUP = new GroupId("g1");
  private static final Instant NOW = Instant.parse("2026-12-02T12:00:00Z");
  private static final SigningKey OLD_KEY = key(1, (byte) 7);
  private static final SigningKey NEW_KEY = key(2, (byte) 9);

  private final SessionTokens tokens = new SessionTokens(() -> NOW, Duration.ofHours(24));

  private static SigningKey key(int id, byte fillByte) {
    byte[] secret = new byte[32];
    Arrays.fill(secret, fillByte);
    return new SigningKey(id, secret);
  }

  private static GroupState group(long term, TermStart... history) {
    return new GroupState(GROUP, term, Optional.empty(), List.of(history), 5, 35);
  }

  private static View view(List<SigningKey> keys, GroupState... groups) {
    Map<GroupId, GroupState> byId = new LinkedHashMap<>();
    for (GroupState group : groups) {
      byId.put(group.id(), group);
    }
    return new View(new ViewVersion(1, 1), Map.of(), byId, Map.of(), Map.of(), keys);
  }

  private static SessionState session(Position position) {
    return SessionState.of(POOL, Map.of(GROUP, position), false);
  }

  private ErrorCode rejection(String text, PoolName pool, View view) {
    AlderyardException error =
        assertThrows(AlderyardException.class, () -> tokens.decode(text, pool, view));
    assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
    return error.code();
  }

  @Provide
  Arbitrary<Map<GroupId, Position>> positions() {
    Arbitrary<GroupId> groups =
        Arbitraries.integers().between(0, 90).map(n -> new GroupId("g" + n));
    Arbitrary<Position> positionValues =
        Arbitraries.longs()
            .between(1, 5)
            .flatMap(t -> Arbitraries.longs().between(1, 1000).map(i -> new Position(t, i)));
    return Arbitraries.maps(groups, positionValues).ofMaxSize(SessionState.MAX_GROUPS);
  }

  @Property(seed = "20261202", tries = 200)
  void roundTripRestoresSession(
      @ForAll("positions") Map<GroupId, Position> positions, @ForAll boolean folded) {
    SessionState session = SessionState.of(POOL, positions, folded);
    View view = view(List.of(NEW_KEY));
    SessionState decoded = tokens.decode(tokens.encode(session, view), POOL, view);
    assertThat(decoded).isEqualTo(session);
    assertThat(List.copyOf(decoded.positions().keySet()))
        .isEqualTo(List.copyOf(session.positions().keySet()));
  }

  @Property(seed = "20261202", tries = 200)
  void mergeRequiresAllThatEitherSideRequires(
      @ForAll("positions") Map<GroupId, Position> leftPositions,
      @ForAll("positions") Map<GroupId, Position> rightPositions,
      @ForAll boolean leftFolded,
      @ForAll boolean rightFolded) {
    SessionState left = SessionState.of(POOL, leftPositions, leftFolded);
    SessionState right = SessionState.of(POOL, rightPositions, rightFolded);
    SessionState merged = left.merge(right);
    assertThat(merged.positions().size()).isAtMost(SessionState.MAX_GROUPS);
    for (int i = 0; i <= 90; i++) {
      GroupId group = new GroupId("g" + i);
      for (ReadRequirement side : List.of(left.requirement(group), right.requirement(group))) {
        ReadRequirement mergedRequirement = merged.requirement(group);
        assertThat(
                mergedRequirement.primaryOnly()
                    || !side.primaryOnly()
                        && mergedRequirement.position().compareTo(side.position()) >= 0)
            .isTrue();
      }
    }
  }

  @Property(seed = "20261202", tries = 300)
  void everyFlippedBitIsRejected(@ForAll @IntRange(min = 0, max = 100_000) int offset) {
    View view = view(List.of(OLD_KEY, NEW_KEY));
    byte[] bytes = Base64.getUrlDecoder().decode(tokens.encode(session(new Position(3, 40)), view));
    int bit = offset % (bytes.length * 8);
    bytes[bit / 8] ^= (byte) (1 << (bit % 8));
    String damaged = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    assertThat(rejection(damaged, POOL, view))
        .isAnyOf(ErrorCode.TOKEN_DAMAGED, ErrorCode.TOKEN_FORGED, ErrorCode.TOKEN_EXPIRED);
  }

  /**
   * Guards against a modified last character: the base64 decoder ignores its unused bits, so the
   * token would be accepted.
   */
  @Test
  void everyChangedCharacterIsRejected() {
    View view = view(List.of(OLD_KEY));
    for (long index : new long[] {1, 200, 40_000}) {
      String text = tokens.encode(session(new Position(3, index)), view);
      for (int i = 0; i < text.length(); i++) {
        char other = text.charAt(i) == 'B' ? 'C' : 'B';
        String changed = text.substring(0, i) + other + text.substring(i + 1);
        assertThat(rejection(changed, POOL, view))
            .isAnyOf(ErrorCode.TOKEN_DAMAGED, ErrorCode.TOKEN_FORGED, ErrorCode.TOKEN_EXPIRED);
      }
    }
  }

  @Test
  void everyTruncationIsRejected() {
    View view = view(List.of(OLD_KEY));
    String text = tokens.encode(session(new Position(3, 40)), view);
    for (int length = 1; length < text.length(); length++) {
      assertThat(rejection(text.substring(0, length), POOL, view))
          .isAnyOf(ErrorCode.TOKEN_DAMAGED, ErrorCode.TOKEN_FORGED, ErrorCode.TOKEN_EXPIRED);
    }
    assertThat(rejection("not base64 at all!", POOL, view)).isEqualTo(ErrorCode.TOKEN_DAMAGED);
    assertThat(rejection("A".repeat(20_000), POOL, view)).isEqualTo(ErrorCode.TOKEN_DAMAGED);
  }

  @Test
  void tokenRemainsValidDuringKeyRotation() {
    String old = tokens.encode(session(new Position(1, 5)), view(List.of(OLD_KEY)));
    View rotated = view(List.of(NEW_KEY, OLD_KEY));
    assertThat(tokens.decode(old, POOL, rotated)).isEqualTo(session(new Position(1, 5)));
    assertThat(rejection(old, POOL, view(List.of(NEW_KEY)))).isEqualTo(ErrorCode.TOKEN_EXPIRED);
  }

  @Test
  void tokenSignedWithAnotherSecretIsForged() {
    String forged =
        tokens.encode(session(new Position(1, 5)), view(List.of(key(OLD_KEY.id(), (byte) 8))));
    assertThat(rejection(forged, POOL, view(List.of(OLD_KEY)))).isEqualTo(ErrorCode.TOKEN_FORGED);
  }

  @Test
  void tokenOfAnotherPoolAndOldTokenAreRejected() {
    View view = view(List.of(OLD_KEY));
    String text = tokens.encode(session(new Position(1, 5)), view);
    assertThat(rejection(text, new PoolName("ledger"), view)).isEqualTo(ErrorCode.TOKEN_WRONG_POOL);
    SessionTokens tokensNextWeek =
        new SessionTokens(() -> NOW.plus(Duration.ofDays(7)), Duration.ofHours(24));
    AlderyardException error =
        assertThrows(AlderyardException.class, () -> tokensNextWeek.decode(text, POOL, view));
    assertThat(error.code()).isEqualTo(ErrorCode.TOKEN_EXPIRED);
  }

  /**
   * Guards against stale reads after a failover. The session observed index 100 of term 1; term 2
   * started at index 40 and has passed 100. By index alone every server appears current, but the
   * observed write is lost and the caller must receive an error.
   */
  @Test
  void lostTailIsReportedAlthoughItsIndexIsReused() {
    View viewAfterFailover =
        view(List.of(OLD_KEY), group(2, new TermStart(1, 0), new TermStart(2, 40)));
    String token = tokens.encode(session(new Position(1, 100)), viewAfterFailover);
    assertThat(rejection(token, POOL, viewAfterFailover)).isEqualTo(ErrorCode.SESSION_TAIL_LOST);
    String keptToken = tokens.encode(session(new Position(1, 40)), viewAfterFailover);
    assertThat(tokens.decode(keptToken, POOL, viewAfterFailover))
        .isEqualTo(session(new Position(1, 40)));
  }

  /**
   * Two concurrent requests span a failover: one token holds the lost index 100 of term 1, the
   * other index 150 of term 2. Merging them first would hide the loss behind the later term, so
   * each token is checked separately.
   */
  @Test
  void mergeDoesNotHideLostTail() {
    View viewAfterFailover =
        view(List.of(OLD_KEY), group(2, new TermStart(1, 0), new TermStart(2, 40)));
    String lostToken = tokens.encode(session(new Position(1, 100)), viewAfterFailover);
    String validToken = tokens.encode(session(new Position(2, 150)), viewAfterFailover);
    assertThat(rejection(lostToken + "," + validToken, POOL, viewAfterFailover))
        .isEqualTo(ErrorCode.SESSION_TAIL_LOST);
    assertThat(rejection(validToken + ", " + lostToken, POOL, viewAfterFailover))
        .isEqualTo(ErrorCode.SESSION_TAIL_LOST);
  }

  /**
   * The view of the proxy is one failover behind the session. The proxy cannot determine what term
   * 2 lost, and its known primary may be replaced, so the request fails with a retryable error.
   */
  @Test
  void sessionAheadOfViewIsRejectedAsRetryable() {
    View staleView = view(List.of(OLD_KEY), group(1, new TermStart(1, 0)));
    String token = tokens.encode(session(new Position(2, 41)), staleView);
    AlderyardException error =
        assertThrows(AlderyardException.class, () -> tokens.decode(token, POOL, staleView));
    assertThat(error.code()).isEqualTo(ErrorCode.NO_PRIMARY);
    assertThat(error.retryAfterMillis().isPresent()).isTrue();
  }

  @Test
  void oldestGroupsAreFoldedAndRequireThePrimary() {
    SessionState session = SessionState.empty(POOL);
    List<GroupState> groups = new ArrayList<>();
    for (int i = 0; i <= SessionState.MAX_GROUPS; i++) {
      groups.add(new GroupState(new GroupId("g" + i), 1, Optional.empty(), List.of(), 5, 35));
      session = session.observe(groups.get(i), new Position(1, i + 1));
    }
    assertThat(session.folded()).isTrue();
    assertThat(session.requirement(groups.get(0).id())).isEqualTo(ReadRequirement.PRIMARY);
    assertThat(session.requirement(groups.get(1).id()))
        .isEqualTo(ReadRequirement.atLeast(new Position(1, 2)));
    View view = view(List.of(OLD_KEY));
    assertThat(tokens.encode(session, view).length()).isLessThan(SessionTokens.MAX_TEXT_LENGTH);
  }
}
