//! The times of a planned stop, which is followed by a kill.

use crate::gateway::Departure;
use crate::interface::Settings;
use std::time::Duration;
use tokio::time::Instant;

/// A program that was asked to stop is killed no sooner than after its longest deadline, counted as this
/// where it is longer, and a little more.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// How long before that the last answer is given.
const ANSWERED_BEFORE: Duration = Duration::from_millis(300);
/// How long before that the process ends, also where something is still being let go.
const ENDED_BEFORE: Duration = Duration::from_millis(20);
/// For how long new connections and requests are still taken, in any case and as a part of the longest
/// deadline: another gateway may be restarting just then.
const LEAVING: Duration = Duration::from_millis(500);
const LEAVING_PART: f64 = 0.3;
/// Where clients do not ask for the rest of an answer no more is taken that could still run when the program is
/// killed: what comes within this time of the order may (protocol: 0.7 s).
const LEAVING_WHOLE: Duration = Duration::from_millis(600);
/// When running answers are handed over, as parts of the time until the end, first and last: late, so that
/// most end by themselves and a gateway that stopped before this one is back.
const HAND_OVER: (f64, f64) = (0.65, 0.85);
/// What happens when, once the program was asked to stop.
pub(super) struct StopPlan {
    /// When requests are answered and running answers ended at the latest.
    pub(super) departure: Departure,
    /// For how long new connections and requests are still taken.
    pub(super) serve_for: Duration,
    /// By when the process ends, whatever is left.
    pub(super) ends_by: Instant,
}

impl StopPlan {
    /// A plan by the settings as they are when the stop is asked for; `resume` tells whether clients ask for the rest of an
    /// answer that broke.
    pub(super) fn new(asked: Instant, settings: &Settings, resume: bool) -> Self {
        let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let counted = Duration::from_micros(longest).min(LONGEST_COUNTED);
        let end = counted + KILLED_AFTER;
        let (first, last) = (end.mul_f64(HAND_OVER.0), end.mul_f64(HAND_OVER.1));
        let departure = Departure {
            take_until: (!resume).then_some(asked + LEAVING_WHOLE),
            answers_by: asked + end - ANSWERED_BEFORE,
            hand_over: resume.then_some((asked + first, last - first)),
        };
        let serve_for = LEAVING + counted.mul_f64(LEAVING_PART);
        let serve_for = if resume { serve_for } else { serve_for.min(LEAVING_WHOLE) };
        Self { departure, serve_for, ends_by: asked + end - ENDED_BEFORE }
    }
}
