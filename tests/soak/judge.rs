//! What clients, servers and discovery saw of each request, and the invariants that it is judged by.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// The protocol's graces.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
const LEFT_GRACE: Duration = Duration::from_millis(100);
const ANSWER_GRACE: Duration = Duration::from_millis(500);
const TOLD_GRACE: Duration = Duration::from_millis(150);
const HELD_FOR: Duration = Duration::from_millis(300 + 300);
const STOP_GRACE: Duration = Duration::from_millis(700);
/// How late this process's own tasks may be beside what it measures of its lateness.
const SLACK: Duration = Duration::from_millis(120);

/// What repeating a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Unsafe,
    /// Repeats are recognised for this long.
    Keyed(Duration),
}

/// A request's final answer as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// A stream that was cut after it began.
    Cut,
    Refused,
    Failed,
    /// Its connection was closed without a byte.
    Closed,
    Nothing,
}

#[derive(Debug)]
struct Request {
    gateway: usize,
    effect: Effect,
    /// When it was first sent: one that crossed the close of its connection is sent once more.
    first_sent: Instant,
    sent: Instant,
    deadline: Duration,
    left: Option<Instant>,
    answered: Option<(Outcome, Instant)>,
    runs: Vec<Instant>,
    attempts: usize,
    /// Attempts that have arrived and have not ended.
    out: usize,
    /// When one arrived while another was out: that is to end at once.
    overlaps: Option<Instant>,
    last_ended: Instant,
    /// Since when a server holds a state for it that no attempt waits for.
    held: Option<Instant>,
    blamed: bool,
    /// Whether a fault of the servers' side broke its stream.
    spoilt: bool,
}

/// Collects what happens and judges it.
pub struct Judge {
    requests: HashMap<String, Request>,
    /// By gateway and server: when the gateway was told that it drains.
    drained: HashMap<(usize, usize), Instant>,
    stopped: HashMap<usize, Instant>,
    killed: HashMap<usize, Vec<Instant>>,
    pub resume: bool,
    pub lateness: Duration,
    pub violations: Vec<String>,
    pub outcomes: BTreeMap<String, usize>,
}

impl Judge {
    pub fn new(resume: bool) -> Self {
        Self {
            requests: HashMap::new(),
            drained: HashMap::new(),
            stopped: HashMap::new(),
            killed: HashMap::new(),
            resume,
            lateness: Duration::ZERO,
            violations: Vec::new(),
            outcomes: BTreeMap::new(),
        }
    }

    fn slack(&self) -> Duration {
        SLACK + self.lateness
    }

    fn violated(&mut self, rule: &str, id: &str, detail: String) {
        let request = self.requests.get(id);
        let at = request.map(|r| (r.gateway, r.sent.elapsed().as_millis()));
        self.violations.push(format!("{rule}: request={id} (gateway, age ms)={at:?} {detail}"));
    }

    pub fn sent(&mut self, id: &str, gateway: usize, effect: Effect, deadline: Duration) {
        let now = Instant::now();
        let first_sent = self.requests.get(id).map_or(now, |earlier| earlier.first_sent);
        let request = Request {
            gateway,
            effect,
            first_sent,
            sent: now,
            deadline,
            left: None,
            answered: None,
            runs: Vec::new(),
            attempts: 0,
            out: 0,
            overlaps: None,
            last_ended: now,
            held: None,
            blamed: false,
            spoilt: false,
        };
        self.requests.insert(id.to_owned(), request);
    }

    /// The last byte of a request was only written now: its time runs from then.
    pub fn sent_whole(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.sent = Instant::now();
        }
    }

    pub fn client_left(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.left = Some(Instant::now());
        }
    }

    /// How many attempts of a request came to a server.
    pub fn attempts(&self, id: &str) -> usize {
        self.requests.get(id).map_or(0, |request| request.attempts)
    }

    fn was_killed(&self, gateway: usize, since: Instant) -> bool {
        self.killed.get(&gateway).is_some_and(|kills| kills.iter().any(|at| *at >= since))
    }

    pub fn answered(&mut self, id: &str, outcome: Outcome) {
        let (now, slack) = (Instant::now(), self.slack());
        *self.outcomes.entry(format!("{outcome:?}")).or_default() += 1;
        let Some(request) = self.requests.get_mut(id) else { return };
        request.answered = Some((outcome, now));
        let (sent, gateway) = (request.sent, request.gateway);
        let by = sent + request.deadline + ANSWER_GRACE + slack;
        let (runs, attempts, spoilt) = (request.runs.len(), request.attempts, request.spoilt);
        let untrue = request.effect == Effect::Unsafe && runs > 0;
        // What a killed gateway had taken is its client's to repeat, but for what came late in a planned stop.
        let stopped = self.stopped.get(&gateway).copied();
        let late_in_stop = stopped.is_some_and(|at| at <= sent && sent > at + STOP_GRACE + slack);
        let excused = self.was_killed(gateway, sent) && !late_in_stop;
        match outcome {
            Outcome::Refused if untrue => self.violated("untrue refusal", id, format!("runs={runs}")),
            Outcome::Nothing if !excused => self.violated("no answer", id, format!("attempts={attempts}")),
            Outcome::Closed if !excused && attempts > 0 => {
                self.violated("closed unanswered", id, format!("attempts={attempts}"));
            }
            Outcome::Cut if !excused && !spoilt && !self.resume => {
                self.violated("stream cut", id, String::new());
            }
            Outcome::Refused | Outcome::Failed if now > by => {
                self.violated("answered late", id, format!("{:?}", now - sent));
            }
            _ => {}
        }
    }

    /// A fault of the servers' side touches a request's attempt: its stream may break.
    pub fn spoil(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.spoilt = true;
        }
    }

    /// An attempt's last byte reached a server; `first` is when its first one did, unless the link was held by then.
    pub fn arrived(&mut self, id: &str, server: usize, writes: bool, first: Option<Instant>, told: Duration) {
        let (now, slack) = (Instant::now(), self.slack());
        let Some(request) = self.requests.get_mut(id) else {
            return self.violated("unknown request", id, format!("server={server}"));
        };
        request.attempts += 1;
        request.out += 1;
        let killed = self.killed.get(&request.gateway);
        if killed.is_some_and(|kills| kills.iter().any(|at| *at >= request.first_sent)) {
            // The system goes on to deliver what a killed process had written.
            return;
        }
        let held_up = first.is_none();
        let mut found = Vec::new();
        if request.left.is_some_and(|left| left + LEFT_GRACE + slack < now) {
            found.push((
                "attempt after its client left",
                format!("{:?}", request.left.map(|left| now - left)),
            ));
        }
        if let Some((outcome, at)) = request.answered
            && at + slack < now
        {
            found.push(("attempt after the answer", format!("{outcome:?} {:?} before", now - at)));
        }
        if request.out > 1 {
            request.overlaps = Some(now);
        }
        let left = (request.sent + request.deadline).saturating_duration_since(now);
        if !held_up && told > left + TOLD_GRACE + slack {
            found.push(("more time told than left", format!("{told:?} of {left:?}")));
        }
        if writes {
            request.runs.push(now);
            match request.effect {
                Effect::Unsafe if request.runs.len() > 1 => found.push(("ran twice", String::new())),
                Effect::Keyed(window) if request.runs[0] + window + slack < now => {
                    found.push(("repeat after its window", format!("{:?}", now - request.runs[0])));
                }
                _ => {}
            }
        }
        let drained = self.drained.get(&(self.requests[id].gateway, server)).copied();
        if let (Some(drained), Some(first)) = (drained, first)
            && drained + DRAIN_GRACE + slack < first
        {
            found.push(("sent to a draining server", format!("server={server} {:?} after", first - drained)));
        }
        for (rule, detail) in found {
            self.violated(rule, id, detail);
        }
    }

    /// An attempt never ran after all: its server turned it away.
    pub fn turned_away(&mut self, id: &str, writes: bool) {
        if let Some(request) = self.requests.get_mut(id).filter(|_| writes) {
            request.runs.pop();
        }
    }

    pub fn attempt_ended(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.out = request.out.saturating_sub(1);
            if request.out < 2 {
                request.overlaps = None;
            }
            request.last_ended = Instant::now();
        }
    }

    pub fn set_held(&mut self, id: &str, held: bool) {
        if let Some(request) = self.requests.get_mut(id) {
            request.held = held.then(Instant::now);
            request.blamed &= held;
        }
    }

    /// Looks for what goes on for too long: two attempts of a request that are out, and states that are held while no
    /// attempt of their request is.
    pub fn look_at_open(&mut self) {
        let (now, slack) = (Instant::now(), self.slack());
        let overlaps = |request: &Request| request.overlaps.is_some_and(|at| at + slack < now);
        let twice: Vec<_> =
            self.requests.iter().filter(|(_, r)| overlaps(r)).map(|(id, _)| id.clone()).collect();
        for id in twice {
            self.requests.entry(id.clone()).and_modify(|request| request.overlaps = None);
            self.violated("second copy", &id, String::new());
        }
        let mut found = Vec::new();
        for (id, request) in &mut self.requests {
            let Some(held) = request.held.filter(|_| request.out == 0 && !request.blamed) else { continue };
            let killed = self.killed.get(&request.gateway);
            if killed.is_some_and(|kills| kills.iter().any(|at| *at >= request.sent)) {
                // Servers let go of what a killed process left.
                request.held = None;
            } else if held.max(request.last_ended) + HELD_FOR + slack < now {
                request.blamed = true;
                found.push((id.clone(), now - held));
            }
        }
        for (id, since) in found {
            let answered = self.requests[&id].answered;
            self.violated("held too long", &id, format!("{since:?} answered={answered:?}"));
        }
    }

    /// From this moment a gateway knows that a server drains, or that it serves again.
    pub fn told(&mut self, gateway: usize, server: usize, drains: bool, at: Instant) {
        if drains {
            self.drained.entry((gateway, server)).or_insert(at);
        } else {
            self.drained.remove(&(gateway, server));
        }
    }

    /// A gateway knows by then that a server drains, if it was not told before.
    pub fn told_at_the_latest(&mut self, gateway: usize, server: usize, at: Instant) {
        let known = self.drained.entry((gateway, server)).or_insert(at);
        *known = at.min(*known);
    }

    pub fn stopped(&mut self, gateway: usize) {
        self.stopped.insert(gateway, Instant::now());
    }

    pub fn killed(&mut self, gateway: usize) {
        self.killed.entry(gateway).or_default().push(Instant::now());
    }

    pub fn started(&mut self, gateway: usize) {
        self.stopped.remove(&gateway);
    }

    pub fn crashed(&mut self, gateway: usize, how: &str) {
        self.violations.push(format!("crash: gateway={gateway} {how}"));
    }
}
