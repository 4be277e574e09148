package org.alderyard.cli.prove;

import java.util.Objects;
import org.alderyard.cli.local.LocalSystem;

/**
 * One attack on a local system.
 *
 * @param name the name for the report
 * @param attack does the harm, lets it last, and mends it before it returns
 */
record Fault(String name, Attack attack) {

  /** Checks. */
  Fault {
    Objects.requireNonNull(name);
    Objects.requireNonNull(attack);
  }

  void inject(LocalSystem system, FaultContext context) {
    attack.inject(system, context);
  }

  /** What an attack does. */
  @FunctionalInterface
  interface Attack {

    /** Does the harm, lets it last, and mends it. */
    void inject(LocalSystem system, FaultContext context);
  }
}
