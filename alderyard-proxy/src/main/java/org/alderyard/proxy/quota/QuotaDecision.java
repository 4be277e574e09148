package org.alderyard.proxy.quota;

/**
 * Whether an operation of an organisation may begin.
 *
 * @param retryAfterMillis when a refused operation may be tried again
 */
public record QuotaDecision(Verdict verdict, int retryAfterMillis) {
  /** The operation may begin. */
  public static final QuotaDecision ADMITTED = new QuotaDecision(Verdict.ADMITTED, 0);

  /** Why an operation may or may not begin. */
  public enum Verdict {
    /** The operation may begin. */
    ADMITTED,
    /** The organisation has reached its limit. */
    OVER_LIMIT,
    /** No host that counts the organisation's operations can be reached. */
    NO_COUNTER
  }

  /** Returns a refusal because the limit is reached. */
  static QuotaDecision overLimit(int retryAfterMillis) {
    return new QuotaDecision(Verdict.OVER_LIMIT, retryAfterMillis);
  }

  /** Returns a refusal because no counter can be reached. */
  static QuotaDecision noCounter(int retryAfterMillis) {
    return new QuotaDecision(Verdict.NO_COUNTER, retryAfterMillis);
  }
}
