package org.alderyard.cli.prove;

import java.util.Objects;
import org.alderyard.cli.local.LocalSystem;

/**
 * A named fault that can be injected into a local system.
 *
 * @param name name in the report
 * @param injection injects the fault and repairs the system before it returns
 * @param alone whether a network fault at the same time would exceed what a system tolerates
 */
record Fault(String name, Injection injection, boolean alone) {

  /** Rejects null components. */
  Fault {
    Objects.requireNonNull(name);
    Objects.requireNonNull(injection);
  }

  /** Creates a fault that may overlap with a network fault. */
  Fault(String name, Injection injection) {
    this(name, injection, false);
  }

  /** Creates a fault during which no network fault is injected. */
  static Fault alone(String name, Injection injection) {
    return new Fault(name, injection, true);
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
