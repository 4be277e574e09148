package org.alderyard.cli.prove;

import java.util.Objects;
import org.alderyard.cli.local.LocalSystem;

/**
 * A named fault that can be injected into a local system.
 *
 * @param name name in the report
 * @param injection injects the fault and repairs the system before it returns
 */
record Fault(String name, Injection injection) {

  /** Rejects null components. */
  Fault {
    Objects.requireNonNull(name);
    Objects.requireNonNull(injection);
  }

  void inject(LocalSystem system, FaultContext context) {
    injection.inject(system, context);
  }

  /** The procedure that injects a fault. */
  @FunctionalInterface
  interface Injection {

    /** Injects the fault, waits while it lasts, and repairs the system. */
    void inject(LocalSystem system, FaultContext context);
  }
}
