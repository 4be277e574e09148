package org.alderyard.control.log;

import org.alderyard.common.error.AlderyardException;

/** Is told of what befalls the log of this host; calls come one at a time and must return soon. */
public interface LogListener {

  /**
   * The host began or ceased to lead.
   *
   * @param term the term of the log
   * @param leading true once the host leads and its state machine holds everything committed before
   */
  default void onLeadership(long term, boolean leading) {}

  /** The log stopped for good, such as after a failed sync; the process must end. */
  default void onFailure(AlderyardException failure) {}
}
