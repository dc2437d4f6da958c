//! Counters with reasons and outcomes for operators, in addition to the statistics that the platform reads.

use super::invariants::Invariant;
use prometheus::{IntCounterVec, Opts, Registry, TextEncoder};

/// Prefix of the names of all metrics.
pub const PREFIX: &str = "edge_balancer";

/// Counters of one driver.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Violations of invariants, by invariant.
    pub(super) violations: IntCounterVec,
    /// Requests that the gateway refused or failed without an answer of a server, by reason.
    pub(super) given_up: IntCounterVec,
    /// Attempts that ended, by outcome.
    pub(super) attempts: IntCounterVec,
    /// Attempts after the first of a request, by the outcome of the previous attempt.
    pub(super) retries: IntCounterVec,
    /// Releases of states that servers hold, by result.
    pub(super) releases: IntCounterVec,
    /// Calls to servers in slow start, by the rule that admitted them.
    pub(super) slow_start_calls: IntCounterVec,
    /// Client connections that the gateway closed, by reason.
    closed: IntCounterVec,
}

impl Metrics {
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some(PREFIX.to_owned()), None)?;
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let violations = counter("invariant_violations", "Violations of an invariant.", "invariant")?;
        // Create each counter now, so that an invariant that was never violated is exported with the value 0.
        for invariant in Invariant::ALL {
            violations.with_label_values(&[invariant.name()]);
        }
        Ok(Self {
            violations,
            given_up: counter("given_up", "Requests refused or failed by the gateway.", "reason")?,
            attempts: counter("attempts_ended", "Attempts that ended.", "outcome")?,
            retries: counter("retries", "Attempts after the first of a request.", "after")?,
            releases: counter("releases", "Calls that let go of what servers hold.", "result")?,
            slow_start_calls: counter("slow_start_calls", "Calls to servers in slow start.", "admission")?,
            closed: counter("connections_closed", "Clients' connections closed.", "reason")?,
            registry,
        })
    }

    /// Counts a client connection that the gateway closed.
    pub fn count_closed(&self, reason: &str) {
        self.closed.with_label_values(&[reason]).inc();
    }

    /// Returns the counters in the Prometheus text format.
    pub fn text(&self) -> String {
        // Encoding fails only for a name that is registered twice or a metric family without values.
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
