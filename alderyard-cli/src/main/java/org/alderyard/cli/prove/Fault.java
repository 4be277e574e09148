package org.alderyard.cli.prove;

import org.alderyard.cli.local.LocalSystem;

/** One attack on a local system: it does its harm, and mends it before it returns. */
interface Fault {

  /** Returns the name for the report. */
  String name();

  /** Does the harm, lets it last, and mends it. */
  void inject(LocalSystem system, FaultContext context);
}
