//! Figures of the core that are not the decision module's.

use super::Limits;
use crate::interface::Micros;
use std::time::Duration;

/// Figures of the core that are not the module's.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Bounds on what is open.
    pub limits: Limits,
    /// How long an engine may be silent within an answer.
    pub silence: Duration,
    /// How long one engine may take to accept a release.
    pub release_patience: Duration,
    /// How long an attempt waits for a release that goes before it.
    pub release_first: Duration,
    /// How long one may take to answer a probe.
    pub probe_patience: Duration,
    /// How long after a broken read its state is let go, so that the call comes after the break.
    pub release_delay: Duration,
    /// How long an attempt that was given up still counts as out, until its connection has closed.
    pub closing: Duration,
    /// How often counts are logged.
    pub report_every: Duration,
    /// How often it is looked which engines are avoided.
    pub look_every: Duration,
    /// Unix time as the machine has it now, which may be stepped.
    pub wall_clock: fn() -> Micros,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            limits: Limits {
                requests: 800,
                bytes: 32 << 20,
                keep: Duration::from_secs(60),
                keep_bytes: 8 << 20,
            },
            silence: Duration::from_secs(4),
            release_patience: Duration::from_millis(100),
            release_first: Duration::from_millis(250),
            probe_patience: Duration::from_millis(250),
            release_delay: Duration::from_millis(40),
            closing: Duration::from_millis(10),
            report_every: Duration::from_secs(10),
            look_every: Duration::from_millis(200),
            wall_clock: super::clock::wall_now,
        }
    }
}
