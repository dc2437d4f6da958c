//! All decisions; the types, events, actions and settings are in `src/interface.rs`.
//! Unread requests wait here and leave in earliest-deadline order by predicted slack; the nearly late go to
//! priority readers; the hopeless are refused unread. What was read goes at once to a writer.

use crate::interface::*;
use crate::numeric::*;
use crate::slow_start::{self, Offer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

// Time is in microseconds unless a name ends in _S. The first ones are the design's.
const PRIORITY_EVERY: usize = 3; // every so many readers, by sorted id, one serves priority
const READER_CAP: usize = 4; // own reads out at one reader; keeps the order here, where it can still change
const OFFLOAD_MARGIN_S: f64 = 0.1; // slack beyond a full priority batch at which a request is nearly late
const SHARE_EQUAL: f64 = 0.1; // memory share within which writers count as equal
const SHARE_FAR: f64 = 0.2; // lead in memory share at which locality yields
const FIRST_GUESS: [f64; 3] = [0.2, 0.1, 0.0]; // read estimate before there are answers
const FIT_AFTER: u32 = 10; // answers before the fit replaces the first guess
const AGE_S: f64 = 10.0; // over which answers age in every fit and mean kept here
const KEPT: Micros = 60_000_000; // how long a reader is taken to keep a session's prompt
const SHARE_FULL: f64 = 0.92; // of writer memory that is read for; past it answers push each other out
const SURGE: f64 = 4.0; // what may come of all that the tenants' shares tell, with those who come again
const CHANCE: f64 = 2.0; // standard deviations by which what is out here may by chance pass what others have
const REPORT_LIFE: Micros = 3_000_000; // after which a load report says nothing any more
const PROBES: usize = 2; // writers that are probed for a request that waits for one
const PROBE_WAIT: Micros = 50_000; // how long a probe is waited for
const PROBE_PAUSE: Micros = 1_000_000; // least time between two probes of one server
const OVERDUE: [f64; 2] = [4.0, 8.0]; // times what was expected at which an answer, or a read, is overdue
const OVERDUE_S: f64 = 0.5; // and than this
const CALLED_OFF_PART: f64 = 0.1; // reads called off as overdue for each read and answer that ended well
const REFUSED_MOST: u32 = 3; // dials refused in a row that tell of a zone as one unheard: a table may be full
const RESTART_TOLD: Micros = 6_000_000; // by when the list tells of a restart (protocol)
const UNHEARD_S: f64 = 0.1; // after which a dial was unheard, not refused: a no takes a few round trips
const BACK_OFF: Micros = 500_000; // first time a failing server is left alone; doubles
const BACK_OFF_MOST: Micros = 4_000_000; // and longest
const ERROR_STEP: f64 = 0.35; // what an error adds of the rest to a server's error share
const SUCCESS_STEP: f64 = 0.2; // what a success takes of it
const ERROR_MOST: f64 = 0.4; // where it is left out: errors come quickly and would draw all the work
const PROMPTS: u32 = 200; // last ones by whose mean a call's work is weighed
const RATE_S: f64 = 1.0; // least span by which it is told how often requests come
const SHARE_BURST_S: f64 = 1.0; // of its rate that a tenant may run ahead before it is past its share
const MEAN_STEP: f64 = 0.1; // weight of a new answer in a running mean
const READ_AHEAD_S: f64 = 1.0; // of reading that may wait at one reader, where it can't be reordered
const WAITING_CAP: usize = 3; // own answers not yet begun at one writer at which it has no room
const WAITING_S: f64 = 0.3; // how long the oldest has waited when it has none
const AWAY_S: f64 = 0.05; // by which a reader of another zone must be sooner: its moves are slow and cost
const PREFIXES: usize = 40; // last requests by which it is told how many bring the same prefix
const WAIT_STEP: f64 = 0.3; // weight of a read's wait in its zone's mean
const WAIT_FADE_S: f64 = 4.0; // over which one not heard of again fades
const RETRY_AFTER: Micros = 500_000; // until a refused client comes back: so long a queue needs to shrink
const LOOKS: usize = 8; // queued requests weighed anew at an event: all would cost queue times servers
const REPEAT_MARGIN: Micros = 200_000; // before its window's end a repeat is called off: 0.15 s for a hold-up
const TICK: Micros = 20_000; // how often open requests are looked at

/// What a writer is to answer from.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    /// The prompt: it reads that itself.
    Prompt,
    /// The state that this reader holds, and since when.
    State(ServerId, Micros),
    /// A state that was let go in case the attempt had not arrived; if it had, the writer has it.
    ReleasedState,
}

/// Where a request stands; held: whose state, and since when that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Queued,
    Reading,
    Held(ServerId, Micros),
    Writing(Source),
    Streaming(Micros),
    Ended,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    server: ServerId,
    sent: Micros,
    reading: bool,
    expected_s: f64,
    read: Read,
    out: bool,
    cancelled: bool,
    may_have_run: bool,
}

/// What a read is predicted to take at one reader.
#[derive(Clone, Copy, Debug)]
struct Read {
    server: ServerId,
    rank: usize,
    work_s: f64,
    behind_s: f64,
    total_s: f64,
}

#[derive(Debug)]
struct Request {
    ask: Arrival,
    settings: Rc<Settings>, // those under which it came hold for it to its end
    session_lot: u64,
    prefix_lot: u64,
    lot: u64,     // by session and length, so that a next try draws the same
    own_lot: u64, // by its id too
    came: Micros,
    expires: Micros,
    aim: Micros,
    hopeless: Micros,
    over_share: bool,
    best: (Micros, f64), // the shortest read that was predicted for it, and when: never at 0
    phase: Phase,
    attempts: Vec<Attempt>,
}

impl Request {
    fn class(&self) -> &Class {
        self.settings.class(self.ask.class)
    }

    /// The first attempt that may have run.
    fn ran(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run)
    }

    /// When a repeat must have been written, if that matters.
    fn repeat_before(&self) -> Option<Micros> {
        let Effect::Keyed { window, .. } = self.class().effect else { return None };
        self.ran().map(|ran| ran.sent + window)
    }

    /// Whether it is too late for a repeat, if that matters.
    fn is_window_over(&self, now: Micros) -> bool {
        self.repeat_before().is_some_and(|end| end <= now + REPEAT_MARGIN)
    }

    /// Whether a repeat is out that may not have arrived as the window ends in which servers recognise it.
    /// Over a connection that has fallen silent it would come after that.
    fn outlives_window(&self, now: Micros) -> bool {
        let Some((last, earlier)) = self.attempts.split_last() else { return false };
        let repeats = !last.reading && earlier.iter().any(|attempt| attempt.may_have_run);
        last.out && !last.cancelled && repeats && self.is_window_over(now) && self.settings.may_cancel
    }

    /// Whether no further attempt can be made.
    fn is_spent(&self, now: Micros) -> bool {
        let unsafe_run = self.ran().is_some() && self.class().effect == Effect::Unsafe;
        self.is_window_over(now) || unsafe_run || self.attempts.len() >= self.settings.max_attempts as usize
    }
}

/// A break after which a server may have been started again, which the list tells seconds later.
#[derive(Debug)]
struct Break {
    at: Micros,
    answered: Option<Micros>, // the first answer to what was sent after it
}

/// What this router knows of one server.
#[derive(Debug, Default)]
struct Server {
    learnt: Micros, // when it was first listed, or its last start
    entry: Entry,
    role: Role,
    memory: f64,
    share: Option<(Micros, f64)>,
    probed: Micros,
    backoff: Backoff,
    broke: Option<Break>,
    sent: SlidingSum, // lately, in calls of mean work
    heard: Micros,    // when it last answered well
    errors: Fading,   // the share of errors among its late answers
}

/// What this router has out at one server.
#[derive(Clone, Copy, Debug, Default)]
struct Out {
    reads: usize,
    backlog_s: f64,
    attempts: usize,
    waiting: usize,
    oldest_s: f64,
    oldest_ratio: f64,
    tokens: f64,
}

/// One router's decisions.
#[derive(Debug, Default)]
pub struct Router {
    settings: Rc<Settings>,
    replicas: f64,
    servers: BTreeMap<ServerId, Server>,
    requests: BTreeMap<RequestId, Request>,
    fit: QuadraticFit, // read time by thousands of uncached tokens
    first_token_s: f64,
    tenants: Vec<LeakyBucket>,
    kept: BTreeMap<(u64, ServerId), (f64, Micros)>, // by lot and reader it was sent: tokens, and when
    prefixes: VecDeque<(u64, Micros)>,              // lots of the last requests' prefixes, and when
    waits: BTreeMap<(u32, bool), Fading>,           // by zone, cold or not: what reads lately waited
    zones: BTreeMap<u32, (Backoff, u32)>, // with dials unheard, or refused so often, since one answered
    called_off: f64, // reads, as overdue, less a part of what ended well: a jam feeds on what is read again
    ticking: bool,
    watching: bool,
    most: [[f64; 2]; 2], // servers, and zones with any, that were ready at once: writers, and readers
    mean_prompt: RunningMean, // tokens
    under_way: AgedMean, // tokens of requests under way
    now: Micros,         // the call in hand: its time, what is out, what is to be done
    outs: BTreeMap<ServerId, Out>,
    actions: Vec<Action>,
    over_quota: Vec<(RequestId, ServerId)>, // sends beyond a quota of slow start: there must be none
}

impl Router {
    /// A router that knows nothing yet but its settings; those without a class or a kind are refused.
    pub fn new(settings: Settings, _seed: u64) -> Result<Self, SettingsError> {
        if settings.classes.is_empty() || settings.roles.is_empty() {
            return Err(SettingsError("no request class or no kind".into()));
        }
        Ok(Self {
            replicas: f64::from(settings.replicas.max(1)),
            fit: QuadraticFit::new(FIRST_GUESS, FIT_AFTER),
            first_token_s: 0.1, // from a send to a writer to its first token, before there are answers
            tenants: vec![LeakyBucket::default(); settings.tenant_rates.len()],
            settings: Rc::new(settings),
            ..Self::default()
        })
    }

    /// Settings for what comes from now on; those that a new router would refuse change nothing.
    fn take_settings(&mut self, settings: &Settings) {
        if let Ok(new) = Self::new(settings.clone(), 0) {
            self.tenants.resize(new.tenants.len(), LeakyBucket::default());
            (self.replicas, self.settings) = (new.replicas, new.settings);
        }
    }

    /// Takes what happened at `now` and tells what to do.
    pub fn handle(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = now.max(self.now);
        for event in events {
            match event {
                Event::Roster { form, entries } => self.take_roster(*form, entries),
                Event::Request(ask) => self.take_request(ask),
                Event::First { id, attempt } => self.take_first(id, *attempt),
                Event::Outcome(outcome) => self.take_outcome(outcome),
                Event::Abandoned { id } => self.end(id, None),
                Event::Probed { server, load } => self.take_load(*server, load),
                Event::LivedOn { server, since } => self.live_on(*server, *since),
                Event::Settings(settings) => self.take_settings(settings),
                Event::Leaving { within } => self.leave(*within),
                Event::Timer { token } => self.ticking &= *token != 0,
            }
        }
        if self.settings.ask_roster && !std::mem::replace(&mut self.watching, true) {
            self.actions.push(Action::Watch);
        }
        self.count_out();
        self.sweep();
        self.place_held();
        self.release_queued();
        self.kept.retain(|_, kept| now < kept.1 + KEPT);
        self.requests.retain(|_, r| r.phase != Phase::Ended || r.attempts.iter().any(|a| a.out));
        let tried = |id| self.requests.values().flat_map(|r| &r.attempts).any(|a| a.server == id);
        self.servers.retain(|id, s| s.entry.condition != Condition::Gone || tried(*id));
        if !self.requests.is_empty() && !std::mem::replace(&mut self.ticking, true) {
            self.actions.push(Action::Timer { token: 0, after: TICK });
        }
        std::mem::take(&mut self.actions)
    }

    fn take_request(&mut self, ask: &Arrival) {
        let class = self.settings.class(ask.class);
        let grown = (ask.prompt_tokens / 1000.0 * class.aim_per_1000 as f64) as Micros;
        let session_lot = number(ask.session.as_deref().unwrap_or(&ask.id.0));
        let prefix_lot = ask.prefix.as_deref().map_or(session_lot, number);
        self.prefixes.push_front((prefix_lot, self.now));
        self.prefixes.truncate(PREFIXES);
        let lot = mix(session_lot, ask.prompt_tokens as u64);
        let request = Request {
            session_lot,
            prefix_lot,
            lot,
            own_lot: mix(lot, number(&ask.id.0)),
            expires: self.now + ask.expires_in,
            came: self.now,
            aim: self.now + class.aim + grown,
            hopeless: self.now + ask.expires_in.min(class.deadline + 2 * grown),
            settings: self.settings.clone(),
            // What was counted at its first try is not counted again: a break brings many back at once.
            over_share: !ask.resumed && self.over_share(ask.tenant),
            best: (0, 0.0),
            phase: Phase::Queued,
            attempts: Vec::new(),
            ask: ask.clone(),
        };
        self.mean_prompt.learn(ask.prompt_tokens, PROMPTS);
        self.requests.insert(ask.id.clone(), request);
    }

    /// Counts a tenant's request against this router's part of its share, as a leaking bucket.
    fn over_share(&mut self, tenant: usize) -> bool {
        let part = self.settings.tenant_rates.get(tenant).map_or(0.0, |rate| rate / self.replicas);
        part > 0.0 && self.tenants[tenant].add(self.now, part) > (part * SHARE_BURST_S).max(2.0)
    }

    /// Whether a refusal would be true: nothing that may have run can be repeated with harm.
    fn may_refuse(&self, request: &Request) -> bool {
        let clean = request.attempts.iter().all(|a| !a.may_have_run && !a.out);
        clean || matches!(request.class().effect, Effect::Safe | Effect::Keyed { group: Group::All, .. })
    }

    /// Whether its class allows the request at the server, after what earlier attempts may have done.
    fn may_send(&self, request: &Request, to: ServerId) -> bool {
        match (request.ran(), request.class().effect) {
            (None, _) | (_, Effect::Safe) => true,
            (_, Effect::Unsafe) => false,
            (Some(ran), Effect::Keyed { group, .. }) => {
                let (a, b) = (&self.servers[&ran.server].entry, &self.servers[&to].entry);
                let near = a.zone == b.zone && (group == Group::Zone || a.cell == b.cell);
                (group == Group::All || near) && !request.is_spent(self.now)
            }
        }
    }

    /// Ends a request: the answer if one is owed, nothing left out, nothing left held.
    fn end(&mut self, id: &RequestId, answer: Option<Action>) {
        let Some(request) = self.requests.get_mut(id).filter(|r| r.phase != Phase::Ended) else { return };
        request.phase = Phase::Ended;
        let sent = !request.attempts.is_empty();
        self.actions.extend(answer);
        self.recall(id);
        if sent {
            self.actions.push(Action::Release { id: id.clone() });
        }
    }

    /// Calls off what is out.
    fn recall(&mut self, id: &RequestId) {
        let Some(Request { attempts, settings, .. }) = self.requests.get_mut(id) else { return };
        for (n, attempt) in (0..).zip(attempts) {
            if attempt.out && !attempt.cancelled && settings.may_cancel {
                attempt.cancelled = true;
                self.actions.push(Action::Cancel { id: id.clone(), attempt: n });
            }
        }
    }

    fn give_up(&mut self, id: &RequestId, reason: GiveUpReason) {
        let request = &self.requests[id];
        let safe = request.class().effect == Effect::Safe;
        let time_left = request.expires > self.now + TICK;
        if !safe && request.phase == Phase::Reading && time_left && request.settings.may_cancel {
            // With a read out even a refusal may be held untrue: call it off, answer when it has ended.
            return self.recall(id);
        }
        let (id, refuse) = (id.clone(), self.may_refuse(request));
        let refusal = Action::Refuse { id: id.clone(), reason, retry_after: RETRY_AFTER };
        let answer = if refuse { refusal } else { Action::Fail { id: id.clone(), reason } };
        self.end(&id, Some(answer));
    }

    /// What is open has no more time than the router: it is answered, and what it holds let go, before that.
    fn leave(&mut self, within: Micros) {
        for request in self.requests.values_mut() {
            request.expires = request.expires.min(self.now + within);
            request.hopeless = request.hopeless.min(request.expires);
        }
    }

    /// Looks at every open request: time up, state held too long, attempt overdue.
    fn sweep(&mut self) {
        let soon = self.now + 2 * TICK + 2 * self.settings.resolution;
        for id in self.ids(|r| !matches!(r.phase, Phase::Ended | Phase::Streaming(_))) {
            let request = &self.requests[&id];
            match request.phase {
                _ if request.expires <= soon => self.give_up(&id, GiveUpReason::DeadlineReached),
                Phase::Queued | Phase::Held(..) if request.is_spent(self.now) => {
                    self.give_up(&id, GiveUpReason::AttemptsSpent);
                }
                Phase::Held(_, at) if at + request.settings.let_go <= soon => {
                    self.set_phase(&id, Phase::Queued)
                }
                Phase::Writing(_) if request.outlives_window(self.now) => self.recall(&id),
                Phase::Writing(Source::State(_, at)) if at + request.settings.let_go <= soon => {
                    self.release_under_way(&id);
                }
                Phase::Reading | Phase::Writing(_) => self.recall_overdue(&id),
                _ => {}
            }
        }
    }

    /// Lets go of a state whose time is over with a send to a writer out: over a connection that has fallen
    /// silent that never arrives. What an attempt waits for that has arrived is not let go by that.
    fn release_under_way(&mut self, id: &RequestId) {
        self.actions.push(Action::Release { id: id.clone() });
        self.set_phase(id, Phase::Writing(Source::ReleasedState));
    }

    fn ids(&self, which: impl Fn(&Request) -> bool) -> Vec<RequestId> {
        let found = self.requests.iter().filter(|(_, r)| which(r));
        found.map(|(id, _)| id.clone()).collect()
    }

    fn set_phase(&mut self, id: &RequestId, phase: Phase) {
        if phase == Phase::Queued {
            // A read whose answer was lost, or a reader cut off from the writer, may still hold a state.
            self.actions.push(Action::Release { id: id.clone() });
        }
        self.requests.entry(id.clone()).and_modify(|r| r.phase = phase);
    }

    /// A silent server keeps what it was given: call an overdue attempt off where another may be made.
    fn recall_overdue(&mut self, id: &RequestId) {
        let request = &self.requests[id];
        let attempt @ Attempt { server, reading, .. } = request.attempts[request.attempts.len() - 1];
        let harmless = if reading { self.called_off < 1.0 } else { request.class().effect == Effect::Safe };
        let left = request.attempts.len() + usize::from(reading) < request.settings.max_attempts as usize;
        let wait_s = self.wait_s(server) * f64::from(u8::from(reading));
        let late = OVERDUE_S.max(OVERDUE[usize::from(reading)] * (attempt.expected_s + wait_s));
        let may = attempt.out && !attempt.cancelled && harmless && request.settings.may_cancel;
        let overdue = seconds(self.now - attempt.sent) >= late && left;
        let silent = self.is_silent(server);
        // One that answers others has a queue: that is worth leaving only for a server without.
        let better = |s: &ServerId| *s != server && (silent || reading || self.has_room(*s));
        if may && overdue && self.well(reading).iter().any(better) {
            if silent {
                self.fail_server(server, 0);
            }
            self.called_off += f64::from(u8::from(reading));
            self.recall(id);
        }
    }

    fn take_first(&mut self, id: &RequestId, n: u32) {
        let Some(request) = self.requests.get_mut(id).filter(|r| r.phase != Phase::Ended) else { return };
        let Some(attempt) = request.attempts.get(n as usize).filter(|a| a.out) else { return };
        request.phase = Phase::Streaming(self.now);
        let (server, sent, took) = (attempt.server, attempt.sent, seconds(self.now - attempt.sent));
        self.first_token_s += MEAN_STEP * (took - self.first_token_s);
        self.hear(server, sent);
    }

    fn take_outcome(&mut self, outcome: &Outcome) {
        let &Outcome { ref id, attempt, status, finished, note, load } = outcome;
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt as usize).filter(|a| a.out) else { return };
        attempt.out = false;
        let unread = attempt.reading && matches!(status, Status::Cancelled | Status::TimedOut);
        use Status::{Full, Moot, NoConnection, Read};
        attempt.may_have_run &= !matches!(status, Full | Moot | NoConnection | Read);
        let (server, behind_s, sent) = (attempt.server, attempt.read.behind_s, attempt.sent);
        let took = seconds(self.now - sent);
        let unheard = status == NoConnection && took > UNHEARD_S;
        let refusals = if unheard { REFUSED_MOST } else { u32::from(status == NoConnection) };
        let (phase, session_lot) = (request.phase, request.session_lot);
        let uncached = (request.ask.prompt_tokens - note).max(0.0) / 1000.0;
        self.take_load(server, &load);
        // A queue is told, or shows: in how much longer a read took, in what was turned away, in vain waits.
        let seen = match status {
            Status::Read => Some((took - self.fit.predict(uncached) - behind_s).max(0.0)),
            Full if note < 1.0 => Some(READ_AHEAD_S),
            _ => unread.then_some(took),
        };
        let slope = (self.fit.predict(1.0) - self.fit.weights()[0]).max(0.001);
        let waited = load.queued_kilotokens.map(|k| k * slope).or(seen);
        let reader = self.servers.get(&server).filter(|s| s.role == Role::Read);
        if let (Some(reader), Some(waited)) = (reader, waited) {
            let wait = self.waits.entry(self.alike(reader)).or_default();
            *wait = wait.toward(waited, WAIT_STEP, self.now, WAIT_FADE_S);
        }
        match status {
            Status::Read | Status::Served => {
                // Answered in one piece: the whole of it is what a server takes that does all by itself.
                self.called_off = (self.called_off - CALLED_OFF_PART).max(0.0);
                if status == Status::Read || phase == Phase::Writing(Source::Prompt) {
                    self.fit.learn(self.now, AGE_S, uncached, took);
                }
                self.hear(server, sent);
            }
            Status::TimedOut if finished => {}
            Status::Error | Status::Reset | Status::NoConnection | Status::TimedOut => {
                self.kept.remove(&(session_lot, server));
                self.fail_server(server, refusals);
                if let Some(known) = self.servers.get_mut(&server) {
                    match status {
                        Status::Error => known.errors = known.errors.toward(1.0, ERROR_STEP, self.now, AGE_S),
                        _ => known.broke = Some(Break { at: self.now, answered: None }),
                    }
                }
            }
            Status::Full if note < 1.0 => self.fail_server(server, 0),
            _ => {}
        }
        if phase == Phase::Ended {
            // A read that outlives its request leaves a state that nobody else will let go.
            return self.actions.push(Action::Release { id: id.clone() });
        }
        if finished {
            return self.end(id, None);
        }
        // After a writer failed the state still waits, unless the fetch had ended or it is gone.
        let next = match (status, phase) {
            (Status::Read, _) => Phase::Held(server, self.now),
            (Status::Full, _) if note >= 1.0 => Phase::Queued,
            // While no connection comes up the time of what is held runs on: not for a second long dial.
            (_, Phase::Writing(_)) if unheard => Phase::Queued,
            (NoConnection | Moot, Phase::Writing(Source::State(reader, held))) => Phase::Held(reader, held),
            (_, Phase::Writing(Source::State(reader, _))) => Phase::Held(reader, self.now),
            _ => Phase::Queued,
        };
        self.set_phase(id, next);
        if self.requests[id].is_spent(self.now) {
            self.give_up(id, GiveUpReason::AttemptsSpent);
        }
    }

    fn take_load(&mut self, id: ServerId, load: &Load) {
        if let (Some(server), Some(share)) = (self.servers.get_mut(&id), load.memory_share) {
            server.share = Some((self.now, share));
        }
    }

    fn take_roster(&mut self, form: RosterForm, entries: &[Entry]) {
        if form == RosterForm::Failed {
            self.watching = false;
        } else if form == RosterForm::Full {
            self.servers.values_mut().for_each(|s| s.entry.condition = Condition::Gone);
        }
        for entry in entries {
            let Some(&role) = self.settings.roles.get(entry.kind) else { continue };
            let known = self.servers.entry(entry.server).or_default();
            if known.role != role || known.entry.started_at != entry.started_at || known.memory == 0.0 {
                // New, or started again: what was learnt of the process before says nothing.
                let told = self.settings.memory_tokens.get(entry.kind).copied().filter(|m| *m > 0.0);
                let memory = told.unwrap_or(f64::INFINITY);
                let sent = std::mem::take(&mut known.sent);
                *known = Server { role, memory, sent, learnt: self.now, ..Server::default() };
            }
            known.entry = entry.clone();
        }
        for (reading, most) in [false, true].into_iter().zip(self.most) {
            let zones: Vec<_> = self.listed(reading).map(|(_, s)| s.entry.zone).collect();
            let now = [zones.len(), zones.iter().collect::<BTreeSet<_>>().len()];
            self.most[usize::from(reading)] = [0, 1].map(|n| most[n].max(now[n] as f64));
        }
    }

    fn fail_server(&mut self, id: ServerId, refusals: u32) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.backoff.fail(self.now, BACK_OFF, BACK_OFF_MOST);
        let (zone, refused) = self.zones.entry(server.entry.zone).or_default();
        *refused += refusals;
        if refusals > 0 && *refused >= REFUSED_MOST {
            zone.fail(self.now, BACK_OFF, BACK_OFF_MOST);
        }
    }

    /// It has run since then: what broke after that was not its process.
    fn live_on(&mut self, id: ServerId, since: Micros) {
        self.servers.entry(id).and_modify(|server| _ = server.broke.take_if(|broke| since <= broke.at));
    }

    /// A server's answer to what was sent then.
    fn hear(&mut self, id: ServerId, sent: Micros) {
        self.live_on(id, sent);
        if let Some(server) = self.servers.get_mut(&id) {
            server.broke.iter_mut().for_each(|broke| _ = broke.answered.get_or_insert(self.now));
            (server.backoff, server.heard) = (Backoff::default(), self.now);
            self.zones.remove(&server.entry.zone);
            server.errors = server.errors.toward(0.0, SUCCESS_STEP, self.now, AGE_S);
        }
    }

    /// Whether nothing good has come from a server for a while; what waits longer may just be queued there.
    fn is_silent(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_none_or(|s| seconds(self.now - s.heard) > OVERDUE_S)
    }

    fn out(&self, id: ServerId) -> Out {
        self.outs.get(&id).copied().unwrap_or_default()
    }

    fn count_out(&mut self) {
        let mut outs = BTreeMap::<ServerId, Out>::new();
        for request in self.requests.values() {
            for attempt in request.attempts.iter().filter(|a| a.out) {
                let out = outs.entry(attempt.server).or_default();
                out.attempts += 1;
                let age = seconds(self.now - attempt.sent);
                if !attempt.cancelled && !matches!(request.phase, Phase::Streaming(_)) {
                    out.waiting += 1;
                    out.oldest_s = out.oldest_s.max(age);
                    out.oldest_ratio = out.oldest_ratio.max(age / attempt.expected_s.max(0.01));
                }
                if attempt.reading {
                    out.reads += 1;
                    out.backlog_s += attempt.read.work_s;
                } else {
                    let alone = request.phase == Phase::Writing(Source::Prompt);
                    out.backlog_s += f64::from(u8::from(alone)) * attempt.read.work_s;
                    out.tokens += self.stream_tokens(request);
                }
            }
        }
        self.outs = outs;
        let under_way = self.requests.values().filter(|r| !matches!(r.phase, Phase::Queued | Phase::Ended));
        self.under_way.hold(self.now, under_way.map(|r| self.stream_tokens(r)).sum(), AGE_S);
    }

    fn listed(&self, reading: bool) -> impl Iterator<Item = (ServerId, &Server)> {
        let ready =
            move |s: &Server| s.entry.condition == Condition::Ready && (s.role == Role::Read) == reading;
        self.servers.iter().filter(move |(_, s)| ready(s)).map(|(id, s)| (*id, s))
    }

    /// Servers for ordinary work: neither failing nor silent; if none, those whose pause ends soonest.
    fn well(&self, reading: bool) -> Vec<ServerId> {
        let mut open: Vec<_> = self.listed(reading).collect();
        let well = |(id, s): &(ServerId, &Server)| {
            let out = self.out(*id);
            let silent = out.oldest_s > OVERDUE_S && out.oldest_ratio > OVERDUE[1] && self.is_silent(*id);
            let trial = s.backoff.fails > 0 && out.attempts > 0;
            self.now >= s.backoff.until && !silent && !trial && s.errors.left(self.now, AGE_S) < ERROR_MOST
        };
        if open.iter().any(well) {
            open.retain(well);
            // One dial after the other into a zone that is cut off would use up attempts and time.
            let cut_off = |s: &Server| self.zones.get(&s.entry.zone).is_some_and(|z| self.now < z.0.until);
            if open.iter().any(|(_, s)| !cut_off(s)) {
                open.retain(|(_, s)| !cut_off(s));
            }
        } else {
            let soonest = open.iter().map(|(_, s)| s.backoff.until).min();
            open.retain(|(_, s)| Some(s.backoff.until) == soonest);
        }
        open.into_iter().map(|(id, _)| id).collect()
    }

    /// How many listed servers get no ordinary work now.
    pub fn avoided(&mut self, now: Micros) -> usize {
        self.now = now.max(self.now);
        [true, false].map(|reading| self.listed(reading).count() - self.well(reading).len()).iter().sum()
    }

    /// Where a request may go: the well that its class allows, those it has not tried before the others.
    fn candidates(&self, request: &Request, reading: bool) -> Vec<ServerId> {
        let mut open = self.well(reading);
        let home = reading.then(|| self.homes(request).0.first().copied()).flatten();
        open.retain(|s| self.may_send(request, *s) && self.admits(request, *s, home));
        let new = |s: &ServerId| request.attempts.iter().all(|a| a.server != *s);
        if open.iter().any(new) {
            open.retain(new);
        }
        open
    }

    /// Whether a server in slow start may be sent the request; a reader only as its home.
    fn admits(&self, request: &Request, id: ServerId, home: Option<ServerId>) -> bool {
        let (server, settings) = (&self.servers[&id], &self.settings);
        let (reading, warmth) = (server.role == Role::Read, self.warmth(server));
        if warmth >= 1.0 || reading && home != Some(id) {
            return warmth >= 1.0;
        }
        let [fleet, zones] = self.most[usize::from(reading)];
        // Readers get what has its home there, one of those left in the zone; writers all that is read in it.
        let near = |(_, s): &(ServerId, &Server)| s.entry.zone == server.entry.zone;
        let asked = if reading { self.listed(true).filter(near).count() as f64 } else { 1.0 };
        let multiple = warmth * settings.overload_factor;
        Offer {
            calls: self.calls_in_window(server),
            routers: self.replicas,
            sent: self.sent_in_window(server),
            work: self.work(request),
            is_new: request.came >= server.learnt.max(self.started(server))
                && request.attempts.iter().all(|a| a.server != id),
            part: multiple * asked * zones / fleet,
            ahead: self.ahead(),
            known: self.prefixes.len() as f64 / PREFIXES as f64,
            draw: draw(mix(request.own_lot, server.entry.started_at ^ u64::from(id.0))),
        }
        .is_admitted()
    }

    /// What may reach a server in slow start in a window, whoever sends it, in calls of mean work.
    fn calls_in_window(&self, server: &Server) -> f64 {
        let [fleet, _] = self.most[usize::from(server.role == Role::Read)];
        let multiple = self.warmth(server) * self.settings.overload_factor;
        multiple * self.usual_rate() / fleet * seconds(self.settings.fall_window)
    }

    /// What this router has sent it in that window.
    fn sent_in_window(&self, server: &Server) -> f64 {
        server.sent.since(self.window_began().max(self.started(server)))
    }

    /// Checks what was just sent to a server against its quota, if it is in slow start.
    fn check_quota(&mut self, id: &RequestId, to: ServerId, work: f64) {
        let server = &self.servers[&to];
        if self.warmth(server) >= 1.0 {
            return;
        }
        let quota = slow_start::quota(self.calls_in_window(server), self.replicas);
        let bound = quota.filter(|quota| work <= *quota);
        if bound.is_some_and(|quota| self.sent_in_window(server) > quota) {
            self.over_quota.push((id.clone(), to));
        }
    }

    /// Sends since the last call that went beyond the quota of a server in slow start.
    pub fn take_over_quota(&mut self) -> Vec<(RequestId, ServerId)> {
        std::mem::take(&mut self.over_quota)
    }

    /// What a call of the request weighs, in calls of mean work; a short one may be of a costly class.
    fn work(&self, request: &Request) -> f64 {
        (request.ask.prompt_tokens / self.mean_prompt.get().unwrap_or(0.0)).max(1.0)
    }

    /// Requests that come here in a second, by the last ones.
    fn rate(&self) -> f64 {
        let oldest = self.prefixes.back().map_or(self.now, |(_, at)| *at);
        (self.prefixes.len().max(2) - 1) as f64 / seconds(self.now - oldest).max(RATE_S)
    }

    /// A router's part of what the fleet can do, by its tenants' shares, for each request that it has.
    fn ahead(&self) -> f64 {
        self.usual_rate() / self.replicas / self.rate()
    }

    /// Requests a second that the fleet is set up for: its tenants' shares, else what comes if all see alike.
    fn usual_rate(&self) -> f64 {
        let told: f64 = self.settings.tenant_rates.iter().sum();
        if told > 0.0 { told } else { self.replicas * self.rate() }
    }

    /// Since when what was sent may reach a server within one window: it may wait for its connection.
    fn window_began(&self) -> Micros {
        self.now.saturating_sub(self.settings.fall_window + self.settings.dial_timeout)
    }

    /// When a server last started: as listed, or as a break lets suspect until the list would tell.
    fn started(&self, server: &Server) -> Micros {
        // One that failed again and again and has not answered since may start before any router is told.
        let down = if server.backoff.fails > 1 { self.now } else { 0 };
        let suspected = server.broke.as_ref().map_or(0, |broke| broke.answered.unwrap_or(down));
        server.entry.started_at.max(if suspected + RESTART_TOLD <= self.now { 0 } else { suspected })
    }

    /// The part of its capacity that a server has at its age, if it is as slow to start as any.
    fn warmth(&self, server: &Server) -> f64 {
        let (settings, started) = (&self.settings, self.started(server));
        let age = seconds(self.now.saturating_sub(started)) / seconds(settings.warm_after.max(1));
        if started == 0 { 1.0 } else { settings.cold_from + (1.0 - settings.cold_from) * age.min(1.0) }
    }

    /// Cache affinity: readers as all routers of the zone order them, and how many of them keep its prefix.
    fn homes(&self, request: &Request) -> (Vec<ServerId>, usize) {
        let mut order: Vec<_> = self.listed(true).collect();
        let by_session = |(id, _): &(ServerId, &Server)| mix(request.session_lot, u64::from(id.0));
        let away = |s: &Server| s.entry.zone != self.settings.zone;
        let near = order.iter().filter(|(_, s)| !away(s)).count();
        // One for each reader's worth of requests with the prefix.
        let same = self.prefixes.iter().filter(|(lot, _)| *lot == request.prefix_lot).count();
        let count = (same * near).div_ceil(PREFIXES).max(1).min(near);
        order.sort_by_key(|(id, s)| (away(s), mix(request.prefix_lot, u64::from(id.0))));
        order[..count].sort_by_key(by_session);
        let beyond = (near + count.max(1)).min(order.len());
        order[near..beyond].sort_by_key(by_session);
        (order.into_iter().map(|(id, _)| id).collect(), count)
    }

    /// Seconds that a read is likely to wait for other routers', by how it lately went at those alike.
    fn wait_s(&self, id: ServerId) -> f64 {
        let waits = self.servers.get(&id).and_then(|s| self.waits.get(&self.alike(s)));
        waits.map_or(0.0, |wait_s| wait_s.left(self.now, WAIT_FADE_S))
    }

    /// The servers of which one tells: its zone's that are as cold, for those get their part by lot.
    fn alike(&self, server: &Server) -> (u32, bool) {
        (server.entry.zone, self.warmth(server) < 1.0)
    }

    /// What a read of the request would take at each of the readers, behind what this router has out there.
    fn reads(&self, request: &Request, readers: &[ServerId]) -> Vec<Read> {
        let ask = &request.ask;
        let (order, homes) = self.homes(request);
        let order: BTreeMap<_, _> = order.into_iter().zip(0..).collect();
        let read = |id: &ServerId| {
            let rank = order.get(id).copied().unwrap_or(order.len());
            let at_home = rank < homes;
            let kept = |lot| self.kept.get(&(lot, *id)).map_or(0.0, |kept| kept.0);
            let prefix = if at_home { ask.prefix_tokens } else { kept(request.prefix_lot) };
            let known = kept(request.session_lot).max(prefix.min(ask.prefix_tokens));
            let kilotokens = (ask.prompt_tokens - known).max(0.0) / 1000.0;
            let (alone_s, behind_s) = (self.fit.predict(kilotokens), self.out(*id).backlog_s);
            let work_s = (alone_s - self.fit.weights()[0]).max(0.0);
            Read { server: *id, rank, work_s, behind_s, total_s: alone_s + behind_s }
        };
        readers.iter().map(read).collect()
    }

    fn release_queued(&mut self) {
        let well = self.well(true);
        let mut queue = Vec::new();
        let mut ids = self.ids(|r| r.phase == Phase::Queued);
        ids.sort_by_key(|id| self.requests[id].best.0);
        for (n, id) in ids.into_iter().enumerate() {
            if n < LOOKS || self.requests[&id].best.0 == 0 {
                let reads = self.reads(&self.requests[&id], &well).into_iter().map(|r| r.total_s);
                let best = (self.now, reads.reduce(f64::min).unwrap_or(0.0));
                self.requests.entry(id.clone()).and_modify(|r| r.best = best);
            }
            let request = &self.requests[&id];
            let ready_at = self.now + micros(request.best.1 + self.first_token_s);
            if ready_at > request.hopeless {
                self.give_up(&id, GiveUpReason::DeadlineOutOfReach);
                continue;
            }
            // Late ones behind those still in time: an aim that is missed cannot be missed again.
            let (late, slack) = (ready_at > request.aim, request.aim as i64 - ready_at as i64);
            queue.push((late, request.over_share, slack, request.came, id));
        }
        queue.sort();
        queue.truncate(LOOKS);
        for (_, over_share, slack, _, id) in queue {
            if let Some(server) = self.choose_reader(&id, slack as f64 / 1e6) {
                self.send(&id, server);
            } else if !self.asks_writers(&id) && over_share {
                // Past its tenant's share it earns little: it goes first when there is not room for all.
                self.give_up(&id, GiveUpReason::OverShare);
            }
        }
    }

    fn choose_reader(&self, id: &RequestId, slack_s: f64) -> Option<ServerId> {
        let request = &self.requests[id];
        if self.listed(true).next().is_none() {
            return self.choose_alone(request);
        }
        if !self.writer_room(request) {
            return None;
        }
        let every = self.listed(true).skip(PRIORITY_EVERY - 1).step_by(PRIORITY_EVERY);
        let priority: BTreeSet<_> = every.map(|(id, _)| id).collect();
        let mut open = self.reads(request, &self.candidates(request, true));
        let reads_out = |r: &Read| self.out(r.server).reads;
        // Fewer where reads take long, whoever's they are.
        let cap = ((READ_AHEAD_S / self.fit.predict(self.fit.mean())) as usize).clamp(1, READER_CAP);
        open.retain(|r| reads_out(r) < cap);
        // Offload: less slack than a full priority batch takes, or every ordinary reader at its cap.
        let batch_s = self.fit.predict(self.fit.mean() * READER_CAP as f64);
        if slack_s >= batch_s + OFFLOAD_MARGIN_S && open.iter().any(|r| !priority.contains(&r.server)) {
            // Ticket: a priority reader where this router has nothing out may be sent one.
            open.retain(|r| !priority.contains(&r.server) || reads_out(r) == 0);
        }
        let away = |r: &Read| self.servers[&r.server].entry.zone != self.settings.zone;
        let cost = |r: &Read| r.total_s + self.wait_s(r.server) + f64::from(u8::from(away(r))) * AWAY_S;
        open.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)).then(a.rank.cmp(&b.rank))).map(|r| r.server)
    }

    /// No reader is listed: a mixed server reads and answers by itself, as much as its memory takes.
    fn choose_alone(&self, request: &Request) -> Option<ServerId> {
        let mut open = self.candidates(request, false);
        open.retain(|s| {
            let (server, out) = (&self.servers[s], self.out(*s));
            let alone = server.role == Role::Both || self.settings.writers_read;
            let fits = out.tokens + request.ask.prompt_tokens <= SHARE_FULL * server.memory;
            alone && (out.attempts == 0 || out.waiting < READER_CAP && fits)
        });
        self.fewest_tokens(request, open.into_iter())
    }

    /// The server where this router has the fewest tokens; among equals by lot, or all would drown the same.
    fn fewest_tokens(&self, request: &Request, of: impl Iterator<Item = ServerId>) -> Option<ServerId> {
        let tokens = |s: &ServerId| self.out(*s).tokens;
        let lot = |s: &ServerId| mix(request.lot, u64::from(s.0));
        of.min_by(|a, b| tokens(a).total_cmp(&tokens(b)).then(lot(a).cmp(&lot(b))))
    }

    fn send(&mut self, id: &RequestId, server: ServerId) {
        let read = self.reads(&self.requests[id], &[server])[0];
        let (work, began) = (self.work(&self.requests[id]), self.window_began());
        let request = self.requests.get_mut(id);
        let (Some(request), Some(known)) = (request, self.servers.get_mut(&server)) else { return };
        known.sent.add(self.now, work, began);
        let reading = known.role == Role::Read;
        if reading {
            let ask = &request.ask;
            self.kept.insert((request.prefix_lot, server), (ask.prefix_tokens, self.now));
            self.kept.insert((request.session_lot, server), (ask.prompt_tokens, self.now));
        }
        let (phase, expected_s) = match request.phase {
            _ if reading => (Phase::Reading, read.total_s),
            Phase::Held(reader, since) => (Phase::Writing(Source::State(reader, since)), self.first_token_s),
            // Until there are answers the aim stands in for an estimate of one that comes in one piece.
            _ if self.fit.is_guess() => (Phase::Writing(Source::Prompt), seconds(request.aim - request.came)),
            _ => (Phase::Writing(Source::Prompt), read.total_s + self.first_token_s),
        };
        request.phase = phase;
        let (sent, out, cancelled, may_have_run) = (self.now, true, false, !reading);
        let to = Attempt { server, sent, reading, expected_s, read, out, cancelled, may_have_run };
        let repeat_before = request.repeat_before().filter(|_| !reading);
        request.attempts.push(to);
        self.actions.push(Action::Send { id: id.clone(), server, repeat_before });
        self.check_quota(id, server, work);
        self.count_out();
    }

    /// Tokens that a request holds at its writer: prompt and what it has grown toward its likely end.
    fn stream_tokens(&self, request: &Request) -> f64 {
        let token = request.class().token_aim.max(1) as f64;
        let end = request.ask.hint.map_or(request.ask.max_output_tokens / 2.0, |hint| hint as f64 / token);
        let grown = match request.phase {
            Phase::Streaming(since) => ((self.now - since) as f64 / token).min(end),
            _ => 0.0,
        };
        request.ask.prompt_tokens + grown
    }

    /// Tokens that all routers have where this one has so many: others the mean told, or own less chance.
    fn of_all(&self) -> impl Fn(f64, usize, f64) -> f64 {
        // Routers that outnumber writers learn little of each other by own requests; reports correct that.
        let guess = self.settings.reports_memory || self.replicas <= self.listed(false).count() as f64;
        let others = if guess { self.replicas * (SURGE * self.ahead()).min(1.0) - 1.0 } else { 0.0 }.max(0.0);
        move |own, n, told| own + others * f64::max(told, own * (1.0 - CHANCE / (n.max(1) as f64).sqrt()))
    }

    /// Share of each writer's memory taken to be held: as reported, else by what this router has and had.
    fn shares(&self, writers: &[ServerId]) -> BTreeMap<ServerId, f64> {
        let mean = self.under_way.mean() / self.listed(false).count().max(1) as f64;
        let of_all = self.of_all();
        let known = |id: &ServerId| {
            let (server, out) = (&self.servers[id], self.out(*id));
            let reported = server.share.filter(|(at, _)| at + REPORT_LIFE > self.now);
            let all = of_all(out.tokens, out.attempts, mean) / server.memory;
            reported.map_or(all, |(_, share)| share.max(out.tokens / server.memory))
        };
        writers.iter().map(|id| (*id, known(id))).collect()
    }

    /// Whether a writer does not make this router wait.
    fn has_room(&self, writer: ServerId) -> bool {
        let out = self.out(writer);
        out.waiting < WAITING_CAP && out.oldest_s < WAITING_S
    }

    /// Whether what is read has a writer to go to: one that does not make this router wait, and has memory.
    fn writer_room(&self, request: &Request) -> bool {
        let well = self.candidates(request, false);
        let room = |(id, share): (ServerId, f64)| (SHARE_FULL - share).max(0.0) * self.servers[&id].memory;
        let shares = self.shares(&well).into_iter().filter(|(id, _)| self.has_room(*id));
        let room: f64 = shares.map(room).sum();
        let reading = self.requests.values().filter(|r| r.phase == Phase::Reading);
        let (tokens, reads) = reading.fold((0.0, 0), |(sum, n), r| (sum + r.ask.prompt_tokens, n + 1));
        room > self.of_all()(tokens, reads, 0.0) || !well.is_empty() && self.outs.is_empty()
    }

    /// Has writers whose load is guessed probed where a request waits for them; whether an answer is to come.
    fn asks_writers(&mut self, id: &RequestId) -> bool {
        if !self.settings.may_probe || self.writer_room(&self.requests[id]) {
            return false;
        }
        let (now, lot, mut waits) = (self.now, self.requests[id].lot, false);
        let mut writers = self.candidates(&self.requests[id], false);
        let away = |id: &ServerId| self.servers[id].entry.zone != self.settings.zone;
        writers.sort_by_key(|id| (away(id), mix(lot, u64::from(id.0))));
        for id in writers.into_iter().take(PROBES) {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let guessed = server.share.is_none_or(|(at, _)| at + REPORT_LIFE <= now);
            if guessed && server.probed + PROBE_PAUSE <= now {
                server.probed = now;
                self.actions.push(Action::Probe { server: id });
            }
            waits |= guessed && server.probed + PROBE_WAIT > now;
        }
        waits
    }

    fn place_held(&mut self) {
        for id in self.ids(|r| matches!(r.phase, Phase::Held(..))) {
            if let Some(writer) = self.choose_writer(&self.requests[&id]) {
                self.send(&id, writer);
            }
        }
    }

    /// The part of a reader's states that the writers of its cell can take if all in the zone act alike.
    fn part_at_home(&self, entry: &Entry) -> f64 {
        let count = |reading: bool, here: bool| {
            let near = self.listed(reading).filter(|(_, s)| s.entry.zone == entry.zone);
            near.filter(|(_, s)| !here || s.entry.cell == entry.cell).count() as f64
        };
        count(false, true) * count(true, false) / count(false, false).max(1.0) / count(true, true).max(1.0)
    }

    fn choose_writer(&self, request: &Request) -> Option<ServerId> {
        let Phase::Held(reader, _) = request.phase else { return None };
        let mut open = self.candidates(request, false);
        if open.iter().any(|s| self.has_room(*s)) {
            open.retain(|s| self.has_room(*s));
        }
        let shares = self.shares(&open);
        let lowest = |of: &[ServerId]| of.iter().map(|s| shares[s]).reduce(f64::min);
        let least = lowest(&open)?;
        let entry = |s: &ServerId| &self.servers[s].entry;
        let home = entry(&reader);
        let stays = draw(request.lot) < self.part_at_home(home);
        let cell: Vec<_> = open.iter().filter(|s| stays && entry(s).cell == home.cell).copied().collect();
        let zone: Vec<_> = open.iter().filter(|s| entry(s).zone == home.zone).copied().collect();
        // What is drawn for one just started goes there: among all the others it would get next to nothing.
        if let Some(cold) = zone.iter().find(|s| self.warmth(&self.servers[*s]) < 1.0) {
            return Some(*cold);
        }
        let near = |g: &Vec<ServerId>| lowest(g).is_some_and(|best| best <= least + SHARE_FAR);
        let group = [cell, zone].into_iter().find(near).unwrap_or(open);
        let best = lowest(&group)?;
        let equal = group.into_iter().filter(|s| shares[s] <= best + SHARE_EQUAL);
        self.fewest_tokens(request, equal)
    }
}
