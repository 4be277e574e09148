package org.alderyard.control.state;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.alderyard.common.log.LogText;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leaves out the objects of a snapshot that can't be read, so that they don't keep a host from
 * starting.
 */
public final class SnapshotFilter {
  private static final Logger log = LoggerFactory.getLogger(SnapshotFilter.class);
  private static final int MAX_LOGGED_CHARS = 200;

  private SnapshotFilter() {}

  /**
   * Returns the objects that can be read, in order, and logs each other one.
   *
   * @param nameOf returns the name of an object for the log
   * @param read reads an object; throws if that is impossible
   */
  public static <T> List<T> readable(
      List<T> objects, Function<T, String> nameOf, Consumer<T> read) {
    return objects.stream().filter(object -> isReadable(object, nameOf, read)).toList();
  }

  private static <T> boolean isReadable(T object, Function<T, String> nameOf, Consumer<T> read) {
    try {
      read.accept(object);
      return true;
    } catch (RuntimeException unreadable) {
      log.error(
          "event=snapshot-object-skipped object=\"{}\" reason=\"{}\"",
          LogText.sanitize(nameOf.apply(object), MAX_LOGGED_CHARS),
          LogText.sanitize(String.valueOf(unreadable.getMessage()), MAX_LOGGED_CHARS));
      return false;
    }
  }
}
