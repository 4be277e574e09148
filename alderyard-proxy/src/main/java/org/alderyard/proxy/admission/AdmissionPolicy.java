package org.alderyard.proxy.admission;

/** Decides whether a statement runs, waits or is refused. Implementations are thread-safe. */
public interface AdmissionPolicy {
  /** Decides about a statement that has just arrived. */
  AdmissionDecision decide(AdmissionRequest request, AdmissionLoad load, long nowNanos);

  /** Decides again about a statement that was told to wait before. */
  AdmissionDecision decideAgain(AdmissionRequest request, AdmissionLoad load, long nowNanos);
}
