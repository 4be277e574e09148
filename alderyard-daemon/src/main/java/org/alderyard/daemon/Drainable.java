package org.alderyard.daemon;

/** Component that finishes its work before the process ends. */
interface Drainable {

  /** Stops accepting work and blocks until the running work ends or the time for it is over. */
  void drain();
}
