//! Schedule of a planned stop. The process is killed some time after it was asked to stop.

use crate::gateway::ShutdownSchedule;
use crate::interface::Settings;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum for a request deadline in the computation of the kill time: a longer deadline counts as this
/// duration. A process that was asked to stop is killed no sooner than after its longest counted deadline
/// plus `KILL_MARGIN`.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Minimum time between the longest counted deadline and the kill.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Time before the kill at which the last answer is given.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Time before the kill at which the process ends, even if some states have not been released.
const EXIT_MARGIN: Duration = Duration::from_millis(20);
/// Minimum time for which new connections and requests are still accepted after the request to stop, because
/// another gateway may be restarting at that moment.
const SERVE_BASE: Duration = Duration::from_millis(500);
/// Fraction of the longest counted deadline by which that time is extended.
const SERVE_DEADLINE_FRACTION: f64 = 0.3;
/// Maximum time for which requests are still accepted if clients do not request the rest of a broken answer.
/// An answer could still be streaming when the process is killed. The protocol allows that only for requests
/// that arrive within 0.7 s of the request to stop.
const MAX_SERVE_WITHOUT_RESUME: Duration = Duration::from_millis(600);
/// First and last time at which running answers are handed off to another gateway, as fractions of the time
/// until the kill. They are late so that most answers complete by themselves and a gateway that was stopped
/// before this one has restarted.
const HAND_OFF_FRACTIONS: (f64, f64) = (0.65, 0.85);

/// Times of the steps that follow a request to stop.
pub(super) struct StopPlan {
    /// Times until which requests are accepted and answered, and the period in which running answers are
    /// handed off.
    pub(super) schedule: ShutdownSchedule,
    /// Time for which new connections and requests are still accepted.
    pub(super) serve_for: Duration,
    /// Time at which the process ends, even if work is left.
    pub(super) ends_by: Instant,
}

impl StopPlan {
    /// Computes the plan from the settings at the time of the request to stop. `resume` is true if clients
    /// request the rest of an answer whose connection broke.
    pub(super) fn new(requested_at: Instant, settings: &Settings, resume: bool) -> Self {
        let max_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let counted_deadline = Duration::from_micros(max_deadline).min(MAX_COUNTED_DEADLINE);
        let kill_delay = counted_deadline + KILL_MARGIN;
        let (hand_off_from, hand_off_until) =
            (kill_delay.mul_f64(HAND_OFF_FRACTIONS.0), kill_delay.mul_f64(HAND_OFF_FRACTIONS.1));
        let schedule = ShutdownSchedule {
            accept_until: (!resume).then_some(requested_at + MAX_SERVE_WITHOUT_RESUME),
            answer_deadline: requested_at + kill_delay - ANSWER_MARGIN,
            hand_off: resume.then_some((requested_at + hand_off_from, hand_off_until - hand_off_from)),
        };
        let serve_for = SERVE_BASE + counted_deadline.mul_f64(SERVE_DEADLINE_FRACTION);
        let serve_for = if resume { serve_for } else { serve_for.min(MAX_SERVE_WITHOUT_RESUME) };
        Self { schedule, serve_for, ends_by: requested_at + kill_delay - EXIT_MARGIN }
    }
}
