package org.alderyard.proxy.callersession;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.alderyard.proxy.admission.AdmissionDecision;

/** Metrics of admission decisions. Labels have only fixed values. */
final class AdmissionMetrics {
  private final Counter decisions;
  private final Counter refusals;
  private final Counter lateRefusals;
  private final Counter resendsDenied;

  AdmissionMetrics(PrometheusRegistry registry) {
    decisions =
        Counter.builder()
            .name("alderyard_admission_decisions")
            .help("Admission decisions about statements, by result.")
            .labelNames("decision")
            .register(registry);
    refusals =
        Counter.builder()
            .name("alderyard_admission_refusals")
            .help("Statements that were not admitted, by reason.")
            .labelNames("reason")
            .register(registry);
    lateRefusals =
        counter(
            registry,
            "alderyard_admission_refusals_late",
            "Statements that were not admitted after over a quarter of their objective.");
    resendsDenied =
        counter(
            registry,
            "alderyard_admission_resends_denied",
            "Statements that were not sent again, as the budget was used up.");
  }

  private static Counter counter(PrometheusRegistry registry, String name, String help) {
    return Counter.builder().name(name).help(help).register(registry);
  }

  void countDecision(AdmissionDecision decision) {
    decisions.labelValues(name(decision)).inc();
  }

  private static String name(AdmissionDecision decision) {
    if (decision instanceof AdmissionDecision.Run) {
      return "run";
    }
    return decision instanceof AdmissionDecision.Wait ? "wait" : "reject";
  }

  void countRefusal(AdmissionDecision.Reason reason, boolean late) {
    refusals.labelValues(reason.name().toLowerCase(Locale.ROOT)).inc();
    if (late) {
      lateRefusals.inc();
    }
  }

  void countResendDenied() {
    resendsDenied.inc();
  }
}
