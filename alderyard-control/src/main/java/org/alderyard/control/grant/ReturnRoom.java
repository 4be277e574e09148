package org.alderyard.control.grant;

/**
 * How many of a server's connections are granted where servers refuse what is too much. Pure.
 *
 * <p>Guards against a return without room: when all hosts lose power, a server counts their dead
 * connections for seconds more. Hosts that had held all that it accepts were refused anew until
 * then, and their callers with them. So while the need allows it, the hosts together hold less than
 * half of what the server accepts, and the whole fleet finds room for the same number once more.
 */
final class ReturnRoom {
  private ReturnRoom() {}

  /** Returns how many may be held so that as many again, and one more, find room. */
  static int calm(int accepted) {
    return Math.max(0, (accepted - 1) / 2);
  }

  /**
   * Returns how many are granted in all.
   *
   * @param accepted the connections that the server accepts
   * @param grantable the most that may be granted of them
   * @param needed what all hosts together have work for
   */
  static int available(int accepted, int grantable, int needed) {
    return Math.min(grantable, Math.max(calm(accepted), needed));
  }
}
