//! Slow start: what a server that has just started may be sent.
//!
//! Its budget is a number of calls of mean work in any sliding window, whichever routers send them. Each has
//! an equal quota of that and counts what it sent, so the sum holds whatever the others do. A draw a call
//! keeps the usual sum well below the budget; where the quota is less than two calls, only draws bound it.

const AIM: f64 = 0.6; // part of N that is aimed at; the rest is for chance
const AHEAD_UNKNOWN: f64 = 0.4; // what `ahead` is taken for where little came yet
const SURGE: f64 = 1.5; // times what the fleet can do that may come where draws alone bound the sum
const DEVIATIONS: f64 = 2.5; // by which their sum is kept below the budget then
const QUOTA_LEAST: f64 = 2.0; // calls that a router is held to; less than that says less than the draws
const MANY_CALLS: f64 = 30.0; // N from which the smaller allowance for chance holds

/// What all routers may send in a window in which N calls are regular: the rest is put down to chance.
pub fn budget(calls: f64) -> f64 {
    let of_many = |calls: f64| calls + 2.0 * calls.sqrt() + 2.0;
    // For fewer not more than of a little larger N: what a router makes of N is not exact.
    let of_few = (calls + 3.0 * calls.sqrt() + 3.0).min(of_many(MANY_CALLS));
    if calls < MANY_CALLS { of_few } else { of_many(calls) }
}

/// What one of so many routers may send in a window in which N calls are regular; none if that says little.
pub fn quota(calls: f64, routers: f64) -> Option<f64> {
    let quota = (lawful_budget(calls) / routers).floor();
    (quota >= QUOTA_LEAST).then_some(quota)
}

/// The budget of an N that may be no number.
fn lawful_budget(calls: f64) -> f64 {
    budget(if calls.is_finite() { calls.max(0.0) } else { 0.0 })
}

/// A call that a server in slow start might be sent, as one router sees it.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// N: multiple x present capacity x window, in calls of mean work.
    pub calls: f64,
    /// Routers of the fleet.
    pub routers: f64,
    /// What this router has sent the server within the window, in calls of mean work.
    pub sent: f64,
    /// What the call adds to that.
    pub work: f64,
    /// Whether it came after the server's start was known, and the server has not been sent it before.
    pub is_new: bool,
    /// Part of calls like it that would come to N if the fleet were at its capacity.
    pub part: f64,
    /// What the fleet can do as a multiple of what this router sees come.
    pub ahead: f64,
    /// How well that is known, from 0 to 1.
    pub known: f64,
    /// Between 0 and 1, drawn for the call at this server.
    pub draw: f64,
}

impl Offer {
    /// Whether the call may be sent.
    pub fn is_admitted(&self) -> bool {
        if let Some(quota) = quota(self.calls, self.routers).filter(|quota| self.work <= *quota) {
            return self.sent + self.work <= quota && self.draw < self.part * (AIM * self.ahead).min(1.0);
        }
        let budget = lawful_budget(self.calls);
        // Draws alone bound the sum: all that waited would come at once, and a burst is not foretold.
        let ahead = AHEAD_UNKNOWN + self.known * (self.ahead - AHEAD_UNKNOWN);
        let most = (budget - DEVIATIONS * budget.sqrt()).max(0.0) / SURGE;
        let part = self.part * (AIM * ahead).min(most / self.calls) / self.work;
        self.is_new && self.work <= budget && self.draw < part
    }
}
