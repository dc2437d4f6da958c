//! Invariants that the handling of every request must preserve, checked while the gateway runs.
//!
//! The guards prevent violations. Independent checks at the point of the action detect violations that the
//! guards missed, using the times at which each fact became known. A violation is counted and logged with the
//! ids concerned; the report has no other effect. A further attempt or a refusal that is found to violate an
//! invariant before it is sent is not sent.

use super::metrics::Metrics;
use crate::interface::RequestId;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// Time after the notification of a drain or removal during which a send may still begin, fixed by the
/// protocol.
pub(super) const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// Time after a client has disconnected during which an attempt for the client may still begin, fixed by the
/// protocol.
pub(super) const LEFT_GRACE: Duration = Duration::from_millis(100);
/// Time after the deadline of a request during which a final answer is still in time, fixed by the protocol.
pub(super) const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Time for which a state may be held beyond the limit in the settings, fixed by the protocol.
pub(super) const HELD_GRACE: Duration = Duration::from_millis(300);

/// A rule that the gateway must never violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Nothing is sent to a server after the grace period that follows the notification of its drain or
    /// removal.
    NoSendAfterDrain,
    /// No attempt begins after the grace period that follows the disconnection of its client.
    NoSendAfterClientLeft,
    /// Nothing is sent for a request that already has its final answer.
    NoSendAfterAnswer,
    /// No attempt begins while an earlier attempt of the same request is in flight.
    NoSecondCopy,
    /// A request that must not run twice is sent again only if every earlier attempt provably never ran.
    NoUnsafeRepeat,
    /// A repeat is written only within the window in which servers recognise repeats.
    NoRepeatAfterWindow,
    /// A request is refused only if a retry is harmless, considering every attempt that may have run.
    NoUntrueRefusal,
    /// A request gets its final answer by its deadline plus the grace period.
    AnsweredInTime,
    /// A request that was read from a client's connection is answered before the connection is closed.
    NoCloseUnanswered,
    /// A state that a server holds for a request is fetched or released in time.
    NothingHeldTooLong,
    /// A server in slow start receives no more work than this process's quota of the server's budget.
    SlowStartQuota,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Self; 11] = [
        Self::NoSendAfterDrain,
        Self::NoSendAfterClientLeft,
        Self::NoSendAfterAnswer,
        Self::NoSecondCopy,
        Self::NoUnsafeRepeat,
        Self::NoRepeatAfterWindow,
        Self::NoUntrueRefusal,
        Self::AnsweredInTime,
        Self::NoCloseUnanswered,
        Self::NothingHeldTooLong,
        Self::SlowStartQuota,
    ];

    /// Name of the invariant in the log and in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoSendAfterDrain => "no_send_after_drain",
            Self::NoSendAfterClientLeft => "no_send_after_client_left",
            Self::NoSendAfterAnswer => "no_send_after_answer",
            Self::NoSecondCopy => "no_second_copy",
            Self::NoUnsafeRepeat => "no_unsafe_repeat",
            Self::NoRepeatAfterWindow => "no_repeat_after_window",
            Self::NoUntrueRefusal => "no_untrue_refusal",
            Self::AnsweredInTime => "answered_in_time",
            Self::NoCloseUnanswered => "no_close_unanswered",
            Self::NothingHeldTooLong => "nothing_held_too_long",
            Self::SlowStartQuota => "slow_start_quota",
        }
    }
}

/// Counts violations, and logs each.
#[derive(Clone, Debug)]
pub struct Invariants(Rc<Metrics>);

impl Invariants {
    pub(super) fn new(metrics: Rc<Metrics>) -> Self {
        Self(metrics)
    }

    /// Counts and logs a violation by a request.
    pub fn report_violation(&self, invariant: Invariant, request: &RequestId, detail: impl fmt::Display) {
        log::error!("invariant violated name={} request={} {detail}", invariant.name(), request.0);
        self.0.violations.with_label_values(&[invariant.name()]).inc();
    }

    /// Returns the number of violations of an invariant so far.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.0.violations.with_label_values(&[invariant.name()]).get()
    }
}
