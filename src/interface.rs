//! The decision module's interface: settings, events and actions. Data only.
//!
//! Times are integer microseconds on the host's clock. Ids are opaque: they are compared and
//! given back, never taken apart.

use std::sync::Arc;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// Names a request for as long as the host knows it; never used again for another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// Names a server; the same at every router and after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

impl Default for RequestId {
    fn default() -> Self {
        Self(Arc::from(""))
    }
}

/// What a kind of server does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts (prefill).
    #[default]
    Read,
    /// Writes answers (decode).
    Write,
    /// Does either; reads by itself when it gets a request without a state.
    Both,
}

/// What repeating a request of a class does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Nothing; it may be repeated and refused at will.
    #[default]
    Safe,
    /// Repeats are dropped within `group` for `window` from the first send that may have run.
    Keyed {
        /// The servers that drop repeats of each other.
        group: Group,
        /// For how long they do so.
        window: Micros,
    },
    /// A second run does harm.
    Unsafe,
}

/// A set of servers around one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    All,
    /// Those of the same zone.
    Zone,
    /// Those of the same cell.
    Cell,
}

/// One request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// First-token aim for an empty prompt.
    pub aim: Micros,
    /// What the aim grows by for each 1,000 prompt tokens; the deadline grows twice as much.
    pub aim_per_1000: Micros,
    /// How long a client waits for a first token, over all its tries.
    pub deadline: Micros,
    /// Aim for the interval between tokens.
    pub token_aim: Micros,
    /// What repeating does.
    pub effect: Effect,
}

impl Default for Class {
    fn default() -> Self {
        Self { aim: 1_000_000, aim_per_1000: 0, deadline: 5_000_000, token_aim: 60_000, effect: Effect::Safe }
    }
}

/// The settings a router gets at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Routers in this tier, this one included.
    pub replicas: u32,
    /// This router's zone.
    pub zone: u32,
    /// Role of each server kind.
    pub roles: Vec<Role>,
    /// Memory of each server kind, in tokens; empty if not told.
    pub memory_tokens: Vec<f64>,
    /// The request classes.
    pub classes: Vec<Class>,
    /// Each tenant's requests per second within its share, over all routers; may be empty.
    pub tenant_rates: Vec<f64>,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether attempts may be called off.
    pub may_cancel: bool,
    /// Whether servers ever report the share of their memory that is held, in answers or when asked.
    pub reports_memory: bool,
    /// Whether servers may be asked for their load, and tell their memory share then.
    pub may_probe: bool,
    /// Whether a writer reads a prompt itself when there is no state.
    pub writers_read: bool,
    /// Whether the roster must be asked for.
    pub ask_roster: bool,
    /// Least time between two calls of `handle`.
    pub resolution: Micros,
    /// How long a held state may stay unused.
    pub let_go: Micros,
    /// Fraction of its capacity at which a server starts.
    pub cold_from: f64,
    /// When a started server is warm.
    pub warm_after: Micros,
    /// A cold server sent more than this multiple of its capacity...
    pub overload_factor: f64,
    /// ...for this long falls over.
    pub fall_window: Micros,
    /// For how long what is sent may wait for its connection.
    pub dial_timeout: Micros,
}

impl Settings {
    /// A request's class; the last one for a place beyond them. There is one at least.
    pub fn class(&self, place: usize) -> &Class {
        &self.classes[place.min(self.classes.len() - 1)]
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            replicas: 1,
            zone: 0,
            roles: Vec::new(),
            memory_tokens: Vec::new(),
            classes: Vec::new(),
            tenant_rates: Vec::new(),
            max_attempts: 6,
            may_cancel: true,
            reports_memory: true,
            may_probe: false,
            writers_read: false,
            ask_roster: false,
            resolution: 4_000,
            let_go: 500_000,
            cold_from: 0.3,
            warm_after: 15_000_000,
            overload_factor: 2.0,
            fall_window: 3_000_000,
            dial_timeout: 250_000,
        }
    }
}

/// Whether a listed server takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// It takes work.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// One server as the roster lists it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its kind, an index into [`Settings::roles`].
    pub kind: usize,
    /// Its condition.
    pub condition: Condition,
    /// When it last started; 0 means long ago.
    pub started_at: Micros,
}

/// What a roster event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterForm {
    /// The whole list; a server that is missing is gone.
    Full,
    /// Changed entries only.
    Delta,
    /// A call failed; the list before it stays.
    Failed,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class, an index into [`Settings::classes`].
    pub class: usize,
    /// Its tenant, an index into [`Settings::tenant_rates`].
    pub tenant: usize,
    /// Its session.
    pub session: Option<Arc<str>>,
    /// The beginning it shares with other sessions.
    pub prefix: Option<Arc<str>>,
    /// Tokens of that beginning.
    pub prefix_tokens: f64,
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// The most tokens the answer may have.
    pub max_output_tokens: f64,
    /// A rough guess of the answer's length, as time at the token aim.
    pub hint: Option<Micros>,
    /// Time until the client gives this try up.
    pub expires_in: Micros,
    /// Whether the client asks for the rest of an answer that broke or was moved.
    pub resumed: bool,
}

/// A server's own report of its load; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Share of its memory that is held.
    pub memory_share: Option<f64>,
    /// Thousands of prompt tokens that wait there to be read or fetched.
    pub queued_kilotokens: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Served,
    /// Read; the state waits at the reader.
    Read,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away; it never ran.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Which request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: u32,
    /// How it ended.
    pub status: Status,
    /// Whether the request is over.
    pub finished: bool,
    /// Prompt tokens found kept; with [`Status::Full`], 1 if there was no state to fetch.
    pub note: f64,
    /// The server's report, if one came.
    pub load: Load,
}

/// What happened, as one router learns it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the roster.
    Roster {
        /// What the entries are.
        form: RosterForm,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A request came in.
    Request(Arrival),
    /// An attempt's answer has begun.
    First {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// An answer came from a server over a connection that has been open since then: its process has run since then.
    LivedOn {
        /// Which server.
        server: ServerId,
        /// When the connection came up.
        since: Micros,
    },
    /// A probe ended.
    Probed {
        /// Which server was asked.
        server: ServerId,
        /// Its report; empty if it did not answer.
        load: Load,
    },
    /// The client gave up.
    Abandoned {
        /// Which request.
        id: RequestId,
    },
    /// This router is about to be stopped: what is open must have its answer within the span.
    Leaving {
        /// The span.
        within: Micros,
    },
    /// The settings have changed.
    Settings(Settings),
    /// A timer came due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
}

/// Why a request is given up without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// Its time is over.
    DeadlineReached,
    /// Not even the fastest way to an answer would be in time.
    DeadlineOutOfReach,
    /// No further attempt is allowed.
    AttemptsSpent,
    /// It is past its tenant's share, and there is not room for all.
    OverShare,
    /// The answer that was decided on would not have been true of what its attempts may have done.
    RefusalUntrue,
}

impl GiveUpReason {
    /// Its name in the log and among the figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::DeadlineReached => "deadline_reached",
            Self::DeadlineOutOfReach => "deadline_out_of_reach",
            Self::AttemptsSpent => "attempts_spent",
            Self::OverShare => "over_share",
            Self::RefusalUntrue => "refusal_untrue",
        }
    }
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request as its next attempt; attempts count from 0.
    Send {
        /// Which request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// If it is a repeat that is harmless only for a time: when it must have been written.
        repeat_before: Option<Micros>,
    },
    /// Ask a server for its load, at a price.
    Probe {
        /// Which server.
        server: ServerId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Let go of all that is held for the request.
    Release {
        /// Which request.
        id: RequestId,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// Which request.
        id: RequestId,
        /// Why it is given up.
        reason: GiveUpReason,
        /// When its client had best come back.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// Which request.
        id: RequestId,
        /// Why it is given up.
        reason: GiveUpReason,
    },
    /// Ask for the roster and its changes.
    Watch,
    /// Wake the router after a span.
    Timer {
        /// Given back with the timer.
        token: u64,
        /// The span.
        after: Micros,
    },
}

/// Why settings are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
