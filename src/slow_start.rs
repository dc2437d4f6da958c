//! Slow start: the limit on the calls that a server gets right after its start.
//!
//! The budget of a server is the number of calls of mean work that all routers together may send to the
//! server in any sliding window. Each router has an equal part of the budget and counts only its own sends,
//! so that the budget holds however the load is spread over routers, zones and servers.
//!
//! - A part of at least one call per window is a quota. A random admission for each call, by a hash of the
//!   call and the server, keeps the usual number of calls well below the quota.
//! - With a smaller part, a router has slots. A slot admits one call, and is lost if it is not used in time.
//!   Slots recur with a period that gives the router its part. Their phases are spread evenly over the
//!   routers, or random where routers do not know their numbers, so that only a part of the routers has a
//!   slot that overlaps a window. Their number is limited even if all of them send at the first
//!   opportunity, whatever caused them to.

use crate::interface::Micros;
use crate::numeric::{hash_fraction, hash_pair, micros, seconds};

/// Fraction of the regular calls that admission targets where a quota limits the calls.
/// The rest allows for random variation.
const TARGET_FRACTION: f64 = 0.6;
/// Minimum quota, in calls, that limits a router. A router with less has slots instead.
const MIN_QUOTA: f64 = 1.0;
/// Standard deviations, as for random phases, by which the number of routers whose
/// slots overlap a window is kept below the budget: for phases that are spread evenly, and random ones.
const SLOT_MARGIN_DEVIATIONS: [f64; 2] = [3.25, 4.75];
/// Maximum mean number of routers whose slots overlap a window, as a fraction of the
/// budget. The rest allows for routers that take the budget for larger than it is.
const MAX_SLOT_FRACTION: f64 = 0.7;
/// Requests that are expected to arrive at a router in one of its slots.
const ARRIVALS_PER_SLOT: f64 = 1.0;
/// Exponent with which the part of the slots that admit a call falls with the call's work.
const LONG_CALL_EXPONENT: f64 = 1.5;
/// Maximum number of slots, one after the other, that fit into a window.
const MAX_SLOTS_PER_WINDOW: Micros = 4;
/// Interval, in microseconds of the server's age, at which slots may begin.
const SLOT_STEP: Micros = 100_000;
/// Maximum time, in microseconds, by which slots are brought up to date at once.
const MAX_CATCH_UP: Micros = 600_000_000;
/// Fractional part of the golden ratio. Its multiples are spread evenly modulo 1.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Number of regular calls from which the smaller allowance for chance applies.
const MANY_CALLS: f64 = 30.0;

/// Returns the number of calls that all routers together may send in a window.
/// It is the number of regular calls in a window, and an allowance for chance.
pub fn budget(calls: f64) -> f64 {
    let of_many = |calls: f64| calls + 2.0 * calls.sqrt() + 2.0;
    // The budget must not fall as the number of regular calls grows: a router knows that number only
    // roughly, and an estimate just below `MANY_CALLS` must not allow more calls than one just above.
    let of_few = (calls + 3.0 * calls.sqrt() + 3.0).min(of_many(MANY_CALLS));
    if calls < MANY_CALLS { of_few } else { of_many(calls) }
}

/// Returns the number of calls that each of the routers may send in a window, from the number
/// of regular calls in a window. Returns `None` if the quota is less than one call.
pub fn quota(calls: f64, routers: f64) -> Option<f64> {
    let quota = (checked_budget(calls) / routers).floor();
    (quota >= MIN_QUOTA).then_some(quota)
}

/// Returns the budget, with a number of regular calls that is negative or not finite taken as 0.
fn checked_budget(calls: f64) -> f64 {
    budget(if calls.is_finite() { calls.max(0.0) } else { 0.0 })
}

/// The rule by which a call is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call fits into this router's quota of the budget.
    Quota,
    /// The quota is less than one call, or less than the work of the call, and a slot of this router is open.
    Slot,
}

impl Admission {
    /// Returns the name of the rule in the log and in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Quota => "quota",
            Self::Slot => "slot",
        }
    }
}

/// Returns the probability with which a slot of a router may overlap a window: the largest one with which the
/// number of such routers, plus a margin for random variation, stays within the budget.
fn overlap_probability(budget: f64, routers: f64, margin_deviations: f64) -> f64 {
    if budget >= routers {
        return 1.0;
    }
    // Solves routers * p + deviations * sqrt(routers * p * (1 - p)) = budget for p.
    let variance_factor = margin_deviations * margin_deviations * routers;
    let (quadratic, linear) = (routers * routers + variance_factor, 2.0 * budget * routers + variance_factor);
    let discriminant = linear * linear - 4.0 * quadratic * budget * budget;
    let probability = (linear - discriminant.max(0.0).sqrt()) / (2.0 * quadratic);
    probability.min(MAX_SLOT_FRACTION * budget / routers)
}

/// What determines how often a router has a slot. It is the same for all routers of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct SlotPlan {
    /// Number of routers of the fleet.
    pub routers: f64,
    /// True if the phases are spread evenly over the routers, because each router knows its number.
    pub has_even_phases: bool,
    /// Length of the window, with the time that a call may take to arrive.
    pub window: Micros,
    /// Requests per second that a router gets in the mean of the fleet at its configured rate, or 0.
    pub mean_arrival_rate: f64,
}

impl SlotPlan {
    /// Returns the length of a slot. A slot has to be long enough for a request to arrive. But
    /// the longer the slots are, the fewer are allowed, because more of them overlap a window.
    fn slot_length(&self) -> Micros {
        let window = self.window.max(SLOT_STEP);
        let min_length = (window / MAX_SLOTS_PER_WINDOW).max(SLOT_STEP);
        micros(ARRIVALS_PER_SLOT / self.mean_arrival_rate.max(1e-3)).clamp(min_length, window)
    }

    /// Returns the time from the beginning of a slot to that of the next one.
    fn period_s(&self, regular_calls: f64) -> f64 {
        let deviations = SLOT_MARGIN_DEVIATIONS[usize::from(!self.has_even_phases)];
        let (budget, routers) = (checked_budget(regular_calls), self.routers.max(1.0));
        let overlap = overlap_probability(budget, routers, deviations);
        seconds(self.window + self.slot_length()) / overlap.max(1e-6)
    }
}

/// The slots of one router at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slots {
    /// Hash by which the maximum work of each slot is drawn.
    hash: u64,
    /// Number of slots that have begun.
    count: u64,
    /// Elapsed fraction of the period before the next slot.
    progress: f64,
    updated_at: Micros,
    begun_at: Micros,
    ends_at: Micros,
    /// Expected beginning of the next slot, and its end.
    next: (Micros, Micros),
}

impl Slots {
    /// Creates the slots of a router at a server that started at the given time. All routers
    /// have the same hash of the server. The seed and the number differ between routers.
    pub fn new(server_hash: u64, started_at: Micros, instance: Option<u32>, seed: u64) -> Self {
        let hash = hash_pair(server_hash, seed);
        let phase = match instance {
            Some(number) => hash_fraction(server_hash) + f64::from(number) * GOLDEN_RATIO_FRACTION,
            None => hash_fraction(hash_pair(hash, 0)),
        };
        Self { hash, progress: phase.fract(), updated_at: started_at, ..Self::default() }
    }

    /// Moves on to the present while the server is not in slow start: no slot begins.
    pub fn pause(&mut self, now: Micros) {
        self.updated_at = now;
    }

    /// Moves on to the present, and begins each slot that is due. `regular_calls` gives the number of regular
    /// calls in a window at a time. Routers move on in equal steps of the server's age, so
    /// that their phases stay spread as they are, whenever a router learns of the start.
    pub fn advance(&mut self, now: Micros, plan: &SlotPlan, regular_calls: impl Fn(Micros) -> f64) {
        let slot_length = plan.slot_length();
        let excess = now.saturating_sub(self.updated_at).saturating_sub(MAX_CATCH_UP);
        self.updated_at += excess.next_multiple_of(SLOT_STEP);
        while self.updated_at + SLOT_STEP <= now {
            let period_s = plan.period_s(regular_calls(self.updated_at));
            self.progress += seconds(SLOT_STEP) / period_s;
            self.updated_at += SLOT_STEP;
            if self.progress >= 1.0 {
                self.progress -= 1.0;
                self.count += 1;
                (self.begun_at, self.ends_at) = (self.updated_at, self.updated_at + slot_length);
            }
            let next_at = self.updated_at + micros((1.0 - self.progress) * period_s);
            self.next = (next_at, next_at + slot_length);
        }
    }

    /// Returns the slot that is open. In its last part, of the given duration, the slot admits any request.
    pub fn open_slot(&self, now: Micros, last_part: Micros) -> Option<OpenSlot> {
        // Long calls fit into few slots, because a few of them vary the sum as much as many short ones.
        let max_work = hash_fraction(hash_pair(self.hash, self.count)).powf(-1.0 / LONG_CALL_EXPONENT);
        let takes_any_request = now + last_part >= self.ends_at;
        (self.begun_at <= now && now < self.ends_at).then_some(OpenSlot { max_work, takes_any_request })
    }

    /// Returns true if a slot is expected to be open at a time, now or in the future.
    pub fn is_open_at(&self, time: Micros) -> bool {
        let is_within = |(begin, end): (Micros, Micros)| begin <= time && time < end;
        is_within((self.begun_at, self.ends_at)) || is_within(self.next)
    }

    /// Closes the open slot after its call.
    pub fn close(&mut self) {
        self.ends_at = self.begun_at;
    }
}

/// A slot that is open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenSlot {
    /// Maximum work of the call, in calls of mean work.
    pub max_work: f64,
    /// False while the slot waits for requests that suit the server: at a reader, those
    /// whose first preferred reader it is, and at a writer, those that were read in its zone.
    pub takes_any_request: bool,
}

/// A call that one router might send to a server in slow start.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Number of regular calls in a window, in calls of mean work: the
    /// overload factor, times the present capacity, times the window.
    pub regular_calls: f64,
    /// Number of routers of the fleet.
    pub routers: f64,
    /// Work that this router has sent to the server within the window, in calls of mean work.
    pub sent_work: f64,
    /// Work of this call, in calls of mean work.
    pub work: f64,
    /// Fraction of such calls that would add up to the regular calls if the fleet were at its capacity.
    pub fraction: f64,
    /// This router's equal part of the capacity of the fleet, as a multiple of its own arrival rate.
    pub headroom: f64,
    /// Hash fraction of the call at this server, in [0, 1).
    pub hash_fraction: f64,
    /// The open slot of this router at the server.
    pub open_slot: Option<OpenSlot>,
}

impl Offer {
    /// Returns the rule that admits the call, or `None` if the call must not be sent.
    pub fn admission(&self) -> Option<Admission> {
        if let Some(quota) = quota(self.regular_calls, self.routers).filter(|quota| self.work <= *quota) {
            let is_admitted = self.sent_work + self.work <= quota
                && self.hash_fraction < self.fraction * (TARGET_FRACTION * self.headroom).min(1.0);
            return is_admitted.then_some(Admission::Quota);
        }
        let max_work =
            self.open_slot.map_or(0.0, |slot| slot.max_work.min(checked_budget(self.regular_calls)));
        let is_admitted = self.sent_work == 0.0 && self.work <= max_work;
        is_admitted.then_some(Admission::Slot)
    }
}
