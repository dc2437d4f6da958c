//! The decisions of the router. Its types, events, actions and settings are defined in `src/interface.rs`.
//!
//! Requests that have not been read yet wait in this router's queue. They leave earliest deadline
//! first, by their slack: the time from the predicted first token to the first-token target. Requests
//! that are nearly late may use all priority readers. Requests that cannot be answered in time are
//! refused before they are read. As soon as a prompt has been read, its request is sent to a writer.

use crate::interface::*;
use crate::numeric::*;
use crate::slow_start::{self, Admission, Offer, OpenSlot, SlotPlan, Slots};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

// Durations are in microseconds, or in seconds where the name of the constant ends in `_S`.

/// One reader in this many, in the order of the server ids, is a priority reader.
const PRIORITY_READER_INTERVAL: usize = 3;
/// Maximum number of this router's reads in flight at one reader. All other
/// requests stay in this router's queue, where their order can still change.
const MAX_READS_PER_READER: usize = 4;
/// A request is nearly late if its slack is less than the time
/// of a full priority batch plus this margin, in seconds.
const OFFLOAD_MARGIN_S: f64 = 0.1;
/// Writers whose memory shares differ by no more than this count as equally loaded.
const EQUAL_SHARE_MARGIN: f64 = 0.1;
/// Nearby writers are preferred unless their memory share
/// exceeds the lowest share of all writers by more than this.
const MAX_LOCALITY_SHARE_LEAD: f64 = 0.2;
/// Weights of the read-time model before enough reads have been measured:
/// constant, linear and quadratic, in seconds over thousands of uncached tokens.
const INITIAL_READ_WEIGHTS: [f64; 3] = [0.2, 0.1, 0.0];
/// Number of measured reads after which the read-time model uses them instead of the initial weights.
const MIN_MODEL_SAMPLES: u32 = 10;
/// Time constant, in seconds, with which older samples lose weight in the
/// read-time model, in the error shares and in the mean of the tokens in progress.
const DECAY_TIME_S: f64 = 10.0;
/// Time for which a reader is assumed to keep a prompt in its cache.
const PROMPT_CACHE_LIFETIME: Micros = 60_000_000;
/// Share of a writer's memory that reads may be started for. Above this share, answers evict each other.
const MAX_MEMORY_SHARE: f64 = 0.92;
/// Assumed size of the fleet before the start of a server, as a multiple of
/// what is listed, for a router that has started after that server.
const UNSEEN_FLEET_FACTOR: f64 = 2.0;
/// Assumed maximum of the arrival rate of the fleet, with the repeated tries
/// of clients, as a multiple of the rate that the fleet is configured for.
const MAX_ARRIVAL_FACTOR: f64 = 4.0;
/// Standard deviations by which the tokens of this router may exceed those of another router by chance.
const CHANCE_DEVIATIONS: f64 = 2.0;
/// Age at which a load report is no longer used.
const LOAD_REPORT_LIFETIME: Micros = 3_000_000;
/// Number of writers that are probed for a request that waits for a writer.
const PROBED_WRITERS: usize = 2;
/// Time that a request waits for the answer to a probe.
const PROBE_TIMEOUT: Micros = 50_000;
/// Minimum time between two probes of the same server.
const MIN_PROBE_INTERVAL: Micros = 1_000_000;
/// An answer (first) or a read (second) is overdue after this multiple of its expected duration.
const OVERDUE_FACTORS: [f64; 2] = [4.0, 8.0];
/// Minimum age, in seconds, of an overdue attempt. A server that
/// has had no successful answer for longer counts as silent.
const MIN_OVERDUE_S: f64 = 0.5;
/// Number of reads that may be cancelled as overdue for each read or answer that ended well.
const CANCELLATIONS_PER_SUCCESS: f64 = 0.1;
/// Number of refused connections in a row that count against a zone as much as one connection
/// timeout. A single refusal may just mean that the connection table of the server is full.
const ZONE_REFUSAL_THRESHOLD: u32 = 3;
/// Maximum time until the roster lists the restart of a server. The discovery protocol guarantees it.
const RESTART_ANNOUNCEMENT_DELAY: Micros = 6_000_000;
/// A failed dial that took longer than this, in seconds,
/// counts as a timeout. A refusal takes a few round trips.
const MAX_REFUSAL_S: f64 = 0.1;
/// First pause after a server has failed. The pause doubles with each further failure.
const INITIAL_BACKOFF: Micros = 500_000;
/// Maximum pause after a server has failed.
const MAX_BACKOFF: Micros = 4_000_000;
/// Weight of an error in the error share of a server.
const ERROR_WEIGHT: f64 = 0.35;
/// Weight of a success in the error share of a server.
const SUCCESS_WEIGHT: f64 = 0.2;
/// Error share from which a server gets no ordinary work. Errors are answered
/// quickly, so that a failing server would otherwise attract all requests.
const MAX_ERROR_SHARE: f64 = 0.4;
/// Number of last prompts whose mean length is the unit in which the work of a call is measured.
const MEAN_PROMPT_SAMPLES: u32 = 200;
/// Minimum period, in seconds, over which the arrival rate is measured.
const MIN_RATE_PERIOD_S: f64 = 1.0;
/// Requests that a tenant may send ahead of its rate before
/// it is over its quota, in seconds at that rate.
const TENANT_BURST_S: f64 = 1.0;
/// Weight of a new answer in the running mean of the first-token time.
const FIRST_TOKEN_WEIGHT: f64 = 0.1;
/// Seconds of reading that this router may queue at one reader, where the order can no longer change.
const MAX_READ_AHEAD_S: f64 = 1.0;
/// Number of this router's attempts without a first token from which a writer counts as busy.
const MAX_UNANSWERED_PER_WRITER: usize = 3;
/// Age in seconds of the oldest attempt without a first token from which a writer counts as busy.
const MAX_UNANSWERED_AGE_S: f64 = 0.3;
/// Seconds by which a read in another zone must be faster than one in this
/// router's zone. Moving a state between zones is slow and costs money.
const OTHER_ZONE_PENALTY_S: f64 = 0.05;
/// Number of last requests from which the share of requests with the same prefix is computed.
const RECENT_PREFIXES: usize = 40;
/// Weight of a new sample in the mean queue wait of a peer group.
const QUEUE_WAIT_WEIGHT: f64 = 0.3;
/// Time constant, in seconds, with which the mean queue wait
/// of a peer group decays while there is no new sample.
const QUEUE_WAIT_DECAY_S: f64 = 4.0;
/// Delay after which a refused client should try again. A queue needs this time to shrink.
const RETRY_AFTER: Micros = 500_000;
/// Number of queued requests that are evaluated again at each event. Evaluating
/// all of them would cost the length of the queue times the number of servers.
const MAX_EVALUATED_REQUESTS: usize = 8;
/// A repeat is cancelled this long before the end of its window.
/// Of this time, 150 ms allow for a process that is held up.
const REPEAT_MARGIN: Micros = 200_000;
/// Interval at which the open requests are checked.
const CHECK_INTERVAL: Micros = 20_000;

/// The input from which a writer makes its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriterInput {
    /// The prompt, which the server reads itself.
    Prompt,
    /// The state that this reader holds, and the time since which it has been held.
    State(ServerId, Micros),
    /// A state that was released while the attempt was in flight. If the
    /// attempt had already arrived, the writer has fetched the state.
    ReleasedState,
}

/// The progress of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// The request waits in this router's queue.
    Queued,
    /// A reader reads the prompt.
    Reading,
    /// This reader holds the state, since this time, and the request waits for a writer.
    Held(ServerId, Micros),
    /// The request was sent to a writer, which has not begun its answer.
    Writing(WriterInput),
    /// The answer began at this time.
    Streaming(Micros),
    /// The request has its final answer, or its client has left.
    Ended,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    server: ServerId,
    sent_at: Micros,
    /// True for an attempt at a reader, false for one at a writer or at a server that reads and writes.
    is_read: bool,
    expected_s: f64,
    read_estimate: ReadEstimate,
    in_flight: bool,
    cancelled: bool,
    /// True if a writer may have run the request.
    may_have_run: bool,
}

/// The predicted duration of a read at one reader.
#[derive(Clone, Copy, Debug)]
struct ReadEstimate {
    server: ServerId,
    /// Index of the reader in the order of preference of the request.
    rank: usize,
    /// Time that the tokens of the read add to the queue of the reader.
    work_s: f64,
    /// Time for which the read waits for the work that this router has in flight at the reader.
    queued_s: f64,
    total_s: f64,
}

/// A request that is open, or whose attempts are still in flight.
#[derive(Debug)]
struct Request {
    arrival: Arrival,
    /// The settings at the request's arrival. They apply to the request until it has ended.
    settings: Rc<Settings>,
    session_hash: u64,
    prefix_hash: u64,
    /// Hash of the session and the prompt length, so that a repeated try of the client gets the same hash.
    retry_hash: u64,
    /// Hash of the session, the prompt length and the request's id.
    request_hash: u64,
    arrived_at: Micros,
    expires_at: Micros,
    /// Time at which the first-token target is missed.
    target_at: Micros,
    /// Time after which a first token is useless: the client or the class no longer waits for it.
    infeasible_after: Micros,
    over_tenant_quota: bool,
    /// Time of the last prediction of the shortest read (0 if
    /// there was none yet), and that read's duration in seconds.
    shortest_read: (Micros, f64),
    phase: Phase,
    attempts: Vec<Attempt>,
}

impl Request {
    /// Returns the request's class under the settings at its arrival.
    fn class(&self) -> &Class {
        self.settings.class(self.arrival.class)
    }

    /// Returns the first attempt that may have run.
    fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run)
    }

    /// Returns the time by which a repeat must have been written, if the
    /// class has a window for repeats and an earlier attempt may have run.
    fn repeat_deadline(&self) -> Option<Micros> {
        let Effect::Keyed { window, .. } = self.class().effect else { return None };
        self.first_possible_run().map(|first_run| first_run.sent_at + window)
    }

    /// Returns true if a repeat sent now may arrive after
    /// the end of the window in which servers drop repeats.
    fn is_repeat_window_over(&self, now: Micros) -> bool {
        self.repeat_deadline().is_some_and(|end| end <= now + REPEAT_MARGIN)
    }

    /// Returns true if a repeat in flight must be cancelled, because it may arrive after the end of
    /// the window in which servers recognise it. That happens on a connection that has fallen
    /// silent: the repeat arrives when the server can be reached again, and would run a second time.
    fn is_repeat_expiring(&self, now: Micros) -> bool {
        let Some((last, earlier)) = self.attempts.split_last() else { return false };
        let is_repeat = !last.is_read && earlier.iter().any(|attempt| attempt.may_have_run);
        last.in_flight
            && !last.cancelled
            && is_repeat
            && self.is_repeat_window_over(now)
            && self.settings.may_cancel
    }

    /// Returns true if no further attempt is allowed: the window for repeats is over, a request
    /// with side effects may have run, or the maximum number of attempts has been made.
    fn attempts_exhausted(&self, now: Micros) -> bool {
        let unsafe_run = self.first_possible_run().is_some() && self.class().effect == Effect::Unsafe;
        self.is_repeat_window_over(now)
            || unsafe_run
            || self.attempts.len() >= self.settings.max_attempts as usize
    }
}

/// The failure of a connection to a server. The server may
/// have restarted, which the roster lists seconds later.
#[derive(Debug)]
struct ConnectionBreak {
    at: Micros,
    /// Time of the first answer to a request that was sent after the break.
    first_answer_at: Option<Micros>,
}

/// The information that this router has about one server.
#[derive(Debug, Default)]
struct Server {
    /// Time at which the server, or its last start, was first listed.
    known_since: Micros,
    entry: Entry,
    role: Role,
    memory_tokens: f64,
    /// Time of the last load report, and the memory share in it.
    reported_share: Option<(Micros, f64)>,
    last_probe: Micros,
    backoff: Backoff,
    last_break: Option<ConnectionBreak>,
    /// Recent sends to the server, in calls of mean work.
    recent_sends: SlidingSum,
    /// Slots for calls to the server in slow start.
    slots: Slots,
    /// Time of the last successful answer.
    last_success: Micros,
    /// Share of errors among the recent answers.
    error_share: DecayingValue,
}

/// The requests that this router has in flight at one server.
#[derive(Clone, Copy, Debug, Default)]
struct InFlight {
    reads: usize,
    /// Seconds that the reads in flight, and the prompts that the
    /// server reads for requests without a state, add to its queue.
    backlog_s: f64,
    attempts: usize,
    /// Number of attempts that have no first token yet and are not cancelled.
    unanswered: usize,
    /// Age of the oldest unanswered attempt, in seconds.
    max_age_s: f64,
    /// Maximum of age divided by expected duration over the unanswered attempts.
    max_age_ratio: f64,
    /// Tokens that the requests hold in the server's memory.
    tokens: f64,
}

/// A call to a server in slow start, with what the router knew when it sent the call.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartCall {
    /// The request.
    pub request: RequestId,
    /// The server.
    pub server: ServerId,
    /// The rule that admitted the call.
    pub admission: Admission,
    /// Time since the server's last start, as far as it is known or suspected.
    pub age: Micros,
    /// Time since this router knows of the server or of its last listed start.
    pub known_for: Micros,
    /// Work that this router has sent to the server within the window, with this call, in calls of mean work.
    pub sent_work: f64,
    /// Number of calls of mean work that all routers together may regularly send within the window.
    pub regular_calls: f64,
    /// Number of requests that arrived at this router within the window, at most [`RECENT_PREFIXES`].
    pub recent_arrivals: usize,
}

/// Decides for one gateway where its requests are sent, and when they are repeated, cancelled or refused.
#[derive(Debug, Default)]
pub struct Router {
    settings: Rc<Settings>,
    /// Seed of the slots. It differs between routers.
    seed: u64,
    replicas: f64,
    servers: BTreeMap<ServerId, Server>,
    requests: BTreeMap<RequestId, Request>,
    /// Time of a read in seconds by thousands of uncached tokens.
    read_time: QuadraticRegression,
    /// Mean time from a send to a writer to its first token, in seconds.
    first_token_s: f64,
    tenant_buckets: Vec<LeakyBucket>,
    /// Tokens assumed to be cached, and the time at which their
    /// read was sent, by session or prefix hash and reader.
    cached_tokens: BTreeMap<(u64, ServerId), (f64, Micros)>,
    /// Prefix hashes and arrival times of the last requests, the latest first.
    recent_prefixes: VecDeque<(u64, Micros)>,
    /// Mean queue wait of recent reads, by peer group: the zone, and whether the readers are in slow start.
    queue_waits: BTreeMap<(u32, bool), DecayingValue>,
    /// Pause of each zone, and the number of failed connections to the zone
    /// since its last answer. A connection timeout counts as several refusals.
    zone_failures: BTreeMap<u32, (Backoff, u32)>,
    /// Number of reads cancelled as overdue, less a fraction of the attempts that ended
    /// well. While this is 1 or more, no read is cancelled as overdue: each cancelled
    /// read is read again elsewhere, and would add to the congestion that delayed it.
    cancelled_reads: f64,
    is_timer_set: bool,
    is_roster_requested: bool,
    /// Maximum numbers of servers, and of zones with at least one server,
    /// that were ready at once: first of writers, then of readers.
    max_ready: [[f64; 2]; 2],
    /// Number of ready readers in each zone that has any.
    ready_readers_by_zone: BTreeMap<u32, usize>,
    /// Mean prompt length in tokens.
    mean_prompt: RunningMean,
    /// Mean of the sum of tokens of all requests that are being read or written.
    tokens_in_progress: TimeWeightedMean,
    /// Time of the first call of `handle`.
    started_at: Option<Micros>,
    /// Time of the current call of `handle`.
    now: Micros,
    /// Requests in flight at each server at the time of the current call.
    in_flight: BTreeMap<ServerId, InFlight>,
    /// Actions that the current call of `handle` returns.
    actions: Vec<Action>,
    /// Sends beyond the quota of a server in slow start. An invariant of the router is that there are none.
    sends_over_quota: Vec<(RequestId, ServerId)>,
    /// Calls to servers in slow start in the last call of `handle`.
    slow_start_calls: Vec<SlowStartCall>,
}

impl Router {
    /// Creates a router that knows only its settings. Settings
    /// without a class or without a server kind are refused. The seed must differ
    /// between routers, whose calls to a server in slow start would else coincide.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        if settings.classes.is_empty() || settings.roles.is_empty() {
            return Err(SettingsError("no request class or no server kind".into()));
        }
        Ok(Self {
            seed,
            replicas: f64::from(settings.replicas.max(1)),
            read_time: QuadraticRegression::new(INITIAL_READ_WEIGHTS, MIN_MODEL_SAMPLES),
            first_token_s: 0.1, // initial estimate, until the first answers have been measured
            tenant_buckets: vec![LeakyBucket::default(); settings.tenant_rates.len()],
            settings: Rc::new(settings),
            ..Self::default()
        })
    }

    /// Applies new settings to all requests that arrive from now
    /// on. Settings that [`Router::new`] would refuse are ignored.
    fn apply_settings(&mut self, settings: &Settings) {
        if let Ok(new) = Self::new(settings.clone(), 0) {
            self.tenant_buckets.resize(new.tenant_buckets.len(), LeakyBucket::default());
            (self.replicas, self.settings) = (new.replicas, new.settings);
        }
    }

    /// Processes the events that happened until `now` and returns the actions to carry out.
    pub fn handle(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = now.max(self.now);
        self.started_at.get_or_insert(self.now);
        self.slow_start_calls.clear();
        for event in events {
            match event {
                Event::Roster { form, entries } => self.apply_roster(*form, entries),
                Event::Request(arrival) => self.add_request(arrival),
                Event::FirstToken { id, attempt } => self.record_first_token(id, *attempt),
                Event::Outcome(outcome) => self.record_outcome(outcome),
                Event::Abandoned { id } => self.end_request(id, None),
                Event::Probed { server, load } => self.record_load(*server, load),
                Event::RunningSince { server, since } => self.record_running_since(*server, *since),
                Event::Settings(settings) => self.apply_settings(settings),
                Event::ShuttingDown { time_left } => self.shorten_deadlines(*time_left),
                Event::Timer { token } => self.is_timer_set &= *token != 0,
            }
        }
        if self.settings.must_request_roster && !std::mem::replace(&mut self.is_roster_requested, true) {
            self.actions.push(Action::WatchRoster);
        }
        self.advance_slots();
        self.count_in_flight();
        self.check_open_requests();
        self.send_held();
        self.send_queued();
        self.cached_tokens.retain(|_, entry| now < entry.1 + PROMPT_CACHE_LIFETIME);
        self.requests.retain(|_, r| r.phase != Phase::Ended || r.attempts.iter().any(|a| a.in_flight));
        let is_in_use = |id| self.requests.values().flat_map(|r| &r.attempts).any(|a| a.server == id);
        // A server that is removed may be listed again, and the calls to it still count then.
        let window_start = self.window_start();
        let has_recent_sends = |s: &Server| s.recent_sends.since(window_start) > 0.0;
        self.servers
            .retain(|id, s| s.entry.condition != Condition::Gone || is_in_use(*id) || has_recent_sends(s));
        if !self.requests.is_empty() && !std::mem::replace(&mut self.is_timer_set, true) {
            self.actions.push(Action::Timer { token: 0, after: CHECK_INTERVAL });
        }
        std::mem::take(&mut self.actions)
    }

    /// Adds an arrived request to the queue, with its deadlines
    /// and the hashes by which routers agree on servers.
    fn add_request(&mut self, arrival: &Arrival) {
        let class = self.settings.class(arrival.class);
        let length_allowance =
            (arrival.prompt_tokens / 1000.0 * class.first_token_target_per_1000 as f64) as Micros;
        let session_hash = hash_text(arrival.session.as_deref().unwrap_or(&arrival.id.0));
        let prefix_hash = arrival.prefix.as_deref().map_or(session_hash, hash_text);
        self.recent_prefixes.push_front((prefix_hash, self.now));
        self.recent_prefixes.truncate(RECENT_PREFIXES);
        let retry_hash = hash_pair(session_hash, arrival.prompt_tokens as u64);
        let request = Request {
            session_hash,
            prefix_hash,
            retry_hash,
            request_hash: hash_pair(retry_hash, hash_text(&arrival.id.0)),
            expires_at: self.now + arrival.expires_in,
            arrived_at: self.now,
            target_at: self.now + class.first_token_target + length_allowance,
            infeasible_after: self.now + arrival.expires_in.min(class.deadline + 2 * length_allowance),
            settings: self.settings.clone(),
            // A resumed request was counted at its first try. It is not counted again,
            // because the loss of many connections at once brings many clients back at once.
            over_tenant_quota: !arrival.resumed && self.charge_tenant(arrival.tenant),
            shortest_read: (0, 0.0),
            phase: Phase::Queued,
            attempts: Vec::new(),
            arrival: arrival.clone(),
        };
        self.mean_prompt.add_sample(arrival.prompt_tokens, MEAN_PROMPT_SAMPLES);
        self.requests.insert(arrival.id.clone(), request);
    }

    /// Counts a request of the tenant in the leaky bucket for this router's
    /// part of the tenant's rate. Returns true if the tenant is over its quota.
    fn charge_tenant(&mut self, tenant: usize) -> bool {
        let own_rate = self.settings.tenant_rates.get(tenant).map_or(0.0, |rate| rate / self.replicas);
        own_rate > 0.0
            && self.tenant_buckets[tenant].add(self.now, own_rate) > (own_rate * TENANT_BURST_S).max(2.0)
    }

    /// Returns true if the request may be refused. A refusal
    /// promises that repeating the request does no harm.
    fn may_refuse(&self, request: &Request) -> bool {
        let never_ran = request.attempts.iter().all(|a| !a.may_have_run && !a.in_flight);
        never_ran || matches!(request.class().effect, Effect::Safe | Effect::Keyed { group: Group::All, .. })
    }

    /// Returns true if the request's class allows an attempt
    /// at the server after earlier attempts that may have run.
    fn may_send(&self, request: &Request, to: ServerId) -> bool {
        match (request.first_possible_run(), request.class().effect) {
            (None, _) | (_, Effect::Safe) => true,
            (_, Effect::Unsafe) => false,
            (Some(first_run), Effect::Keyed { group, .. }) => {
                let (ran_at, target) = (&self.servers[&first_run.server].entry, &self.servers[&to].entry);
                let same_group =
                    ran_at.zone == target.zone && (group == Group::Zone || ran_at.cell == target.cell);
                (group == Group::All || same_group) && !request.attempts_exhausted(self.now)
            }
        }
    }

    /// Ends a request: sends the answer, if there is one, cancels its attempts and releases its state.
    fn end_request(&mut self, id: &RequestId, answer: Option<Action>) {
        let Some(request) = self.requests.get_mut(id).filter(|r| r.phase != Phase::Ended) else { return };
        request.phase = Phase::Ended;
        let was_sent = !request.attempts.is_empty();
        self.actions.extend(answer);
        self.cancel_attempts(id);
        if was_sent {
            self.actions.push(Action::Release { id: id.clone() });
        }
    }

    /// Cancels all attempts of the request that are in flight, if the settings allow cancelling.
    fn cancel_attempts(&mut self, id: &RequestId) {
        let Some(Request { attempts, settings, .. }) = self.requests.get_mut(id) else { return };
        for (n, attempt) in (0..).zip(attempts) {
            if attempt.in_flight && !attempt.cancelled && settings.may_cancel {
                attempt.cancelled = true;
                self.actions.push(Action::Cancel { id: id.clone(), attempt: n });
            }
        }
    }

    /// Ends a request without a server's answer: refuses it if a repeat does no harm, and fails it otherwise.
    fn give_up(&mut self, id: &RequestId, reason: GiveUpReason) {
        let request = &self.requests[id];
        let is_safe = request.class().effect == Effect::Safe;
        let has_time = request.expires_at > self.now + CHECK_INTERVAL;
        if !is_safe && request.phase == Phase::Reading && has_time && request.settings.may_cancel {
            // While a read is in flight, a refusal would not be provably true. The read
            // is cancelled first, and the request is answered when the read has ended.
            return self.cancel_attempts(id);
        }
        let (id, refuse) = (id.clone(), self.may_refuse(request));
        let refusal = Action::Refuse { id: id.clone(), reason, retry_after: RETRY_AFTER };
        let answer = if refuse { refusal } else { Action::Fail { id: id.clone(), reason } };
        self.end_request(&id, Some(answer));
    }

    /// Limits the deadlines of all open requests to the time left before this router
    /// shuts down, so that each is answered and its state released before then.
    fn shorten_deadlines(&mut self, time_left: Micros) {
        for request in self.requests.values_mut() {
            request.expires_at = request.expires_at.min(self.now + time_left);
            request.infeasible_after = request.infeasible_after.min(request.expires_at);
        }
    }

    /// Checks every open request: gives it up at its deadline or when no attempt is
    /// left, releases a state that has been held too long, and cancels overdue attempts.
    fn check_open_requests(&mut self) {
        let soon = self.now + 2 * CHECK_INTERVAL + 2 * self.settings.resolution;
        for id in self.request_ids(|r| !matches!(r.phase, Phase::Ended | Phase::Streaming(_))) {
            let request = &self.requests[&id];
            match request.phase {
                _ if request.expires_at <= soon => self.give_up(&id, GiveUpReason::DeadlineReached),
                Phase::Queued | Phase::Held(..) if request.attempts_exhausted(self.now) => {
                    self.give_up(&id, GiveUpReason::AttemptsExhausted);
                }
                Phase::Held(_, since) if since + request.settings.max_state_hold <= soon => {
                    self.set_phase(&id, Phase::Queued)
                }
                Phase::Writing(_) if request.is_repeat_expiring(self.now) => self.cancel_attempts(&id),
                Phase::Writing(WriterInput::State(_, since))
                    if since + request.settings.max_state_hold <= soon =>
                {
                    self.release_while_writing(&id);
                }
                Phase::Reading | Phase::Writing(_) => self.cancel_if_overdue(&id),
                _ => {}
            }
        }
    }

    /// Releases a state whose hold time is over while an attempt at a writer is in
    /// flight. On a connection that has fallen silent, that attempt may never arrive.
    /// If the attempt has arrived, the release does not take the state away from it.
    fn release_while_writing(&mut self, id: &RequestId) {
        self.actions.push(Action::Release { id: id.clone() });
        self.set_phase(id, Phase::Writing(WriterInput::ReleasedState));
    }

    /// Returns the ids of the requests that match the condition, in the order of the ids.
    fn request_ids(&self, matches: impl Fn(&Request) -> bool) -> Vec<RequestId> {
        let found = self.requests.iter().filter(|(_, r)| matches(r));
        found.map(|(id, _)| id.clone()).collect()
    }

    /// Sets the phase of a request. A request that returns to the queue has its state released.
    fn set_phase(&mut self, id: &RequestId, phase: Phase) {
        if phase == Phase::Queued {
            // A reader may still hold a state, if its answer was
            // lost or if the writer could not reach the reader.
            self.actions.push(Action::Release { id: id.clone() });
        }
        self.requests.entry(id.clone()).and_modify(|r| r.phase = phase);
    }

    /// Cancels the last attempt of a request if the attempt is overdue and another server may take the
    /// request. A server that has fallen silent would otherwise keep the request until its deadline.
    fn cancel_if_overdue(&mut self, id: &RequestId) {
        let request = &self.requests[id];
        let attempt @ Attempt { server, is_read, .. } = request.attempts[request.attempts.len() - 1];
        let is_harmless =
            if is_read { self.cancelled_reads < 1.0 } else { request.class().effect == Effect::Safe };
        let has_attempts_left =
            request.attempts.len() + usize::from(is_read) < request.settings.max_attempts as usize;
        let wait_s = self.expected_wait_s(server) * f64::from(u8::from(is_read));
        let overdue_s =
            MIN_OVERDUE_S.max(OVERDUE_FACTORS[usize::from(is_read)] * (attempt.expected_s + wait_s));
        let may_cancel =
            attempt.in_flight && !attempt.cancelled && is_harmless && request.settings.may_cancel;
        let is_overdue = seconds(self.now - attempt.sent_at) >= overdue_s && has_attempts_left;
        let is_silent = self.is_silent(server);
        // A writer that answers other requests just has a queue.
        // Its request moves only to a writer without a queue.
        let is_better = |s: &ServerId| *s != server && (is_silent || is_read || self.has_room(*s));
        if may_cancel && is_overdue && self.healthy_servers(is_read).iter().any(is_better) {
            if is_silent {
                self.record_failure(server, 0);
            }
            self.cancelled_reads += f64::from(u8::from(is_read));
            self.cancel_attempts(id);
        }
    }

    /// Records the first token of an answer, and updates the mean first-token time.
    fn record_first_token(&mut self, id: &RequestId, index: u32) {
        let Some(request) = self.requests.get_mut(id).filter(|r| r.phase != Phase::Ended) else { return };
        let Some(attempt) = request.attempts.get(index as usize).filter(|a| a.in_flight) else {
            return;
        };
        request.phase = Phase::Streaming(self.now);
        let (server, sent_at, duration_s) =
            (attempt.server, attempt.sent_at, seconds(self.now - attempt.sent_at));
        self.first_token_s += FIRST_TOKEN_WEIGHT * (duration_s - self.first_token_s);
        self.record_success(server, sent_at);
    }

    /// Records how an attempt ended, and decides on the next step of its request: end it, wait for a writer,
    /// or return to the queue. Updates the read-time model, the queue waits and the failures of the server.
    fn record_outcome(&mut self, outcome: &Outcome) {
        let &Outcome { ref id, attempt, status, is_final, status_detail, load } = outcome;
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt as usize).filter(|a| a.in_flight) else {
            return;
        };
        attempt.in_flight = false;
        let waited_in_vain = attempt.is_read && matches!(status, Status::Cancelled | Status::TimedOut);
        use Status::{NeverSent, NoConnection, Read, Rejected};
        attempt.may_have_run &= !matches!(status, Rejected | NeverSent | NoConnection | Read);
        let (server, queued_s, sent_at) = (attempt.server, attempt.read_estimate.queued_s, attempt.sent_at);
        let duration_s = seconds(self.now - sent_at);
        let dial_timed_out = status == NoConnection && duration_s > MAX_REFUSAL_S;
        let refusals =
            if dial_timed_out { ZONE_REFUSAL_THRESHOLD } else { u32::from(status == NoConnection) };
        let (phase, session_hash) = (request.phase, request.session_hash);
        let uncached = (request.arrival.prompt_tokens - status_detail).max(0.0) / 1000.0;
        self.record_load(server, &load);
        // The wait in a reader's queue is computed from its load report, if there
        // is one. Otherwise the wait shows in a read that took longer than
        // predicted, in a rejected read, or in a read that ended without an answer.
        let observed_wait_s = match status {
            Status::Read => Some((duration_s - self.read_time.predict(uncached) - queued_s).max(0.0)),
            Rejected if status_detail < 1.0 => Some(MAX_READ_AHEAD_S),
            _ => waited_in_vain.then_some(duration_s),
        };
        let s_per_1000 = (self.read_time.predict(1.0) - self.read_time.weights()[0]).max(0.001);
        let wait_s = load.queued_kilotokens.map(|tokens| tokens * s_per_1000).or(observed_wait_s);
        let reader = self.servers.get(&server).filter(|s| s.role == Role::Read);
        if let (Some(reader), Some(wait_s)) = (reader, wait_s) {
            let mean_wait = self.queue_waits.entry(self.peer_group(reader)).or_default();
            *mean_wait = mean_wait.toward(wait_s, QUEUE_WAIT_WEIGHT, self.now, QUEUE_WAIT_DECAY_S);
        }
        match status {
            Status::Read | Status::Served => {
                self.cancelled_reads = (self.cancelled_reads - CANCELLATIONS_PER_SUCCESS).max(0.0);
                // An answer that came in one piece from a server that reads and writes
                // is a sample too: that server needs the whole duration for a request.
                if status == Status::Read || phase == Phase::Writing(WriterInput::Prompt) {
                    self.read_time.add_sample(self.now, DECAY_TIME_S, uncached, duration_s);
                }
                self.record_success(server, sent_at);
            }
            Status::TimedOut if is_final => {}
            Status::Error | Status::Reset | Status::NoConnection | Status::TimedOut => {
                self.cached_tokens.remove(&(session_hash, server));
                self.record_failure(server, refusals);
                if let Some(failed) = self.servers.get_mut(&server) {
                    match status {
                        Status::Error => {
                            failed.error_share =
                                failed.error_share.toward(1.0, ERROR_WEIGHT, self.now, DECAY_TIME_S)
                        }
                        _ => {
                            failed.last_break = Some(ConnectionBreak { at: self.now, first_answer_at: None })
                        }
                    }
                }
            }
            Status::Rejected if status_detail < 1.0 => self.record_failure(server, 0),
            _ => {}
        }
        if phase == Phase::Ended {
            // A read that ends after its request leaves a state that nothing else would release.
            return self.actions.push(Action::Release { id: id.clone() });
        }
        if is_final {
            return self.end_request(id, None);
        }
        // After a writer has failed, the reader still holds the state, unless
        // the writer had fetched the state already or the state is gone.
        let next = match (status, phase) {
            (Status::Read, _) => Phase::Held(server, self.now),
            (Status::Rejected, _) if status_detail >= 1.0 => Phase::Queued,
            // The hold time of a state runs on during a dial that
            // times out, and does not last for a second dial.
            (_, Phase::Writing(_)) if dial_timed_out => Phase::Queued,
            (NoConnection | NeverSent, Phase::Writing(WriterInput::State(reader, since))) => {
                Phase::Held(reader, since)
            }
            (_, Phase::Writing(WriterInput::State(reader, _))) => Phase::Held(reader, self.now),
            _ => Phase::Queued,
        };
        self.set_phase(id, next);
        if self.requests[id].attempts_exhausted(self.now) {
            self.give_up(id, GiveUpReason::AttemptsExhausted);
        }
    }

    /// Records the memory share that a server has reported.
    fn record_load(&mut self, id: ServerId, load: &Load) {
        if let (Some(server), Some(share)) = (self.servers.get_mut(&id), load.memory_share) {
            server.reported_share = Some((self.now, share));
        }
    }

    /// Applies a roster update. A server that is missing from a full list is gone.
    fn apply_roster(&mut self, form: RosterForm, entries: &[Entry]) {
        if form == RosterForm::Failed {
            self.is_roster_requested = false;
        } else if form == RosterForm::Full {
            self.servers.values_mut().for_each(|s| s.entry.condition = Condition::Gone);
        }
        for entry in entries {
            let Some(&role) = self.settings.roles.get(entry.kind) else { continue };
            let server = self.servers.entry(entry.server).or_default();
            if server.role != role
                || server.entry.started_at != entry.started_at
                || server.memory_tokens == 0.0
            {
                // The server is new or was restarted. Only the sends are kept:
                // all other information is about a process that no longer runs.
                let configured = self.settings.memory_tokens.get(entry.kind).copied().filter(|m| *m > 0.0);
                let memory_tokens = configured.unwrap_or(f64::INFINITY);
                let recent_sends = std::mem::take(&mut server.recent_sends);
                let started_at = if entry.started_at > 0 { entry.started_at } else { self.now };
                let server_hash = hash_pair(u64::from(entry.server.0), entry.started_at);
                let slots = Slots::new(server_hash, started_at, self.settings.instance, self.seed);
                let known_since = self.now;
                *server =
                    Server { role, memory_tokens, recent_sends, slots, known_since, ..Server::default() };
            }
            server.entry = entry.clone();
        }
        let reader_zones: Vec<_> = self.ready_servers(true).map(|(_, s)| s.entry.zone).collect();
        self.ready_readers_by_zone.clear();
        reader_zones.into_iter().for_each(|zone| *self.ready_readers_by_zone.entry(zone).or_default() += 1);
        for (readers, previous_max) in [false, true].into_iter().zip(self.max_ready) {
            let zones: Vec<_> = self.ready_servers(readers).map(|(_, s)| s.entry.zone).collect();
            let ready = [zones.len(), zones.iter().collect::<BTreeSet<_>>().len()];
            self.max_ready[usize::from(readers)] = [0, 1].map(|n| previous_max[n].max(ready[n] as f64));
        }
    }

    /// Records a failure of a server, so that the server is left alone for a while.
    /// Failed connections also count against the server's zone, which may be cut off.
    fn record_failure(&mut self, id: ServerId, refusals: u32) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.backoff.fail(self.now, INITIAL_BACKOFF, MAX_BACKOFF);
        let (zone_backoff, zone_refusals) = self.zone_failures.entry(server.entry.zone).or_default();
        *zone_refusals += refusals;
        if refusals > 0 && *zone_refusals >= ZONE_REFUSAL_THRESHOLD {
            zone_backoff.fail(self.now, INITIAL_BACKOFF, MAX_BACKOFF);
        }
    }

    /// Records that the server's process has run since the given time. A
    /// connection that broke after that time does not point to a restart.
    fn record_running_since(&mut self, id: ServerId, since: Micros) {
        self.servers
            .entry(id)
            .and_modify(|server| _ = server.last_break.take_if(|last_break| since <= last_break.at));
    }

    /// Records a successful answer to a request that was sent at the
    /// given time. The server and its zone are no longer left alone.
    fn record_success(&mut self, id: ServerId, sent_at: Micros) {
        self.record_running_since(id, sent_at);
        if let Some(server) = self.servers.get_mut(&id) {
            server
                .last_break
                .iter_mut()
                .for_each(|last_break| _ = last_break.first_answer_at.get_or_insert(self.now));
            (server.backoff, server.last_success) = (Backoff::default(), self.now);
            self.zone_failures.remove(&server.entry.zone);
            server.error_share = server.error_share.toward(0.0, SUCCESS_WEIGHT, self.now, DECAY_TIME_S);
        }
    }

    /// Returns true if the server has not answered successfully for a while. If the
    /// server does answer others, a request that waits longer may just be queued there.
    fn is_silent(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_none_or(|s| seconds(self.now - s.last_success) > MIN_OVERDUE_S)
    }

    /// Returns the requests that this router has in flight at the server.
    fn in_flight_at(&self, id: ServerId) -> InFlight {
        self.in_flight.get(&id).copied().unwrap_or_default()
    }

    /// Counts the requests in flight at each server, and updates the mean of the tokens in progress.
    fn count_in_flight(&mut self) {
        let mut counts = BTreeMap::<ServerId, InFlight>::new();
        for request in self.requests.values() {
            for attempt in request.attempts.iter().filter(|a| a.in_flight) {
                let count = counts.entry(attempt.server).or_default();
                count.attempts += 1;
                let age_s = seconds(self.now - attempt.sent_at);
                if !attempt.cancelled && !matches!(request.phase, Phase::Streaming(_)) {
                    count.unanswered += 1;
                    count.max_age_s = count.max_age_s.max(age_s);
                    count.max_age_ratio = count.max_age_ratio.max(age_s / attempt.expected_s.max(0.01));
                }
                if attempt.is_read {
                    count.reads += 1;
                    count.backlog_s += attempt.read_estimate.work_s;
                } else {
                    let reads_prompt = request.phase == Phase::Writing(WriterInput::Prompt);
                    count.backlog_s += f64::from(u8::from(reads_prompt)) * attempt.read_estimate.work_s;
                    count.tokens += self.held_tokens(request);
                }
            }
        }
        self.in_flight = counts;
        let in_progress = self.requests.values().filter(|r| !matches!(r.phase, Phase::Queued | Phase::Ended));
        self.tokens_in_progress.set(self.now, in_progress.map(|r| self.held_tokens(r)).sum(), DECAY_TIME_S);
    }

    /// Returns the servers that the roster lists as ready: the readers, or all others.
    fn ready_servers(&self, readers: bool) -> impl Iterator<Item = (ServerId, &Server)> {
        let is_ready =
            move |s: &Server| s.entry.condition == Condition::Ready && (s.role == Role::Read) == readers;
        self.servers.iter().filter(move |(_, s)| is_ready(s)).map(|(id, s)| (*id, s))
    }

    /// Returns the servers for ordinary work: those that neither fail nor have fallen silent. If there is
    /// none, the servers whose pause ends first are returned, so that requests are still tried somewhere.
    fn healthy_servers(&self, readers: bool) -> Vec<ServerId> {
        let mut servers: Vec<_> = self.ready_servers(readers).collect();
        let is_healthy = |(id, s): &(ServerId, &Server)| {
            let in_flight = self.in_flight_at(*id);
            let has_fallen_silent = in_flight.max_age_s > MIN_OVERDUE_S
                && in_flight.max_age_ratio > OVERDUE_FACTORS[1]
                && self.is_silent(*id);
            // After a pause, a server that has failed gets one request at a time until it has answered.
            let is_on_trial = s.backoff.failures > 0 && in_flight.attempts > 0;
            self.now >= s.backoff.paused_until
                && !has_fallen_silent
                && !is_on_trial
                && s.error_share.decayed(self.now, DECAY_TIME_S) < MAX_ERROR_SHARE
        };
        if servers.iter().any(is_healthy) {
            servers.retain(is_healthy);
            // Dialling one server after the other in a zone that is
            // cut off would use up the request's attempts and time.
            let is_cut_off = |s: &Server| {
                self.zone_failures
                    .get(&s.entry.zone)
                    .is_some_and(|failures| self.now < failures.0.paused_until)
            };
            if servers.iter().any(|(_, s)| !is_cut_off(s)) {
                servers.retain(|(_, s)| !is_cut_off(s));
            }
        } else {
            let first_end = servers.iter().map(|(_, s)| s.backoff.paused_until).min();
            servers.retain(|(_, s)| Some(s.backoff.paused_until) == first_end);
        }
        servers.into_iter().map(|(id, _)| id).collect()
    }

    /// Returns the number of ready servers that get no ordinary work at this time.
    pub fn avoided_server_count(&mut self, now: Micros) -> usize {
        self.now = now.max(self.now);
        [true, false]
            .map(|readers| self.ready_servers(readers).count() - self.healthy_servers(readers).len())
            .iter()
            .sum()
    }

    /// Returns the healthy servers that the request's class and slow start allow. If
    /// some of them have not had an attempt of the request yet, only those are returned.
    fn candidates(&self, request: &Request, readers: bool) -> Vec<ServerId> {
        let mut servers = self.healthy_servers(readers);
        let preferred = readers.then(|| self.preferred_readers(request).0.first().copied()).flatten();
        servers.retain(|s| self.may_send(request, *s) && self.slow_start_admits(request, *s, preferred));
        let is_untried = |s: &ServerId| request.attempts.iter().all(|a| a.server != *s);
        if servers.iter().any(is_untried) {
            servers.retain(is_untried);
        }
        servers
    }

    /// Returns true if slow start allows the request at the server. A reader in slow start gets only requests
    /// whose first preferred reader it is, except late in a slot. A warm server gets every request.
    fn slow_start_admits(&self, request: &Request, id: ServerId, preferred: Option<ServerId>) -> bool {
        let server = &self.servers[&id];
        let (is_reader, warmth) = (server.role == Role::Read, self.warmth(server));
        if warmth >= 1.0 {
            return true;
        }
        let is_offered = !is_reader || preferred == Some(id);
        let takes_any = || self.open_slot(server).is_some_and(|slot| slot.takes_any_request);
        match self.slow_start_admission(request, id) {
            Some(Admission::Quota) => is_offered,
            Some(Admission::Slot) => is_offered || takes_any(),
            None => false,
        }
    }

    /// Returns the rule by which slow start admits the request at the server. Returns
    /// `None` if the server is warm, or if the request must not be sent there now.
    fn slow_start_admission(&self, request: &Request, id: ServerId) -> Option<Admission> {
        let (server, settings) = (&self.servers[&id], &self.settings);
        let (is_reader, warmth) = (server.role == Role::Read, self.warmth(server));
        if warmth >= 1.0 {
            return None;
        }
        let [max_servers, max_zones] = self.max_ready[usize::from(is_reader)];
        // A reader is offered only the requests whose first preferred reader it is, one in as many as
        // the zone has ready readers. A writer is offered all requests that were read in its zone.
        let readers_in_zone = self.ready_readers_by_zone.get(&server.entry.zone).copied().unwrap_or(0);
        let servers_per_offer = if is_reader { readers_in_zone as f64 } else { 1.0 };
        let multiple = warmth * settings.overload_factor;
        Offer {
            regular_calls: self.regular_calls(server),
            routers: self.replicas,
            sent_work: self.sent_in_window(server),
            work: self.relative_work(request),
            fraction: multiple * servers_per_offer * max_zones / max_servers,
            headroom: self.headroom(),
            hash_fraction: hash_fraction(hash_pair(
                request.request_hash,
                server.entry.started_at ^ u64::from(id.0),
            )),
            open_slot: self.open_slot(server),
        }
        .admission()
    }

    /// Records a call that was just sent to a server in slow start.
    fn record_slow_start_call(&mut self, id: &RequestId, to: ServerId, admission: Option<Admission>) {
        let Some(admission) = admission else { return };
        if let Some(server) = self.servers.get_mut(&to).filter(|_| admission == Admission::Slot) {
            server.slots.close();
        }
        let (server, window_start) = (&self.servers[&to], self.window_start());
        let recent_arrivals = self.recent_prefixes.iter().take_while(|(_, at)| *at >= window_start).count();
        self.slow_start_calls.push(SlowStartCall {
            request: id.clone(),
            server: to,
            admission,
            age: self.now.saturating_sub(self.last_start(server)),
            known_for: self.now.saturating_sub(server.known_since),
            sent_work: self.sent_in_window(server),
            regular_calls: self.regular_calls(server),
            recent_arrivals,
        });
    }

    /// Returns the calls to servers in slow start in the last call of [`Router::handle`].
    pub fn slow_start_calls(&self) -> &[SlowStartCall] {
        &self.slow_start_calls
    }

    /// Returns the number of calls of mean work that all routers together may
    /// regularly send to a server in slow start within one overload window.
    fn regular_calls(&self, server: &Server) -> f64 {
        self.regular_calls_at(server, self.now)
    }

    /// Returns the number of regular calls as of the given time.
    fn regular_calls_at(&self, server: &Server, time: Micros) -> f64 {
        let [max_servers, _] = self.max_ready[usize::from(server.role == Role::Read)];
        let multiple = self.warmth_at(server, time) * self.settings.overload_factor;
        let rate_per_server = self.expected_fleet_rate() / (max_servers * self.unseen_fleet_factor(server));
        multiple * rate_per_server * seconds(self.settings.overload_window)
    }

    /// Returns the assumed size of the fleet as a multiple of the most servers that were listed. A router
    /// that started after the server has not seen what was listed before, when other servers may have died.
    fn unseen_fleet_factor(&self, server: &Server) -> f64 {
        let started_at = self.started_at.unwrap_or(self.now);
        if self.last_start(server) < started_at { UNSEEN_FLEET_FACTOR } else { 1.0 }
    }

    /// Returns the work that this router has sent to the server within the current window, since
    /// its last listed start. A start that is only suspected does not end the record.
    fn sent_in_window(&self, server: &Server) -> f64 {
        server.recent_sends.since(self.window_start().max(server.entry.started_at))
    }

    /// Checks the last send to a server in slow start against this router's
    /// part of the budget in a window, and records a violation.
    fn check_slow_start(&mut self, id: &RequestId, to: ServerId, work: f64) {
        let server = &self.servers[&to];
        if self.warmth(server) >= 1.0 {
            return;
        }
        let quota = slow_start::quota(self.regular_calls(server), self.replicas);
        // Without a sufficient quota, the call must be the only one in the window.
        let max_work = quota.filter(|quota| work <= *quota).unwrap_or(work);
        if self.sent_in_window(server) > max_work {
            self.sends_over_quota.push((id.clone(), to));
        }
    }

    /// Moves on the slots at the servers in slow start.
    fn advance_slots(&mut self) {
        let window = self.settings.overload_window + self.settings.dial_timeout;
        let has_even_phases = self.settings.instance.is_some() && self.configured_rate() > 0.0;
        let mean_arrival_rate = self.configured_rate() / self.replicas;
        let plan = SlotPlan { routers: self.replicas, has_even_phases, window, mean_arrival_rate };
        let mut servers = std::mem::take(&mut self.servers);
        for server in servers.values_mut() {
            let mut slots = server.slots;
            if self.warmth(server) < 1.0 {
                slots.advance(self.now, &plan, |time| self.regular_calls_at(server, time));
            } else {
                slots.pause(self.now);
            }
            server.slots = slots;
        }
        self.servers = servers;
    }

    /// Returns this router's open slot at a server in slow start. The slot admits
    /// any request once no more than one is expected to come before the slot ends.
    fn open_slot(&self, server: &Server) -> Option<OpenSlot> {
        let mean_read_s = self.read_time.predict(self.read_time.mean_quantity());
        let lead_time_s = if server.role == Role::Write { mean_read_s } else { 0.0 };
        server.slots.open_slot(self.now, micros(lead_time_s + 1.0 / self.arrival_rate()))
    }

    /// Returns the sends since the last call of this function
    /// that exceeded the quota of a server in slow start.
    pub fn take_sends_over_quota(&mut self) -> Vec<(RequestId, ServerId)> {
        std::mem::take(&mut self.sends_over_quota)
    }

    /// Returns the work of the request in calls of mean work. A short
    /// prompt counts as one call, because its class may be costly.
    fn relative_work(&self, request: &Request) -> f64 {
        (request.arrival.prompt_tokens / self.mean_prompt.get().unwrap_or(0.0)).max(1.0)
    }

    /// Returns the rate in requests per second at which requests recently arrived at this router.
    fn arrival_rate(&self) -> f64 {
        let oldest = self.recent_prefixes.back().map_or(self.now, |(_, at)| *at);
        (self.recent_prefixes.len().max(2) - 1) as f64 / seconds(self.now - oldest).max(MIN_RATE_PERIOD_S)
    }

    /// Returns this router's equal part of the expected fleet rate as a multiple of its own arrival rate.
    fn headroom(&self) -> f64 {
        self.expected_fleet_rate() / self.replicas / self.arrival_rate()
    }

    /// Returns the rate in requests per second that the fleet is configured for: the sum of the tenants'
    /// rates. Without tenant rates, all routers are assumed to see the same arrival rate as this one.
    fn expected_fleet_rate(&self) -> f64 {
        let configured = self.configured_rate();
        if configured > 0.0 { configured } else { self.replicas * self.arrival_rate() }
    }

    /// Returns the sum of the tenants' rates, in requests per second.
    fn configured_rate(&self) -> f64 {
        self.settings.tenant_rates.iter().sum()
    }

    /// Returns the earliest send time of requests that may reach a server within the same overload
    /// window as a request sent now. A request may wait for its connection before it is written.
    fn window_start(&self) -> Micros {
        self.now.saturating_sub(self.settings.overload_window + self.settings.dial_timeout)
    }

    /// Returns the time of the last start of a server: the listed one or, until
    /// the roster would list a restart, the one that a broken connection suggests.
    fn last_start(&self, server: &Server) -> Micros {
        // A server that has failed repeatedly and has not
        // answered since may start before any router is notified.
        let unanswered = if server.backoff.failures > 1 { self.now } else { 0 };
        let suspected = server
            .last_break
            .as_ref()
            .map_or(0, |last_break| last_break.first_answer_at.unwrap_or(unanswered));
        server.entry.started_at.max(if suspected + RESTART_ANNOUNCEMENT_DELAY <= self.now {
            0
        } else {
            suspected
        })
    }

    /// Returns the fraction of its capacity that a server has reached since its
    /// start. Every server is assumed to start as slowly as the slowest one.
    fn warmth(&self, server: &Server) -> f64 {
        self.warmth_at(server, self.now)
    }

    /// Returns the warmth of a server as of the given time.
    fn warmth_at(&self, server: &Server, time: Micros) -> f64 {
        let (settings, started_at) = (&self.settings, self.last_start(server));
        let age = seconds(time.saturating_sub(started_at)) / seconds(settings.warm_up_time.max(1));
        if started_at == 0 {
            1.0
        } else {
            settings.initial_capacity + (1.0 - settings.initial_capacity) * age.min(1.0)
        }
    }

    /// Returns the ready readers in the request's order of preference, and the number of
    /// preferred readers at its start. Preferred readers keep the request's prefix in
    /// their cache. By rendezvous hashing, all routers of a zone that
    /// compute the same number of preferred readers compute the same order.
    fn preferred_readers(&self, request: &Request) -> (Vec<ServerId>, usize) {
        let mut order: Vec<_> = self.ready_servers(true).collect();
        let by_session = |(id, _): &(ServerId, &Server)| hash_pair(request.session_hash, u64::from(id.0));
        let is_remote = |s: &Server| s.entry.zone != self.settings.zone;
        let local_readers = order.iter().filter(|(_, s)| !is_remote(s)).count();
        // The number of preferred readers grows with the share of the recent requests that have the prefix.
        // With n ready readers in the zone, it is that share times n, rounded up, and at least 1.
        let same_prefix =
            self.recent_prefixes.iter().filter(|(hash, _)| *hash == request.prefix_hash).count();
        let count = (same_prefix * local_readers).div_ceil(RECENT_PREFIXES).max(1).min(local_readers);
        order.sort_by_key(|(id, s)| (is_remote(s), hash_pair(request.prefix_hash, u64::from(id.0))));
        order[..count].sort_by_key(by_session);
        let remote_end = (local_readers + count.max(1)).min(order.len());
        order[local_readers..remote_end].sort_by_key(by_session);
        (order.into_iter().map(|(id, _)| id).collect(), count)
    }

    /// Returns the seconds that a read at the server is expected to wait for
    /// reads of other routers, by the recent waits in the server's peer group.
    fn expected_wait_s(&self, id: ServerId) -> f64 {
        let mean_wait = self.servers.get(&id).and_then(|s| self.queue_waits.get(&self.peer_group(s)));
        mean_wait.map_or(0.0, |wait_s| wait_s.decayed(self.now, QUEUE_WAIT_DECAY_S))
    }

    /// Returns the peer group of a server: its zone, and whether the server is
    /// in slow start. Slow start admits only a part of the requests, so that the
    /// waits at such servers say nothing about the waits at warm servers.
    fn peer_group(&self, server: &Server) -> (u32, bool) {
        (server.entry.zone, self.warmth(server) < 1.0)
    }

    /// Predicts the duration of a read of the request at each of the
    /// readers, after the reads that this router has in flight there.
    fn estimate_reads(&self, request: &Request, readers: &[ServerId]) -> Vec<ReadEstimate> {
        let arrival = &request.arrival;
        let (order, preferred_count) = self.preferred_readers(request);
        let order: BTreeMap<_, _> = order.into_iter().zip(0..).collect();
        let estimate = |id: &ServerId| {
            let rank = order.get(id).copied().unwrap_or(order.len());
            let is_preferred = rank < preferred_count;
            let cached = |hash| self.cached_tokens.get(&(hash, *id)).map_or(0.0, |entry| entry.0);
            let prefix = if is_preferred { arrival.prefix_tokens } else { cached(request.prefix_hash) };
            let cached_part = cached(request.session_hash).max(prefix.min(arrival.prefix_tokens));
            let uncached = (arrival.prompt_tokens - cached_part).max(0.0) / 1000.0;
            let (read_s, queued_s) = (self.read_time.predict(uncached), self.in_flight_at(*id).backlog_s);
            let work_s = (read_s - self.read_time.weights()[0]).max(0.0);
            ReadEstimate { server: *id, rank, work_s, queued_s, total_s: read_s + queued_s }
        };
        readers.iter().map(estimate).collect()
    }

    /// Gives up queued requests that can no longer be answered
    /// in time, and sends the most urgent others to readers.
    fn send_queued(&mut self) {
        let readers = self.healthy_servers(true);
        let mut queue = Vec::new();
        let mut ids = self.request_ids(|r| r.phase == Phase::Queued);
        ids.sort_by_key(|id| self.requests[id].shortest_read.0);
        for (n, id) in ids.into_iter().enumerate() {
            if n < MAX_EVALUATED_REQUESTS || self.requests[&id].shortest_read.0 == 0 {
                let durations =
                    self.estimate_reads(&self.requests[&id], &readers).into_iter().map(|r| r.total_s);
                let shortest_read = (self.now, durations.reduce(f64::min).unwrap_or(0.0));
                self.requests.entry(id.clone()).and_modify(|r| r.shortest_read = shortest_read);
            }
            let request = &self.requests[&id];
            let first_token_at = self.now + micros(request.shortest_read.1 + self.first_token_s);
            if first_token_at > request.infeasible_after {
                self.give_up(&id, GiveUpReason::DeadlineOutOfReach);
                continue;
            }
            // Late requests go behind those that can still meet their target: a missed target stays missed.
            let (is_late, slack) =
                (first_token_at > request.target_at, request.target_at as i64 - first_token_at as i64);
            queue.push((is_late, request.over_tenant_quota, slack, request.arrived_at, id));
        }
        queue.sort();
        queue.truncate(MAX_EVALUATED_REQUESTS);
        for (_, over_tenant_quota, slack, _, id) in queue {
            if let Some(server) = self.choose_first_server(&id, slack as f64 / 1e6) {
                self.send(&id, server);
            } else if !self.await_probes(&id) && over_tenant_quota {
                // Requests over the tenant's quota are the first to be given
                // up while there is not room for all: they earn little.
                self.give_up(&id, GiveUpReason::OverTenantQuota);
            }
        }
    }

    /// Returns the reader with the lowest expected duration for the request, or none if the request has to
    /// wait for a writer or for a reader below its limit. Where no reader is listed, a server that reads and
    /// writes is chosen instead.
    fn choose_first_server(&self, id: &RequestId, slack_s: f64) -> Option<ServerId> {
        let request = &self.requests[id];
        if self.ready_servers(true).next().is_none() {
            return self.choose_mixed_server(request);
        }
        if !self.has_writer_room(request) {
            return None;
        }
        let priority_ids =
            self.ready_servers(true).skip(PRIORITY_READER_INTERVAL - 1).step_by(PRIORITY_READER_INTERVAL);
        let priority: BTreeSet<_> = priority_ids.map(|(id, _)| id).collect();
        let candidates = self.candidates(request, true);
        // A request that a slot admits goes to its reader. In competition
        // with all warm readers, the reader would get next to nothing.
        if let Some(cold) = candidates.iter().find(|id| self.admitting_slot(request, **id).is_some()) {
            return Some(*cold);
        }
        let mut estimates = self.estimate_reads(request, &candidates);
        let reads_in_flight = |r: &ReadEstimate| self.in_flight_at(r.server).reads;
        // The limit is lower while the mean read takes long, for short requests too.
        let max_reads = ((MAX_READ_AHEAD_S / self.read_time.predict(self.read_time.mean_quantity()))
            as usize)
            .clamp(1, MAX_READS_PER_READER);
        estimates.retain(|r| reads_in_flight(r) < max_reads);
        // A request may use all priority readers if its slack is less than the time of a full
        // priority batch plus a margin, or if every ordinary reader is at its limit.
        let batch_s = self.read_time.predict(self.read_time.mean_quantity() * MAX_READS_PER_READER as f64);
        if slack_s >= batch_s + OFFLOAD_MARGIN_S && estimates.iter().any(|r| !priority.contains(&r.server)) {
            // Any other request may use the ordinary readers, and the
            // priority readers at which this router has no read in flight.
            estimates.retain(|r| !priority.contains(&r.server) || reads_in_flight(r) == 0);
        }
        let is_remote = |r: &ReadEstimate| self.servers[&r.server].entry.zone != self.settings.zone;
        let cost_s = |r: &ReadEstimate| {
            r.total_s
                + self.expected_wait_s(r.server)
                + f64::from(u8::from(is_remote(r))) * OTHER_ZONE_PENALTY_S
        };
        estimates
            .iter()
            .min_by(|a, b| cost_s(a).total_cmp(&cost_s(b)).then(a.rank.cmp(&b.rank)))
            .map(|r| r.server)
    }

    /// Returns the open slot that admits the request at a server in slow start.
    fn admitting_slot(&self, request: &Request, id: ServerId) -> Option<OpenSlot> {
        let is_admitted = self.slow_start_admission(request, id) == Some(Admission::Slot);
        self.open_slot(&self.servers[&id]).filter(|_| is_admitted)
    }

    /// Returns a server that reads and writes the request by itself, where no
    /// reader is listed. A server that has attempts of this router in flight gets
    /// another request only if few of them are unanswered and its memory suffices.
    fn choose_mixed_server(&self, request: &Request) -> Option<ServerId> {
        let mut servers = self.candidates(request, false);
        servers.retain(|s| {
            let (server, in_flight) = (&self.servers[s], self.in_flight_at(*s));
            let reads_itself = server.role == Role::Both || self.settings.writers_may_read;
            let fits =
                in_flight.tokens + request.arrival.prompt_tokens <= MAX_MEMORY_SHARE * server.memory_tokens;
            reads_itself && (in_flight.attempts == 0 || in_flight.unanswered < MAX_READS_PER_READER && fits)
        });
        self.with_fewest_tokens(request, servers.into_iter())
    }

    /// Returns the server at which this router has the fewest tokens. Ties are broken by
    /// the request's hash: if all routers chose the same server, it would be overloaded.
    fn with_fewest_tokens(
        &self,
        request: &Request,
        servers: impl Iterator<Item = ServerId>,
    ) -> Option<ServerId> {
        let tokens = |s: &ServerId| self.in_flight_at(*s).tokens;
        let hash = |s: &ServerId| hash_pair(request.retry_hash, u64::from(s.0));
        servers.min_by(|a, b| tokens(a).total_cmp(&tokens(b)).then(hash(a).cmp(&hash(b))))
    }

    /// Sends the request to the server as its next attempt.
    fn send(&mut self, id: &RequestId, server: ServerId) {
        let read_estimate = self.estimate_reads(&self.requests[id], &[server])[0];
        let admission = self.slow_start_admission(&self.requests[id], server);
        let (work, window_start) = (self.relative_work(&self.requests[id]), self.window_start());
        let request = self.requests.get_mut(id);
        let (Some(request), Some(target)) = (request, self.servers.get_mut(&server)) else { return };
        target.recent_sends.add(self.now, work, window_start);
        let is_read = target.role == Role::Read;
        if is_read {
            let arrival = &request.arrival;
            self.cached_tokens.insert((request.prefix_hash, server), (arrival.prefix_tokens, self.now));
            self.cached_tokens.insert((request.session_hash, server), (arrival.prompt_tokens, self.now));
        }
        let (phase, expected_s) = match request.phase {
            _ if is_read => (Phase::Reading, read_estimate.total_s),
            Phase::Held(reader, since) => {
                (Phase::Writing(WriterInput::State(reader, since)), self.first_token_s)
            }
            // Until enough answers have been measured, the first-token target
            // replaces the estimate for a server that reads and writes.
            _ if self.read_time.has_initial_weights() => {
                (Phase::Writing(WriterInput::Prompt), seconds(request.target_at - request.arrived_at))
            }
            _ => (Phase::Writing(WriterInput::Prompt), read_estimate.total_s + self.first_token_s),
        };
        request.phase = phase;
        let (sent_at, in_flight, cancelled, may_have_run) = (self.now, true, false, !is_read);
        let attempt = Attempt {
            server,
            sent_at,
            is_read,
            expected_s,
            read_estimate,
            in_flight,
            cancelled,
            may_have_run,
        };
        let repeat_deadline = request.repeat_deadline().filter(|_| !is_read);
        request.attempts.push(attempt);
        self.actions.push(Action::Send { id: id.clone(), server, repeat_deadline });
        self.record_slow_start_call(id, server, admission);
        self.check_slow_start(id, server, work);
        self.count_in_flight();
    }

    /// Estimates the tokens that a request holds at its writer: the prompt, and
    /// the part of the answer written so far, up to the answer's expected length.
    fn held_tokens(&self, request: &Request) -> f64 {
        let token_interval = request.class().inter_token_target.max(1) as f64;
        let expected_length = request
            .arrival
            .expected_answer_time
            .map_or(request.arrival.max_output_tokens / 2.0, |duration| duration as f64 / token_interval);
        let written = match request.phase {
            Phase::Streaming(since) => ((self.now - since) as f64 / token_interval).min(expected_length),
            _ => 0.0,
        };
        request.arrival.prompt_tokens + written
    }

    /// Returns a function that estimates the tokens of all routers from the tokens of
    /// this router, the number of its requests that hold them, and its mean tokens
    /// over time. Each other router is assumed to have that mean, or the present
    /// tokens of this router less those that may be due to chance, whichever is more.
    fn fleet_tokens(&self) -> impl Fn(f64, usize, f64) -> f64 {
        // Where routers outnumber writers, the requests of one router say little about
        // those of the others. The guess is then made only if load reports can correct it.
        let may_guess =
            self.settings.reports_memory || self.replicas <= self.ready_servers(false).count() as f64;
        let other_routers = if may_guess {
            self.replicas * (MAX_ARRIVAL_FACTOR * self.headroom()).min(1.0) - 1.0
        } else {
            0.0
        }
        .max(0.0);
        move |own, own_requests, mean| {
            own + other_routers
                * f64::max(mean, own * (1.0 - CHANCE_DEVIATIONS / (own_requests.max(1) as f64).sqrt()))
        }
    }

    /// Estimates the share of its memory that each writer uses: the reported share or, if it is larger,
    /// the share that the requests of this router need. Without a recent report, the share of all
    /// routers is estimated from the requests that this router has in progress and had in the past.
    fn memory_shares(&self, writers: &[ServerId]) -> BTreeMap<ServerId, f64> {
        let mean_tokens = self.tokens_in_progress.mean() / self.ready_servers(false).count().max(1) as f64;
        let fleet_tokens = self.fleet_tokens();
        let share_of = |id: &ServerId| {
            let (server, in_flight) = (&self.servers[id], self.in_flight_at(*id));
            let reported = server.reported_share.filter(|(at, _)| at + LOAD_REPORT_LIFETIME > self.now);
            let estimated =
                fleet_tokens(in_flight.tokens, in_flight.attempts, mean_tokens) / server.memory_tokens;
            reported.map_or(estimated, |(_, share)| share.max(in_flight.tokens / server.memory_tokens))
        };
        writers.iter().map(|id| (*id, share_of(id))).collect()
    }

    /// Returns true if the writer is not busy: it does not keep this router's requests waiting.
    fn has_room(&self, writer: ServerId) -> bool {
        let in_flight = self.in_flight_at(writer);
        in_flight.unanswered < MAX_UNANSWERED_PER_WRITER && in_flight.max_age_s < MAX_UNANSWERED_AGE_S
    }

    /// Returns true if a request may be read: writers that are not busy have memory for the reads of all
    /// routers, a slot of a writer will be open after the read, or there is a writer and this router has
    /// nothing in flight.
    fn has_writer_room(&self, request: &Request) -> bool {
        let mut writers = self.candidates(request, false);
        // A slot is room for one request, however much memory its writer has.
        writers.retain(|id| self.admitting_slot(request, *id).is_none());
        let slots = self.slots_after_read(request);
        let free_tokens = |(id, share): (ServerId, f64)| {
            (MAX_MEMORY_SHARE - share).max(0.0) * self.servers[&id].memory_tokens
        };
        let shares = self.memory_shares(&writers).into_iter().filter(|(id, _)| self.has_room(*id));
        let total_free: f64 = shares.map(free_tokens).sum();
        let reading = self.requests.values().filter(|r| r.phase == Phase::Reading);
        let (tokens, reads) = reading.fold((0.0, 0), |(sum, n), r| (sum + r.arrival.prompt_tokens, n + 1));
        let held = self.requests.values().filter(|r| matches!(r.phase, Phase::Held(..))).count();
        total_free > self.fleet_tokens()(tokens, reads, 0.0)
            || reads + held < slots
            || (!writers.is_empty() || slots > 0) && self.in_flight.is_empty()
    }

    /// Returns the number of writers in slow start whose slots will be open when a read that begins now ends.
    fn slots_after_read(&self, request: &Request) -> usize {
        let mean_read_s = self.read_time.predict(self.read_time.mean_quantity());
        let read_at = self.now + micros(mean_read_s);
        let has_slot = |server: &Server| {
            self.warmth(server) < 1.0
                && slow_start::quota(self.regular_calls(server), self.replicas).is_none()
                && server.slots.is_open_at(read_at)
        };
        let writers = self.healthy_servers(false).into_iter();
        writers.filter(|id| self.may_send(request, *id) && has_slot(&self.servers[id])).count()
    }

    /// Probes writers without a recent load report for a request that waits
    /// for a writer. Returns true while the answer to a probe is awaited.
    fn await_probes(&mut self, id: &RequestId) -> bool {
        if !self.settings.may_probe || self.has_writer_room(&self.requests[id]) {
            return false;
        }
        let (now, hash, mut is_waiting) = (self.now, self.requests[id].retry_hash, false);
        let mut writers = self.candidates(&self.requests[id], false);
        let is_remote = |id: &ServerId| self.servers[id].entry.zone != self.settings.zone;
        writers.sort_by_key(|id| (is_remote(id), hash_pair(hash, u64::from(id.0))));
        for id in writers.into_iter().take(PROBED_WRITERS) {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let lacks_report = server.reported_share.is_none_or(|(at, _)| at + LOAD_REPORT_LIFETIME <= now);
            if lacks_report && server.last_probe + MIN_PROBE_INTERVAL <= now {
                server.last_probe = now;
                self.actions.push(Action::Probe { server: id });
            }
            is_waiting |= lacks_report && server.last_probe + PROBE_TIMEOUT > now;
        }
        is_waiting
    }

    /// Sends each request whose state is held to a writer, if there is one for it.
    fn send_held(&mut self) {
        for id in self.request_ids(|r| matches!(r.phase, Phase::Held(..))) {
            if let Some(writer) = self.choose_writer(&self.requests[&id]) {
                self.send(&id, writer);
            }
        }
    }

    /// Returns the fraction of a reader's states that the writers of its cell can take,
    /// assuming that all readers of the zone, and all its writers, carry the same load.
    fn same_cell_fraction(&self, entry: &Entry) -> f64 {
        let count = |readers: bool, same_cell: bool| {
            let in_zone = self.ready_servers(readers).filter(|(_, s)| s.entry.zone == entry.zone);
            in_zone.filter(|(_, s)| !same_cell || s.entry.cell == entry.cell).count() as f64
        };
        count(false, true) * count(true, false) / count(false, false).max(1.0) / count(true, true).max(1.0)
    }

    /// Returns the writer for a request whose state is held. Writers near the reader come first, in
    /// its cell or in its zone, unless their memory share is far above the lowest. Among writers with
    /// nearly the same memory share, the one at which this router has the fewest tokens is chosen.
    fn choose_writer(&self, request: &Request) -> Option<ServerId> {
        let Phase::Held(reader, _) = request.phase else { return None };
        let mut writers = self.candidates(request, false);
        if writers.iter().any(|s| self.has_room(*s)) {
            writers.retain(|s| self.has_room(*s));
        }
        let shares = self.memory_shares(&writers);
        let lowest_share = |group: &[ServerId]| group.iter().map(|s| shares[s]).reduce(f64::min);
        let lowest_of_all = lowest_share(&writers)?;
        let entry = |s: &ServerId| &self.servers[s].entry;
        let reader_entry = entry(&reader);
        let stays_in_cell = hash_fraction(request.retry_hash) < self.same_cell_fraction(reader_entry);
        let cell: Vec<_> =
            writers.iter().filter(|s| stays_in_cell && entry(s).cell == reader_entry.cell).copied().collect();
        let zone: Vec<_> = writers.iter().filter(|s| entry(s).zone == reader_entry.zone).copied().collect();
        // A request that slow start admits at a writer goes to that writer. In
        // competition with all warm writers, the writer would get next to nothing.
        let admits_any =
            |s: &ServerId| self.admitting_slot(request, *s).is_some_and(|slot| slot.takes_any_request);
        let mut cold_of_zone = zone.iter().filter(|s| self.warmth(&self.servers[*s]) < 1.0);
        if let Some(cold) = cold_of_zone.next().or_else(|| writers.iter().find(|s| admits_any(s))) {
            return Some(*cold);
        }
        let is_acceptable = |group: &Vec<ServerId>| {
            lowest_share(group).is_some_and(|lowest| lowest <= lowest_of_all + MAX_LOCALITY_SHARE_LEAD)
        };
        let group = [cell, zone].into_iter().find(is_acceptable).unwrap_or(writers);
        let lowest_in_group = lowest_share(&group)?;
        let equally_loaded = group.into_iter().filter(|s| shares[s] <= lowest_in_group + EQUAL_SHARE_MARGIN);
        self.with_fewest_tokens(request, equally_loaded)
    }
}
