//! Limits, timeouts and intervals of the core, apart from the settings of the decision module.

use super::Limits;
use crate::interface::Micros;
use std::time::Duration;

/// Time without an event until which the protocol takes an engine for a running one. A client must not be
/// left waiting for longer.
const ENGINE_HANG_TIME: Duration = Duration::from_secs(5);
/// Part of that time that remains for the end of an answer to reach its client.
const HANG_END_MARGIN: Duration = Duration::from_millis(150);

/// Limits, timeouts and intervals of the core.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Limits on open requests and retained answers.
    pub limits: Limits,
    /// Maximum time between two events of a streamed answer before the answer fails.
    pub max_engine_silence: Duration,
    /// Maximum time that one engine may take to accept a release.
    pub release_timeout: Duration,
    /// Maximum time that an attempt waits for the release that precedes it.
    pub max_release_wait: Duration,
    /// Maximum time that an engine may take to answer a load probe.
    pub probe_timeout: Duration,
    /// Delay of a release after a broken read, so that the engine notices the broken connection before the
    /// release call.
    pub release_delay: Duration,
    /// Time for which a cancelled attempt still counts as in flight, until its connection has closed.
    pub connection_close_delay: Duration,
    /// Interval at which the counts of answers are logged.
    pub report_interval: Duration,
    /// Interval at which the number of avoided engines is updated.
    pub avoided_check_interval: Duration,
    /// Returns the current Unix time of the system clock, which may be stepped.
    pub wall_clock: fn() -> Micros,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            limits: Limits {
                max_requests: 800,
                max_body_bytes: 32 << 20,
                answer_retention: Duration::from_secs(60),
                max_retained_bytes: 8 << 20,
            },
            max_engine_silence: ENGINE_HANG_TIME - HANG_END_MARGIN,
            release_timeout: Duration::from_millis(100),
            max_release_wait: Duration::from_millis(250),
            probe_timeout: Duration::from_millis(250),
            release_delay: Duration::from_millis(40),
            connection_close_delay: Duration::from_millis(10),
            report_interval: Duration::from_secs(10),
            avoided_check_interval: Duration::from_millis(200),
            wall_clock: super::clock::wall_now,
        }
    }
}
