package org.alderyard.common.view;

import java.util.Comparator;

/**
 * The version of a view. A host never replaces its view by an older one.
 *
 * @param epoch a number that grows when the control state is rebuilt from another source
 * @param version the index of the last log entry that the view contains
 */
public record ViewVersion(long epoch, long version) implements Comparable<ViewVersion> {
  /** The version of the empty view. */
  public static final ViewVersion NONE = new ViewVersion(0, 0);

  private static final Comparator<ViewVersion> ORDER =
      Comparator.comparingLong(ViewVersion::epoch).thenComparingLong(ViewVersion::version);

  @Override
  public int compareTo(ViewVersion other) {
    return ORDER.compare(this, other);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ViewVersion that && epoch == that.epoch && version == that.version;
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(epoch) + Long.hashCode(version);
  }

  @Override
  public String toString() {
    return epoch + "." + version;
  }
}
