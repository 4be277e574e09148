package org.alderyard.daemon;

/** A part of a process that ends its work before the process ends. */
interface Drainable {

  /** Takes no new work, and returns when what runs has ended or its time is over. */
  void drain();
}
