//! Counters of why things happened, for those who run the gateway, beside the figures that the platform reads.

use super::invariants::Invariant;
use prometheus::{IntCounterVec, Opts, Registry, TextEncoder};

/// What the names of all figures begin with.
pub const PREFIX: &str = "edge_balancer";

/// Counters of one driver.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Violations, by invariant.
    pub(super) violations: IntCounterVec,
    /// Requests that were refused or failed without an answer of a server, by reason.
    pub(super) given_up: IntCounterVec,
    /// Attempts that ended, by how.
    pub(super) attempts: IntCounterVec,
    /// Attempts after the first of their request, by how the one before ended.
    pub(super) retries: IntCounterVec,
    /// Calls that let go of what servers hold, by what became of them.
    pub(super) releases: IntCounterVec,
    /// Clients' connections that the gateway closed, by reason.
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
        // An invariant that was never violated is shown, too.
        for invariant in Invariant::ALL {
            violations.with_label_values(&[invariant.name()]);
        }
        Ok(Self {
            violations,
            given_up: counter("given_up", "Requests refused or failed by the gateway.", "reason")?,
            attempts: counter("attempts_ended", "Attempts that ended.", "outcome")?,
            retries: counter("retries", "Attempts after the first of a request.", "after")?,
            releases: counter("releases", "Calls that let go of what servers hold.", "result")?,
            closed: counter("connections_closed", "Clients' connections closed.", "reason")?,
            registry,
        })
    }

    /// Counts a client's connection that was closed.
    pub fn count_closed(&self, reason: &str) {
        self.closed.with_label_values(&[reason]).inc();
    }

    /// The counters as Prometheus text.
    pub fn text(&self) -> String {
        // Only a name that is registered twice, or a family without values, could fail to be written.
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
