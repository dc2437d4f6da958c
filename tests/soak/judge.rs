//! Records what clients, servers and discovery observed of each request, and checks the invariants.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

// The graces below are those of the protocol that the gateway must keep to.

/// Time after a gateway learns that a server drains in which requests may still be sent to the server.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Time after a client has left in which an attempt of its request may still arrive at a server.
const CLIENT_LEFT_GRACE: Duration = Duration::from_millis(100);
/// Time after a request's deadline in which a refusal or an error may still arrive at the client.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Maximum excess of the time in an attempt's `req-deadline` header over the time left until the deadline.
const DEADLINE_HEADER_GRACE: Duration = Duration::from_millis(150);
/// Maximum time that a server may hold a state that no attempt waits for: `letGoByMs` and a grace of 300 ms.
const MAX_STATE_HOLD: Duration = Duration::from_millis(300 + 300);
/// Time after the start of a planned stop in which a client may send a request that goes unanswered when the
/// gateway is killed. Requests that are sent later must not go unanswered.
const STOP_GRACE: Duration = Duration::from_millis(700);
/// Allowance for late tasks of this process, in addition to the lateness that it measures.
const SCHEDULING_SLACK: Duration = Duration::from_millis(120);

/// Effect of repeating a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Unsafe,
    /// Repeats of the same request are recognised for this long after its first run.
    Keyed(Duration),
}

/// Final outcome of a request as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// The response stream ended before it was complete.
    StreamCut,
    Refused,
    Failed,
    /// The connection was closed without a byte of a response.
    Closed,
    /// No response arrived before the client's timeout.
    NoAnswer,
}

#[derive(Debug)]
struct Request {
    gateway: usize,
    effect: Effect,
    /// When the request was first sent. A request that crossed the close of its connection is sent once more.
    first_sent_at: Instant,
    sent_at: Instant,
    deadline: Duration,
    client_left_at: Option<Instant>,
    answer: Option<(Outcome, Instant)>,
    /// Arrival times of the attempts that a decode server ran.
    run_times: Vec<Instant>,
    attempt_count: usize,
    /// Number of attempts that have arrived at a server and have not ended.
    in_flight: usize,
    /// When an attempt arrived while another one was in flight: one of them must end at once.
    overlap_since: Option<Instant>,
    last_attempt_ended_at: Instant,
    /// Since when a server has held a state of this request that no attempt waits for.
    state_held_since: Option<Instant>,
    /// Set once the present hold of the state has been reported as too long.
    hold_reported: bool,
    /// Set if an injected server or network fault may have broken the request's stream.
    hit_by_fault: bool,
}

/// Records the events of a run and checks the invariants.
pub struct Judge {
    requests: HashMap<String, Request>,
    /// By gateway and server: when the gateway learned that the server drains.
    draining_since: HashMap<(usize, usize), Instant>,
    /// By gateway: when its planned stop began.
    stop_times: HashMap<usize, Instant>,
    /// By gateway: when its processes were killed.
    kill_times: HashMap<usize, Vec<Instant>>,
    pub resume: bool,
    /// Maximum measured lateness of this process's own tasks.
    pub lateness: Duration,
    pub violations: Vec<String>,
    pub outcomes: BTreeMap<String, usize>,
}

impl Judge {
    pub fn new(resume: bool) -> Self {
        Self {
            requests: HashMap::new(),
            draining_since: HashMap::new(),
            stop_times: HashMap::new(),
            kill_times: HashMap::new(),
            resume,
            lateness: Duration::ZERO,
            violations: Vec::new(),
            outcomes: BTreeMap::new(),
        }
    }

    fn slack(&self) -> Duration {
        SCHEDULING_SLACK + self.lateness
    }

    fn report_violation(&mut self, rule: &str, id: &str, detail: String) {
        let request = self.requests.get(id);
        let gateway_and_age = request.map(|r| (r.gateway, r.sent_at.elapsed().as_millis()));
        self.violations.push(format!("{rule}: request={id} (gateway, age ms)={gateway_and_age:?} {detail}"));
    }

    pub fn request_sent(&mut self, id: &str, gateway: usize, effect: Effect, deadline: Duration) {
        let now = Instant::now();
        let first_sent_at = self.requests.get(id).map_or(now, |earlier| earlier.first_sent_at);
        let request = Request {
            gateway,
            effect,
            first_sent_at,
            sent_at: now,
            deadline,
            client_left_at: None,
            answer: None,
            run_times: Vec::new(),
            attempt_count: 0,
            in_flight: 0,
            overlap_since: None,
            last_attempt_ended_at: now,
            state_held_since: None,
            hold_reported: false,
            hit_by_fault: false,
        };
        self.requests.insert(id.to_owned(), request);
    }

    /// Restarts the request's time: the client has only now written the last byte of the request.
    pub fn request_fully_sent(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.sent_at = Instant::now();
        }
    }

    pub fn client_left(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.client_left_at = Some(Instant::now());
        }
    }

    /// Returns the number of attempts of a request that arrived at a server.
    pub fn attempt_count(&self, id: &str) -> usize {
        self.requests.get(id).map_or(0, |request| request.attempt_count)
    }

    fn was_killed(&self, gateway: usize, since: Instant) -> bool {
        self.kill_times.get(&gateway).is_some_and(|kills| kills.iter().any(|killed_at| *killed_at >= since))
    }

    pub fn request_answered(&mut self, id: &str, outcome: Outcome) {
        let (now, slack) = (Instant::now(), self.slack());
        *self.outcomes.entry(format!("{outcome:?}")).or_default() += 1;
        let Some(request) = self.requests.get_mut(id) else { return };
        request.answer = Some((outcome, now));
        let (sent_at, gateway) = (request.sent_at, request.gateway);
        let latest_answer = sent_at + request.deadline + ANSWER_GRACE + slack;
        let (runs, attempts, hit_by_fault) =
            (request.run_times.len(), request.attempt_count, request.hit_by_fault);
        let refusal_untrue = request.effect == Effect::Unsafe && runs > 0;
        // The client repeats requests that a killed gateway had accepted, so they may go unanswered. Requests
        // that were sent late in a planned stop are not excused.
        let stop_time = self.stop_times.get(&gateway).copied();
        let sent_late_in_stop =
            stop_time.is_some_and(|began_at| began_at <= sent_at && sent_at > began_at + STOP_GRACE + slack);
        let excused_by_kill = self.was_killed(gateway, sent_at) && !sent_late_in_stop;
        match outcome {
            Outcome::Refused if refusal_untrue => {
                self.report_violation("untrue refusal", id, format!("runs={runs}"))
            }
            Outcome::NoAnswer if !excused_by_kill => {
                self.report_violation("no answer", id, format!("attempts={attempts}"))
            }
            Outcome::Closed if !excused_by_kill && attempts > 0 => {
                self.report_violation("closed unanswered", id, format!("attempts={attempts}"));
            }
            Outcome::StreamCut if !excused_by_kill && !hit_by_fault && !self.resume => {
                self.report_violation("stream cut", id, String::new());
            }
            Outcome::Refused | Outcome::Failed if now > latest_answer => {
                self.report_violation("answered late", id, format!("{:?}", now - sent_at));
            }
            _ => {}
        }
    }

    /// Records that an injected fault hit an attempt of the request: its stream may break.
    pub fn record_fault(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.hit_by_fault = true;
        }
    }

    /// Records that the last byte of an attempt reached a server. `first_byte_at` is the arrival time of the
    /// first byte, or `None` if the proxy held the link before the attempt was complete.
    pub fn attempt_arrived(
        &mut self,
        id: &str,
        server: usize,
        is_writer: bool,
        first_byte_at: Option<Instant>,
        announced_time_left: Duration,
    ) {
        let (now, slack) = (Instant::now(), self.slack());
        let Some(request) = self.requests.get_mut(id) else {
            return self.report_violation("unknown request", id, format!("server={server}"));
        };
        request.attempt_count += 1;
        request.in_flight += 1;
        let kill_times = self.kill_times.get(&request.gateway);
        if kill_times.is_some_and(|kills| kills.iter().any(|killed_at| *killed_at >= request.first_sent_at)) {
            // The kernel still delivers the data that a killed process had written.
            return;
        }
        let link_was_held = first_byte_at.is_none();
        let mut found = Vec::new();
        if request.client_left_at.is_some_and(|left_at| left_at + CLIENT_LEFT_GRACE + slack < now) {
            found.push((
                "attempt after its client left",
                format!("{:?}", request.client_left_at.map(|left_at| now - left_at)),
            ));
        }
        if let Some((outcome, answered_at)) = request.answer
            && answered_at + slack < now
        {
            found.push(("attempt after the answer", format!("{outcome:?} {:?} before", now - answered_at)));
        }
        if request.in_flight > 1 {
            request.overlap_since = Some(now);
        }
        let time_left = (request.sent_at + request.deadline).saturating_duration_since(now);
        if !link_was_held && announced_time_left > time_left + DEADLINE_HEADER_GRACE + slack {
            found.push((
                "req-deadline exceeds time left",
                format!("{announced_time_left:?} of {time_left:?}"),
            ));
        }
        if is_writer {
            request.run_times.push(now);
            match request.effect {
                Effect::Unsafe if request.run_times.len() > 1 => {
                    found.push(("unsafe request ran twice", String::new()))
                }
                Effect::Keyed(window) if request.run_times[0] + window + slack < now => {
                    found.push((
                        "repeat after the idempotency window",
                        format!("{:?}", now - request.run_times[0]),
                    ));
                }
                _ => {}
            }
        }
        let draining_since = self.draining_since.get(&(self.requests[id].gateway, server)).copied();
        if let (Some(draining_since), Some(first_byte_at)) = (draining_since, first_byte_at)
            && draining_since + DRAIN_GRACE + slack < first_byte_at
        {
            found.push((
                "sent to a draining server",
                format!("server={server} {:?} after", first_byte_at - draining_since),
            ));
        }
        for (rule, detail) in found {
            self.report_violation(rule, id, detail);
        }
    }

    /// Records that the server declined the attempt instead of running it.
    pub fn attempt_declined(&mut self, id: &str, is_writer: bool) {
        if let Some(request) = self.requests.get_mut(id).filter(|_| is_writer) {
            request.run_times.pop();
        }
    }

    pub fn attempt_ended(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.in_flight = request.in_flight.saturating_sub(1);
            if request.in_flight < 2 {
                request.overlap_since = None;
            }
            request.last_attempt_ended_at = Instant::now();
        }
    }

    /// Records whether a server holds a state of the request that no attempt waits for.
    pub fn set_state_held(&mut self, id: &str, held: bool) {
        if let Some(request) = self.requests.get_mut(id) {
            request.state_held_since = held.then(Instant::now);
            request.hold_reported &= held;
        }
    }

    /// Reports requests that have had two attempts in flight for too long, and states that have been held for
    /// too long while no attempt of their request is in flight.
    pub fn check_open_requests(&mut self) {
        let (now, slack) = (Instant::now(), self.slack());
        let overlaps_too_long =
            |request: &Request| request.overlap_since.is_some_and(|since| since + slack < now);
        let overlapping: Vec<_> =
            self.requests.iter().filter(|(_, r)| overlaps_too_long(r)).map(|(id, _)| id.clone()).collect();
        for id in overlapping {
            self.requests.entry(id.clone()).and_modify(|request| request.overlap_since = None);
            self.report_violation("second copy", &id, String::new());
        }
        let mut held_too_long = Vec::new();
        for (id, request) in &mut self.requests {
            let Some(held_since) =
                request.state_held_since.filter(|_| request.in_flight == 0 && !request.hold_reported)
            else {
                continue;
            };
            let kill_times = self.kill_times.get(&request.gateway);
            if kill_times.is_some_and(|kills| kills.iter().any(|killed_at| *killed_at >= request.sent_at)) {
                // The servers themselves release the states of a gateway that was killed.
                request.state_held_since = None;
            } else if held_since.max(request.last_attempt_ended_at) + MAX_STATE_HOLD + slack < now {
                request.hold_reported = true;
                held_too_long.push((id.clone(), now - held_since));
            }
        }
        for (id, held_for) in held_too_long {
            let answered = self.requests[&id].answer;
            self.report_violation("state held too long", &id, format!("{held_for:?} answered={answered:?}"));
        }
    }

    /// Records that a gateway knows from `known_at` on that a server drains, or that the server serves again.
    pub fn drain_changed(&mut self, gateway: usize, server: usize, drains: bool, known_at: Instant) {
        if drains {
            self.draining_since.entry((gateway, server)).or_insert(known_at);
        } else {
            self.draining_since.remove(&(gateway, server));
        }
    }

    /// Records that a gateway knows at `known_at` that a server drains. An earlier recorded time is kept.
    pub fn drain_known_at(&mut self, gateway: usize, server: usize, known_at: Instant) {
        let known_since = self.draining_since.entry((gateway, server)).or_insert(known_at);
        *known_since = known_at.min(*known_since);
    }

    pub fn gateway_stopping(&mut self, gateway: usize) {
        self.stop_times.insert(gateway, Instant::now());
    }

    pub fn gateway_killed(&mut self, gateway: usize) {
        self.kill_times.entry(gateway).or_default().push(Instant::now());
    }

    pub fn gateway_started(&mut self, gateway: usize) {
        self.stop_times.remove(&gateway);
    }

    pub fn gateway_crashed(&mut self, gateway: usize, reason: &str) {
        self.violations.push(format!("crash: gateway={gateway} {reason}"));
    }
}
