//! A simulated fleet: many routers, servers that start slowly, clients that retry. One seed gives one course of events.
#![allow(dead_code)] // each test file uses its own part

use crate::common::*;
use meadowlug::interface::*;
use std::collections::BTreeMap;

pub const SECOND: Micros = 1_000_000;
/// When the servers start that are watched.
pub const START: Micros = 1_000 * SECOND;
/// How long traffic runs before that.
pub const LEAD: Micros = 8 * SECOND;
/// The first writer; readers count from 0.
pub const FIRST_WRITER: u32 = 10_000;
/// Tokens of a prompt where all are alike.
const USUAL_PROMPT: f64 = 1_000.0;
/// Shortest of the prompts that vary; the longest is ten times that.
const SHORTEST_PROMPT: f64 = 400.0;
/// Mean of what is spread evenly by logarithm over a factor of ten from the shortest on.
const MEAN_VARIED_PROMPT: f64 = SHORTEST_PROMPT * 9.0 / std::f64::consts::LN_10;
/// How long a connection to a server that is gone takes to be refused.
const REFUSED_AFTER: Micros = 2_000;
/// How long a connection to a machine that is gone stays unheard.
const DIAL_TIMEOUT: Micros = 250_000;
/// Work in hand, in seconds, at which a server turns requests away.
const QUEUE_S: f64 = 1.5;
/// When settings change, where they do.
const RELOAD: Micros = START + 3 * SECOND;
/// How long an answer streams.
const STREAM: Micros = 700_000;

/// Which servers start anew, and with what around them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Restart {
    /// The first reader and the first writer.
    One,
    /// Every fourth server.
    Quarter,
    /// Every second server, as in a release.
    Half,
    /// All servers.
    All,
    /// The first zone, after six seconds without it.
    Zone,
    /// The first reader and writer; a second later all others are dead and still listed.
    LastOnesLeft,
    /// The first reader and writer, which start once more four seconds later.
    Twice,
}

/// Which conversations requests belong to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sessions {
    /// A conversation each.
    Single,
    /// Four turns in five belong to one of forty.
    Turns,
    /// Half of all belong to one of three.
    Hot,
}

/// One way for things to go.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub processes: u32,
    pub zones: u32,
    pub readers: u32,
    pub writers: u32,
    /// Calls of mean work that a warm reader does in a second.
    pub capacity: f64,
    /// What comes, and what the tenants' shares tell, as parts of what the warm readers can do.
    pub load: f64,
    pub told: f64,
    /// Part of all requests that the first process gets beside its own part.
    pub uneven: f64,
    pub restart: Restart,
    pub sessions: Sessions,
    /// Whether the work of prompts varies tenfold.
    pub varied: bool,
    /// By how much more comes, and the seconds after the start from which on and until when.
    pub burst: (f64, f64, f64),
    /// Whether the last zone dies with its processes a second after the start, and its clients go to the others.
    pub zone_dies: bool,
    /// Part of the processes that start together with the servers and know nothing of before.
    pub restarted: f64,
    /// Seconds over which the processes learn of the start.
    pub learn_over_s: f64,
    /// Part of sends that wait for a connection, for up to a dial's time-out.
    pub late_dials: f64,
    /// Part of sends whose connection breaks.
    pub resets: f64,
    /// Whether settings change three seconds after the start.
    pub reload: Option<Reload>,
    pub reports: bool,
    pub cold_from: f64,
    pub warm_after_s: f64,
    pub multiple: f64,
    pub window_s: f64,
    /// Seconds from the start that are played.
    pub for_s: f64,
}

/// What a reload changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reload {
    /// Half of the processes are gone: each counts for two.
    Processes,
    /// The shares fall to a half.
    Shares,
    /// Multiple and window fall, and warming up takes longer.
    Rule,
}

pub const USUAL: Scenario = Scenario {
    processes: 4,
    zones: 3,
    readers: 6,
    writers: 6,
    capacity: 5.0,
    load: 0.6,
    told: 0.85,
    uneven: 0.0,
    restart: Restart::One,
    sessions: Sessions::Single,
    varied: false,
    burst: (1.0, 0.0, 0.0),
    zone_dies: false,
    restarted: 0.0,
    learn_over_s: 0.0,
    late_dials: 0.0,
    resets: 0.0,
    reload: None,
    reports: true,
    cold_from: 0.25,
    warm_after_s: 13.0,
    multiple: 2.5,
    window_s: 1.5,
    for_s: 9.0,
};

/// One call that reached a server.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub at: Micros,
    /// In calls of mean work.
    pub work: f64,
    pub process: u32,
    pub session: u64,
    /// How many attempts of its request came before it.
    pub attempt: u32,
    /// Whether the process had been told of the server's start.
    pub told: bool,
}

/// What happened in one play.
#[derive(Debug, Default)]
pub struct Record {
    pub calls: BTreeMap<u32, Vec<Call>>,
    pub asked: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Requests without a final answer at their end.
    pub unanswered: usize,
}

/// An attempt on its way.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    server: u32,
    over: bool,
}

#[derive(Clone, Debug)]
struct Request {
    process: u32,
    ask: Arrival,
    attempts: Vec<Attempt>,
    tries: u32,
    /// Whether its answer has begun: no deadline applies any more.
    begun: bool,
    answered: bool,
}

#[derive(Clone, Debug)]
enum Happening {
    Arrival,
    Retry(String),
    Told(u32),
    Tick(u32),
    Reach { name: String, attempt: u32 },
    First { name: String, attempt: u32 },
    End { name: String, attempt: u32, status: Status },
    ZoneDies,
    ProcessesRestart,
    Delist,
    Reload,
}

struct Process {
    router: Harness,
    alive: bool,
    /// Up to when starts are told to it.
    knows: Micros,
}

/// The fleet in play.
pub struct Simulation {
    scenario: Scenario,
    draws: fastrand::Rng,
    now: Micros,
    processes: Vec<Process>,
    /// Up to when each server is busy, in seconds.
    servers: BTreeMap<u32, f64>,
    requests: BTreeMap<String, Request>,
    queue: BTreeMap<(Micros, u64), Happening>,
    next: u64,
    names: u64,
    delisted: bool,
    record: Record,
}

/// When a server starts in a scenario, if it does.
pub fn starts(scenario: &Scenario, server: u32) -> Vec<Micros> {
    let number = server % FIRST_WRITER;
    let starts = match scenario.restart {
        Restart::One | Restart::LastOnesLeft | Restart::Twice => number == 0,
        Restart::Quarter => number.is_multiple_of(4),
        Restart::Half => number.is_multiple_of(2),
        Restart::All => true,
        Restart::Zone => number.is_multiple_of(scenario.zones),
    };
    match (starts, scenario.restart) {
        (false, _) => Vec::new(),
        (true, Restart::Twice) => vec![START, START + 4 * SECOND],
        (true, _) => vec![START],
    }
}

/// When a server last started before a time, if it did.
fn last_start(scenario: &Scenario, server: u32, at: Micros) -> Option<Micros> {
    starts(scenario, server).into_iter().rfind(|start| *start <= at)
}

/// All servers, readers first.
fn servers(scenario: &Scenario) -> impl Iterator<Item = u32> + use<> {
    (0..scenario.readers).chain((0..scenario.writers).map(|n| FIRST_WRITER + n))
}

/// What a server can do at a time, in calls of mean work a second.
pub fn capacity(scenario: &Scenario, server: u32, at: Micros) -> f64 {
    let readers_do = scenario.capacity * f64::from(scenario.readers);
    let warm =
        if server < FIRST_WRITER { scenario.capacity } else { readers_do / f64::from(scenario.writers) };
    let started = last_start(scenario, server, at);
    let age = started.map_or(1.0, |start| (at - start) as f64 / 1e6 / scenario.warm_after_s).min(1.0);
    warm * (scenario.cold_from + (1.0 - scenario.cold_from) * age)
}

/// What a server may get in a window that begins at a time, and that window's length.
pub fn budget(scenario: &Scenario, server: u32, at: Micros) -> (f64, Micros) {
    let ruled = |multiple: f64, window_s: f64| multiple * capacity(scenario, server, at) * window_s;
    let (calls, window_s) = match scenario.reload {
        Some(Reload::Rule) if at >= RELOAD => (ruled(2.0, 1.0), 1.0),
        _ => (ruled(scenario.multiple, scenario.window_s), scenario.window_s),
    };
    (allowance(calls), (window_s * 1e6) as Micros)
}

/// N calls, and what is put down to chance.
pub fn allowance(calls: f64) -> f64 {
    if calls < 30.0 { calls + 3.0 * calls.sqrt() + 3.0 } else { calls + 2.0 * calls.sqrt() + 2.0 }
}

impl Simulation {
    /// Plays a scenario to its end.
    pub fn play(scenario: Scenario, seed: u64) -> Record {
        let mut simulation = Self {
            scenario,
            draws: fastrand::Rng::with_seed(seed),
            now: START - LEAD,
            processes: Vec::new(),
            servers: servers(&scenario).map(|id| (id, 0.0)).collect(),
            requests: BTreeMap::new(),
            queue: BTreeMap::new(),
            next: 0,
            names: 0,
            delisted: false,
            record: Record::default(),
        };
        simulation.begin();
        let end = START + (scenario.for_s * 1e6) as Micros;
        while let Some(((at, _), happening)) = simulation.queue.pop_first() {
            if at > end {
                break;
            }
            simulation.now = at;
            simulation.happen(happening);
        }
        let open = simulation.requests.values().filter(|r| !r.answered && !r.begun);
        simulation.record.unanswered = open.filter(|r| simulation.is_overdue(r)).count();
        simulation.record
    }

    fn is_overdue(&self, request: &Request) -> bool {
        let came: Micros = request.ask.id.0.split('@').nth(1).and_then(|at| at.parse().ok()).unwrap_or(0);
        let alive = self.processes[request.process as usize].alive;
        alive && came + request.ask.expires_in + 100_000 < self.now
    }

    fn begin(&mut self) {
        for number in 0..self.scenario.processes {
            let router = Harness::new(self.settings(number), &[]);
            self.processes.push(Process { router, alive: true, knows: 0 });
            self.tell(number);
        }
        self.at(self.now, Happening::Arrival);
        self.at(START, Happening::ProcessesRestart);
        for number in 0..self.scenario.processes {
            for start in [START, START + 4 * SECOND] {
                let late = (self.draws.f64() * self.scenario.learn_over_s * 1e6) as Micros;
                self.at(start + late, Happening::Told(number));
            }
        }
        if self.scenario.zone_dies {
            self.at(START + SECOND, Happening::ZoneDies);
        }
        if self.scenario.restart == Restart::LastOnesLeft || self.scenario.zone_dies {
            self.at(START + 4 * SECOND, Happening::Delist);
        }
        if self.scenario.reload.is_some() {
            self.at(RELOAD, Happening::Reload);
        }
    }

    fn at(&mut self, at: Micros, happening: Happening) {
        self.queue.insert((at, self.next), happening);
        self.next += 1;
    }

    fn settings(&self, process: u32) -> Settings {
        let scenario = &self.scenario;
        let reloaded = scenario.reload.filter(|_| self.now >= RELOAD);
        let (share, replicas) = match reloaded {
            Some(Reload::Processes) => (1.0, (scenario.processes / 2).max(1)),
            Some(Reload::Shares) => (0.5, scenario.processes),
            _ => (1.0, scenario.processes),
        };
        let ruled = reloaded == Some(Reload::Rule);
        Settings {
            replicas,
            zone: process % scenario.zones,
            memory_tokens: vec![1e9, 1e9, 1e9],
            tenant_rates: vec![share * scenario.told * f64::from(scenario.readers) * scenario.capacity],
            reports_memory: scenario.reports,
            cold_from: scenario.cold_from,
            warm_after: (scenario.warm_after_s * if ruled { 1.5e6 } else { 1e6 }) as Micros,
            overload_factor: if ruled { 2.0 } else { scenario.multiple },
            fall_window: if ruled { SECOND } else { (scenario.window_s * 1e6) as Micros },
            ..settings()
        }
    }

    /// Tells a process all that there is to tell by now.
    fn tell(&mut self, number: u32) {
        let entries = self.servers.keys().filter_map(|id| self.listed(*id)).collect();
        let now = self.now;
        let process = &mut self.processes[number as usize];
        process.knows = now;
        process.router.now = now;
        let actions = process.router.roster(entries);
        self.act(number, actions);
    }

    fn listed(&self, id: u32) -> Option<Entry> {
        if self.delisted && !self.is_up(id) {
            return None;
        }
        let kind = usize::from(id >= FIRST_WRITER);
        let zone = id % FIRST_WRITER % self.scenario.zones;
        let started_at = last_start(&self.scenario, id, self.now).unwrap_or(0);
        Some(Entry { server: ServerId(id), kind, zone, cell: zone, started_at, ..Entry::default() })
    }

    fn is_up(&self, id: u32) -> bool {
        let (scenario, number) = (&self.scenario, id % FIRST_WRITER);
        let zone_is_gone =
            scenario.zone_dies && number % scenario.zones == scenario.zones - 1 && self.now >= START + SECOND;
        let before_its_start = scenario.restart == Restart::Zone
            && number.is_multiple_of(scenario.zones)
            && (START - 6 * SECOND..START).contains(&self.now);
        let one_of_the_others =
            scenario.restart == Restart::LastOnesLeft && number != 0 && self.now >= START + SECOND;
        !zone_is_gone && !before_its_start && !one_of_the_others
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival => self.arrive(),
            Happening::Retry(name) => self.retry(&name),
            Happening::Told(process) => self.tell(process),
            Happening::Tick(process) => self.say(process, Event::Timer { token: 0 }),
            Happening::Reach { name, attempt } => self.reach(&name, attempt),
            Happening::First { name, attempt } => self.first(&name, attempt),
            Happening::End { name, attempt, status } => self.end(&name, attempt, status),
            Happening::ZoneDies => self.kill_last_zone(),
            Happening::ProcessesRestart => self.restart_processes(),
            Happening::Delist => self.delist(),
            Happening::Reload => self.reload(),
        }
    }

    fn say(&mut self, process: u32, event: Event) {
        let now = self.now;
        let of = &mut self.processes[process as usize];
        if of.alive {
            of.router.now = now;
            let actions = of.router.handle(&[event]);
            self.act(process, actions);
        }
    }

    fn kill_last_zone(&mut self) {
        for number in 0..self.scenario.processes {
            let dies = number % self.scenario.zones == self.scenario.zones - 1;
            self.processes[number as usize].alive &= !dies;
        }
    }

    fn restart_processes(&mut self) {
        for number in 0..self.scenario.processes {
            if self.draws.f64() < self.scenario.restarted {
                self.requests.retain(|_, request| request.process != number);
                let settings = self.settings(number);
                self.processes[number as usize].router = Harness::new(settings, &[]);
                self.tell(number);
            }
        }
    }

    fn delist(&mut self) {
        self.delisted = true;
        (0..self.scenario.processes).for_each(|number| self.tell(number));
    }

    fn reload(&mut self) {
        for number in 0..self.scenario.processes {
            let settings = self.settings(number);
            self.say(number, Event::Settings(settings));
        }
    }

    /// A process that a client's connection leads to.
    fn front(&mut self) -> u32 {
        loop {
            let any = self.draws.u32(0..self.scenario.processes);
            let number = if self.draws.f64() < self.scenario.uneven { 0 } else { any };
            if self.processes[number as usize].alive {
                return number;
            }
        }
    }

    fn arrive(&mut self) {
        let scenario = self.scenario;
        let (more, from_s, to_s) = scenario.burst;
        let since_start_s = self.now as f64 / 1e6 - START as f64 / 1e6;
        let burst = if (from_s..to_s).contains(&since_start_s) { more } else { 1.0 };
        let rate = scenario.load * burst * f64::from(scenario.readers) * scenario.capacity;
        let gap_s = -(1.0 - self.draws.f64()).ln() / rate;
        self.at(self.now + (gap_s * 1e6) as Micros + 1, Happening::Arrival);
        let session = match scenario.sessions {
            Sessions::Turns if self.draws.f64() < 0.8 => format!("turns {}", self.draws.u32(0..40)),
            Sessions::Hot if self.draws.f64() < 0.5 => format!("hot {}", self.draws.u32(0..3)),
            _ => format!("once {}", self.next),
        };
        let prompt_tokens =
            if scenario.varied { SHORTEST_PROMPT * 10f64.powf(self.draws.f64()) } else { USUAL_PROMPT };
        let beginning = (60f64.powf(self.draws.f64())) as u32;
        let ask = Arrival {
            session: Some(session.as_str().into()),
            prefix: Some(format!("beginning {beginning}").as_str().into()),
            prefix_tokens: prompt_tokens.min(300.0),
            prompt_tokens,
            ..arrival("")
        };
        self.record.asked += 1;
        self.ask(ask, 0);
    }

    fn ask(&mut self, ask: Arrival, tries: u32) {
        let process = self.front();
        self.names += 1;
        let name = format!("r{}@{}", self.names, self.now);
        let ask = Arrival { id: id(&name), ..ask };
        let request =
            Request { process, ask: ask.clone(), attempts: Vec::new(), tries, begun: false, answered: false };
        self.requests.insert(name, request);
        self.say(process, Event::Request(ask));
    }

    fn retry(&mut self, name: &str) {
        let Some(request) = self.requests.remove(name) else { return };
        self.ask(request.ask, request.tries + 1);
    }

    fn act(&mut self, process: u32, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(&id.0, server.0),
                Action::Cancel { id, attempt } => {
                    let name = id.0.to_string();
                    self.at(self.now + 1, Happening::End { name, attempt, status: Status::Cancelled });
                }
                Action::Refuse { id, retry_after, .. } => self.refused(&id.0, retry_after),
                Action::Fail { id, .. } => self.answered(&id.0, |record| &mut record.failed),
                Action::Timer { after, .. } => self.at(self.now + after, Happening::Tick(process)),
                Action::Probe { .. } | Action::Release { .. } | Action::Watch => {}
            }
        }
    }

    fn answered(&mut self, name: &str, counter: impl Fn(&mut Record) -> &mut usize) {
        let Some(request) = self.requests.get_mut(name) else { return };
        request.answered = true;
        *counter(&mut self.record) += 1;
    }

    fn refused(&mut self, name: &str, retry_after: Micros) {
        self.answered(name, |record| &mut record.refused);
        let again = self.requests.get(name).is_some_and(|r| r.tries < 2) && self.draws.f64() < 0.6;
        if again {
            self.at(self.now + retry_after, Happening::Retry(name.to_owned()));
        }
    }

    fn send(&mut self, name: &str, server: u32) {
        let waits = if self.draws.f64() < self.scenario.late_dials { self.draws.f64() } else { 0.0 };
        let delay = (waits * 0.95 * DIAL_TIMEOUT as f64) as Micros + 300;
        let Some(request) = self.requests.get_mut(name) else { return };
        let attempt = request.attempts.len() as u32;
        request.attempts.push(Attempt { server, over: false });
        self.at(self.now + delay, Happening::Reach { name: name.to_owned(), attempt });
    }

    fn reach(&mut self, name: &str, attempt: u32) {
        let Some(request) = self.requests.get(name).filter(|r| !r.attempts[attempt as usize].over) else {
            return;
        };
        let (server, process, prompt) =
            (request.attempts[attempt as usize].server, request.process, request.ask.prompt_tokens);
        let end = |status| Happening::End { name: name.to_owned(), attempt, status };
        if !self.is_up(server) {
            let unheard = self.draws.bool();
            let after = if unheard { DIAL_TIMEOUT } else { REFUSED_AFTER };
            return self.at(self.now + after, end(Status::NoConnection));
        }
        let work = prompt / if self.scenario.varied { MEAN_VARIED_PROMPT } else { USUAL_PROMPT };
        let start = last_start(&self.scenario, server, self.now);
        let told = start.is_none_or(|start| self.processes[process as usize].knows >= start);
        let session = request.ask.session.as_deref().map_or(0, meadowlug::numeric::number);
        let call = Call { at: self.now, work, process, session, attempt, told };
        self.record.calls.entry(server).or_default().push(call);
        if self.draws.f64() < self.scenario.resets {
            return self.at(self.now + 5_000, end(Status::Reset));
        }
        let now_s = self.now as f64 / 1e6;
        let begins_s = self.servers[&server].max(now_s);
        if begins_s - now_s > QUEUE_S {
            return self.at(self.now + 1_000, end(Status::Full));
        }
        let done_s = begins_s + work / capacity(&self.scenario, server, self.now);
        self.servers.insert(server, done_s);
        let done = (done_s * 1e6) as Micros;
        if server < FIRST_WRITER {
            self.at(done, end(Status::Read));
        } else {
            self.at(done, Happening::First { name: name.to_owned(), attempt });
            self.at(done + STREAM, end(Status::Served));
        }
    }

    fn first(&mut self, name: &str, attempt: u32) {
        let Some(request) = self.requests.get_mut(name).filter(|r| !r.attempts[attempt as usize].over) else {
            return;
        };
        request.begun = true;
        let process = request.process;
        self.say(process, Event::First { id: id(name), attempt });
    }

    fn end(&mut self, name: &str, attempt: u32, status: Status) {
        let Some(request) = self.requests.get_mut(name) else { return };
        let Some(out) = request.attempts.get_mut(attempt as usize).filter(|a| !a.over) else { return };
        out.over = true;
        let (process, finished) = (request.process, status == Status::Served);
        if finished {
            self.answered(name, |record| &mut record.served);
        }
        let outcome = Outcome { id: id(name), attempt, status, finished, note: 0.0, load: Load::default() };
        self.say(process, Event::Outcome(outcome));
    }
}

/// A window in which a server in slow start got more than its budget.
#[derive(Clone, Debug)]
#[allow(dead_code)] // read by the message of a failed test
pub struct Overload {
    pub server: u32,
    pub after_start_s: f64,
    pub work: f64,
    pub budget: f64,
    /// Calls by process, the most of one session, and those that were not their request's first attempt in its stage.
    pub by_process: BTreeMap<u32, usize>,
    pub of_one_session: usize,
    pub further_attempts: usize,
}

/// The worst window of each server that passed its budget while it started, two thirds of it from processes that knew.
pub fn overloads(scenario: &Scenario, record: &Record) -> Vec<Overload> {
    let slow = |(server, calls): (&u32, &Vec<Call>)| {
        let window = |first: usize| {
            let at = calls[first].at;
            let start = last_start(scenario, *server, at)?;
            let after_start_s = (at - start) as f64 / 1e6;
            let (budget, length) = budget(scenario, *server, at);
            let within: Vec<_> = calls[first..].iter().take_while(|call| call.at < at + length).collect();
            let work: f64 = within.iter().map(|call| call.work).sum();
            let by_told: f64 = within.iter().filter(|call| call.told).map(|call| call.work).sum();
            let over = after_start_s < scenario.warm_after_s && work > budget && by_told * 3.0 >= work * 2.0;
            over.then(|| overload(*server, after_start_s, budget, &within))
        };
        let all = (0..calls.len()).filter_map(window);
        all.max_by(|a, b| (a.work - a.budget).total_cmp(&(b.work - b.budget)))
    };
    record.calls.iter().filter_map(slow).collect()
}

fn overload(server: u32, after_start_s: f64, budget: f64, calls: &[&Call]) -> Overload {
    let (mut by_process, mut by_session) = (BTreeMap::new(), BTreeMap::new());
    for call in calls {
        *by_process.entry(call.process).or_default() += 1;
        *by_session.entry(call.session).or_insert(0) += 1;
    }
    let stage = u32::from(server >= FIRST_WRITER);
    Overload {
        server,
        after_start_s,
        work: calls.iter().map(|call| call.work).sum(),
        budget,
        by_process,
        of_one_session: by_session.into_values().max().unwrap_or(0),
        further_attempts: calls.iter().filter(|call| call.attempt > stage).count(),
    }
}

/// What servers in slow start got, and the sum of N over as many windows as they were played for.
pub fn used(scenario: &Scenario, record: &Record) -> (f64, f64) {
    let mut sums = (0.0, 0.0);
    for server in servers(scenario).filter(|id| !starts(scenario, *id).is_empty()) {
        let calls = record.calls.get(&server).into_iter().flatten();
        sums.0 += calls.filter(|call| call.at >= START).map(|call| call.work).sum::<f64>();
        let windows = (scenario.for_s / scenario.window_s) as u64;
        let window_at = |n: u64| START + n * (scenario.window_s * 1e6) as Micros;
        let ruled = |n: u64| scenario.multiple * capacity(scenario, server, window_at(n)) * scenario.window_s;
        sums.1 += (0..windows).map(ruled).sum::<f64>();
    }
    sums
}
