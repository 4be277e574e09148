package org.alderyard.benchmarks.capacity;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Prints the processor time of a running process. Arguments: process id and duration in seconds.
 */
public final class ProcessCost {

  private ProcessCost() {}

  /** Prints the milliseconds of processor time used per second. */
  public static void main(String[] args) throws IOException {
    if (args.length != 2) {
      System.err.println("usage: ProcessCost PID SECONDS");
      System.exit(2);
    }
    long seconds = Long.parseLong(args[1]);
    long before = ProcessTime.millis(args[0]);
    LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(seconds));
    double used = ProcessTime.millis(args[0]) - before;
    System.out.printf("%.2f ms of processor time a second%n", used / seconds);
  }
}
