//! Owns the decision module, its clock and timers, and the open requests; carries out its actions.

use super::admit::{Admission, Admitted};
use super::book::Book;
use super::figures::{Counter, Fate, Figures};
use super::relay::{Departure, End, Leaving, Relay};
use super::roster::Roster;
use super::route::Route;
use super::send::{self, Begun};
use super::take_in::{Caller, Rejected, Submission, Taken, Ticket};
use super::{Answer, AttemptError, Call, Change, Clock, Engines, Gate, Limits, Listed, News, Replied, Reply};
use crate::choice::Router;
use crate::interface::*;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, MissedTickBehavior};

/// Figures of the core that are not the module's.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Bounds on what is open.
    pub limits: Limits,
    /// How long an engine may be silent within an answer.
    pub silence: Duration,
    /// How long one engine may take to accept a release.
    pub release_patience: Duration,
    /// How long an attempt waits for a release that goes before it.
    pub release_first: Duration,
    /// How long one may take to answer a probe.
    pub probe_patience: Duration,
    /// How long after a broken read its state is let go, so that the call comes after the break.
    pub release_delay: Duration,
    /// How long an attempt that was given up still counts as out, until its connection has closed.
    pub closing: Duration,
    /// How often counts are logged.
    pub report_every: Duration,
    /// How often it is looked which engines are avoided.
    pub look_every: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            limits: Limits {
                requests: 800,
                bytes: 32 << 20,
                keep: Duration::from_secs(60),
                keep_bytes: 8 << 20,
            },
            silence: Duration::from_secs(4),
            release_patience: Duration::from_millis(100),
            release_first: Duration::from_millis(250),
            probe_patience: Duration::from_millis(250),
            release_delay: Duration::from_millis(40),
            closing: Duration::from_millis(10),
            report_every: Duration::from_secs(10),
            look_every: Duration::from_millis(200),
        }
    }
}

/// What comes to the driver.
pub(super) enum Input<E: Engines> {
    Taken(Taken<E>),
    Gone { id: RequestId, caller: u64 },
    Begun { id: RequestId, attempt: u32, result: Result<Begun<E::Events>, AttemptError> },
    Ended { id: RequestId, attempt: u32, end: End },
    Closed { id: RequestId, attempt: u32 },
    Probed { server: ServerId, load: Load },
    Changed(Change),
    Leaving(Departure),
}

/// The settings as they are now: those of a request stay as they were when it came.
type Current = Rc<RefCell<Rc<Settings>>>;

/// Hands requests to a running driver.
pub struct Gateway<E: Engines> {
    inbox: mpsc::UnboundedSender<Input<E>>,
    admission: Rc<RefCell<Admission<E::Events>>>,
    roster: Rc<Roster>,
    roles: Rc<[Role]>,
    callers: Rc<Cell<u64>>,
    leaving: Leaving,
    counter: Rc<Counter>,
    settings: Current,
}

impl<E: Engines> Clone for Gateway<E> {
    fn clone(&self) -> Self {
        Self {
            inbox: self.inbox.clone(),
            admission: self.admission.clone(),
            roster: self.roster.clone(),
            roles: self.roles.clone(),
            callers: self.callers.clone(),
            leaving: self.leaving.clone(),
            counter: self.counter.clone(),
            settings: self.settings.clone(),
        }
    }
}

impl<E: Engines> Gateway<E> {
    /// Takes a request; its answer is waited for on the ticket.
    pub fn submit(&self, submission: Submission<E::Job>) -> Result<Ticket<E>, Rejected> {
        let Submission { mut arrival, job, size, key } = submission;
        if let Some(departure) = self.leaving.get() {
            let left = departure.answers_by.saturating_duration_since(Instant::now());
            arrival.expires_in = arrival.expires_in.min(left.as_micros() as Micros);
        }
        let id = arrival.id.clone();
        let (answer, ticket) = oneshot::channel();
        let number = self.callers.get();
        self.callers.set(number + 1);
        let admitted = self.admission.borrow_mut().admit(&id, size, key, Caller { number, answer })?;
        let waits_for = match admitted {
            Admitted::New => {
                let taken = Input::Taken(Taken { arrival, job: Rc::new(job) });
                self.inbox.send(taken).map_err(|_| Rejected::Stopped)?;
                id
            }
            Admitted::Joined(id) => id,
            Admitted::Answered => id,
        };
        Ok(Ticket::new(waits_for, number, ticket, self.inbox.clone()))
    }

    /// The gateway stops: what comes from now on is answered in time, and running answers are handed over.
    pub fn leave(&self, departure: Departure) {
        self.leaving.set(Some(departure));
        // A driver that has stopped has nothing open.
        let _ = self.inbox.send(Input::Leaving(departure));
    }

    /// Hands the driver news of its settings or roster.
    pub fn tell(&self, change: Change) -> Result<(), Rejected> {
        self.inbox.send(Input::Changed(change)).map_err(|_| Rejected::Stopped)
    }

    /// Whether each role that a request needs is listed as ready.
    pub fn can_serve(&self) -> bool {
        let ready = self.roster.ready_kinds();
        let has = |role: Role| ready.iter().any(|kind| self.roles.get(*kind) == Some(&role));
        has(Role::Both) || has(Role::Read) && has(Role::Write)
    }

    /// Whether an engine of that name is listed, or was.
    pub fn has_listed(&self, name: &str) -> bool {
        self.roster.has_listed(name)
    }

    /// Counts a request that a front answered by itself.
    pub fn count(&self, class: usize, fate: Fate) {
        self.counter.count(class, fate);
    }

    /// The figures as they stand.
    pub fn figures(&self) -> Figures {
        let (listed, withheld) = self.roster.count();
        let avoided = (withheld + self.counter.avoided.get()).min(listed);
        Figures { handled: self.counter.handled(), open: self.open(), listed, avoided }
    }

    /// The settings that hold for what comes now.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// How many requests are open.
    pub fn open(&self) -> usize {
        self.admission.borrow().open()
    }
}

/// Whether an attempt is out, and by what.
enum Out {
    /// A task works on it until its answer begins.
    Sent(AbortHandle),
    /// No task does: its answer is being relayed, or it could not be sent.
    Untasked,
    Over,
}

struct Attempt {
    server: ServerId,
    reading: bool,
    out: Out,
}

struct Open<E: Engines> {
    job: Rc<E::Job>,
    class: usize,
    /// The settings under which it came.
    settings: Rc<Settings>,
    expires: Micros,
    attempts: Vec<Attempt>,
    /// How many attempts are out.
    out: usize,
    answered: bool,
    /// Whether somebody still waits for its answer; asked before an attempt is written.
    wanted: Rc<Cell<bool>>,
    /// Whether an answer has begun: engines let go of the rest by themselves.
    streamed: bool,
    /// Whether an attempt may have come to an engine: before that nothing is held.
    reached: bool,
    /// Whether a read broke, whose state may turn up just after.
    broken_read: bool,
    /// Whether a release is already about to go out.
    release_waits: Rc<Cell<bool>>,
    /// The release that went out last: an attempt is written only after it.
    releasing: Option<JoinHandle<()>>,
}

impl<E: Engines> Open<E> {
    /// Whether a run that may have begun can be repeated without harm.
    fn is_harmless(&self) -> bool {
        self.settings.classes.get(self.class).is_some_and(|class| class.effect == Effect::Safe)
    }

    /// Marks an attempt as over; gives its server if it was out.
    fn over(&mut self, attempt: u32) -> Option<ServerId> {
        let attempt = self.attempts.get_mut(attempt as usize)?;
        if matches!(attempt.out, Out::Over) {
            return None;
        }
        attempt.out = Out::Over;
        self.out -= 1;
        Some(attempt.server)
    }
}

struct Driver<E: Engines> {
    clock: Clock,
    engines: Rc<E>,
    roster: Rc<Roster>,
    settings: Current,
    tuning: Tuning,
    route: Route,
    book: Book<E>,
    admission: Rc<RefCell<Admission<E::Events>>>,
    inbox: mpsc::UnboundedReceiver<Input<E>>,
    sender: mpsc::UnboundedSender<Input<E>>,
    leaving: Leaving,
    counter: Rc<Counter>,
    open: HashMap<RequestId, Open<E>>,
    /// Requests of which something is to be let go at the end of this turn.
    releases: Vec<RequestId>,
    /// Requests that may be over after this turn.
    touched: Vec<RequestId>,
}

/// Starts a driver on this thread's local set; the log knows it by its name. The task ends only by a panic
/// or by being aborted.
pub fn start<E: Engines>(
    name: &str,
    settings: Settings,
    seed: u64,
    engines: E,
    tuning: Tuning,
) -> Result<(Gateway<E>, tokio::task::JoinHandle<()>), SettingsError> {
    let (sender, inbox) = mpsc::unbounded_channel();
    let roster = Rc::new(Roster::default());
    let roles: Rc<[Role]> = settings.roles.clone().into();
    let admission = Rc::new(RefCell::new(Admission::new(tuning.limits)));
    let engines = Rc::new(engines);
    let counter = Rc::new(Counter::new(settings.classes.len()));
    let current: Current = Rc::new(RefCell::new(Rc::new(settings.clone())));
    let mut driver = Driver {
        clock: Clock::default(),
        route: Route::new(Router::new(settings, seed)?),
        book: Book::new(name, engines.clone(), roster.clone(), tuning.release_patience, counter.clone()),
        engines,
        roster: roster.clone(),
        settings: current.clone(),
        tuning,
        admission: admission.clone(),
        inbox,
        sender: sender.clone(),
        leaving: Leaving::default(),
        counter: counter.clone(),
        open: HashMap::new(),
        releases: Vec::new(),
        touched: Vec::new(),
    };
    let leaving = driver.leaving.clone();
    let callers = Rc::default();
    let settings = current;
    let gateway = Gateway { inbox: sender, admission, roster, roles, callers, leaving, counter, settings };
    let task = tokio::task::spawn_local(async move { driver.run().await });
    Ok((gateway, task))
}

impl<E: Engines> Driver<E> {
    async fn run(&mut self) {
        let mut report = tokio::time::interval(self.tuning.report_every);
        let mut look = tokio::time::interval(self.tuning.look_every);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wait = self.route.next_timer().map(|due| self.clock.until(due));
            tokio::select! {
                biased;
                Some(input) = self.inbox.recv() => self.take(input),
                () = tokio::time::sleep(wait.unwrap_or(Duration::from_secs(3600))), if wait.is_some() => {}
                _ = report.tick() => self.book.report(self.open.len()),
                _ = look.tick() => self.counter.avoided.set(self.route.avoided(self.clock.now())),
            }
            while let Ok(input) = self.inbox.try_recv() {
                self.take(input);
            }
            // Some actions have an outcome at once, which is for the module's next turn.
            loop {
                let now = self.clock.now();
                for action in self.route.decide(now) {
                    self.carry_out(now, action);
                }
                if !self.route.is_pending() {
                    break;
                }
            }
            for id in std::mem::take(&mut self.releases) {
                self.release(id);
            }
            self.close();
        }
    }

    // ---- What has come in ----

    fn take(&mut self, input: Input<E>) {
        match input {
            Input::Taken(taken) => self.take_request(taken),
            Input::Gone { id, caller } => self.take_gone(id, caller),
            Input::Begun { id, attempt, result } => self.take_begun(id, attempt, result),
            Input::Ended { id, attempt, end } => self.take_ended(id, attempt, &end),
            Input::Closed { id, attempt } => {
                self.attempt_over(id, attempt, Status::Cancelled, 0.0, Load::default());
            }
            Input::Probed { server, load } => {
                log::debug!("probed server={:08x} {load:?}", server.0);
                self.route.tell(Event::Probed { server, load });
            }
            Input::Changed(change) => self.take_change(change),
            Input::Leaving(departure) => self.take_leaving(departure),
        }
    }

    fn take_request(&mut self, taken: Taken<E>) {
        let open = Open {
            job: taken.job,
            class: taken.arrival.class,
            settings: self.settings.borrow().clone(),
            expires: self.clock.now() + taken.arrival.expires_in,
            attempts: Vec::new(),
            out: 0,
            answered: false,
            wanted: Rc::new(Cell::new(true)),
            streamed: false,
            reached: false,
            broken_read: false,
            release_waits: Rc::default(),
            releasing: None,
        };
        let ask = &taken.arrival;
        log::debug!(
            "arrival request={} class={} tenant={} resumed={} prompt={} expires_ms={} session={:?} prefix={:?}:{} max_out={}",
            ask.id.0,
            ask.class,
            ask.tenant,
            ask.resumed,
            ask.prompt_tokens,
            ask.expires_in / 1000,
            ask.session,
            ask.prefix,
            ask.prefix_tokens,
            ask.max_output_tokens
        );
        self.open.insert(ask.id.clone(), open);
        self.route.tell(Event::Request(taken.arrival));
    }

    fn take_gone(&mut self, id: RequestId, caller: u64) {
        let abandoned = self.admission.borrow_mut().gone(&id, caller);
        let Some(open) = self.open.get_mut(&id).filter(|open| abandoned && !open.answered) else { return };
        open.answered = true;
        // Also where attempts may not be called off: one that has not been written is not begun.
        open.wanted.set(false);
        self.book.abandoned();
        self.touched.push(id.clone());
        self.route.tell(Event::Abandoned { id });
    }

    fn take_begun(&mut self, id: RequestId, attempt: u32, result: Result<Begun<E::Events>, AttemptError>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(was) = open.attempts.get_mut(attempt as usize) else { return };
        if !matches!(was.out, Out::Sent(_)) {
            return;
        }
        let (server, reading) = (was.server, was.reading);
        let Begun { replied: Replied { reply, load }, first } = match result {
            Ok(begun) => begun,
            Err(error) => {
                log::info!("attempt lost request={} n={attempt} server={:08x} {error}", id.0, server.0);
                let status = send::status_of(&error);
                open.broken_read |= reading && !matches!(status, Status::Moot | Status::NoConnection);
                return self.attempt_over(id, attempt, status, 0.0, Load::default());
            }
        };
        self.book.hear(server, self.clock.now());
        let (status, note) = match reply {
            Reply::Events(events) => {
                was.out = Out::Untasked;
                open.streamed = true;
                let (inbox, to) = (self.sender.clone(), id.clone());
                // A driver that has stopped needs no word of the end.
                let report = move |end| drop(inbox.send(Input::Ended { id: to, attempt, end }));
                let (silence, leaving) = (self.tuning.silence, self.leaving.clone());
                let relay = Relay::new(first, events, silence, leaving, Box::new(report));
                self.route.tell(Event::First { id: id.clone(), attempt });
                return self.answer(id, Answer::Events(relay));
            }
            Reply::Whole(body) => {
                open.streamed = true;
                self.answer(id.clone(), Answer::Whole(body));
                (Status::Served, 0.0)
            }
            Reply::Faulty(body) => {
                self.answer(id.clone(), Answer::Faulty(body));
                // Turned down unread: it tells neither of the engine's health nor of its speed.
                (Status::Moot, 0.0)
            }
            Reply::Read { cached_tokens } => (Status::Read, cached_tokens),
            Reply::Declined { no_state } => (Status::Full, f64::from(u8::from(no_state))),
            Reply::Error => (Status::Error, 0.0),
        };
        if !matches!(status, Status::Read | Status::Served | Status::Moot) {
            let why = if note > 0.0 { " no state" } else { "" };
            log::info!(
                "attempt turned away request={} n={attempt} server={:08x} {status:?}{why}",
                id.0,
                server.0
            );
        }
        self.attempt_over(id, attempt, status, note, load);
    }

    fn take_ended(&mut self, id: RequestId, attempt: u32, end: &End) {
        if let Some(open) = self.open.get(&id) {
            self.book.ended(open.class, &id, end);
        }
        let status = match end {
            End::Whole => Status::Served,
            End::Broke(_) => Status::Reset,
            End::HandedOver => Status::Cancelled,
            End::ClientGone => {
                self.route.tell(Event::Abandoned { id: id.clone() });
                Status::Cancelled
            }
        };
        self.attempt_over(id, attempt, status, 0.0, Load::default());
    }

    fn attempt_over(&mut self, id: RequestId, attempt: u32, status: Status, note: f64, load: Load) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(server) = open.over(attempt) {
            log::debug!(
                "outcome request={} n={attempt} server={:08x} {status:?} note={note} share={:?} queued={:?}",
                id.0,
                server.0,
                load.memory_share,
                load.queued_kilotokens
            );
            open.reached |= !matches!(status, Status::NoConnection | Status::Moot | Status::Full);
            let finished = open.answered;
            self.touched.push(id.clone());
            self.route.tell(Event::Outcome(Outcome { id, attempt, status, finished, note, load }));
        }
    }

    fn take_change(&mut self, change: Change) {
        match change.news {
            News::Settings(settings) => {
                self.settings.replace(Rc::new(settings.clone()));
                self.route.tell(Event::Settings(settings));
            }
            News::Roster { form, engines } => {
                for Listed { entry, name, .. } in &engines {
                    let server = entry.server.0;
                    log::debug!("listed uid={name} server={server:08x} {entry:?}");
                }
                for endpoint in self.roster.apply(form, &engines) {
                    self.engines.forget(&endpoint);
                }
                self.book.forget_unlisted();
                let entries = engines.iter().map(|listed| self.roster.as_used(listed)).collect();
                self.route.tell(Event::Roster { form, entries });
            }
            News::Withheld(names) => {
                let entries = self.roster.withhold(names);
                self.route.tell(Event::Roster { form: RosterForm::Delta, entries });
            }
        }
    }

    /// What was taken before has no more time than what comes now: nothing may be left, and no state held,
    /// when the process ends.
    fn take_leaving(&mut self, departure: Departure) {
        let left = departure.answers_by.saturating_duration_since(Instant::now());
        let within = left.as_micros() as Micros;
        let by = self.clock.now() + within;
        for open in self.open.values_mut() {
            open.expires = open.expires.min(by);
        }
        self.route.tell(Event::Leaving { within });
    }

    // ---- What is to be done ----

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, server, repeat_before } => self.send(id, server, repeat_before),
            Action::Probe { server } => self.probe(server),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Release { id } if self.releases.contains(&id) => {}
            Action::Release { id } => self.releases.push(id),
            Action::Refuse { id, retry_after } => self.answer(id, Answer::Refused { retry_after }),
            Action::Fail { id } => {
                let late = |open: &Open<E>| open.expires <= now + 100_000;
                let timed_out = self.open.get(&id).is_some_and(late);
                self.answer(id, Answer::Failed { timed_out });
            }
            // The roster comes unasked.
            Action::Watch => {}
            Action::Timer { token, after } => self.route.set_timer(now + after, token),
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer<E::Events>) {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.answered) else { return };
        open.answered = true;
        let class = open.class;
        let keep = match &answer {
            Answer::Whole(_) | Answer::Faulty(_) => true,
            // What may have run with harm must not run again under its key.
            Answer::Failed { .. } => !open.is_harmless(),
            Answer::Events(_) | Answer::Refused { .. } => false,
        };
        log::debug!("answer request={} {answer:?} attempts={}", id.0, open.attempts.len());
        let callers = self.admission.borrow_mut().answered(&id, &answer, keep);
        self.book.answer(class, callers, answer);
        self.touched.push(id);
    }

    fn send(&mut self, id: RequestId, server: ServerId, repeat_before: Option<Micros>) {
        if let Some(at) = self.releases.iter().position(|other| *other == id) {
            // What is held goes before the attempt: it may not come up, and the time of what is held runs on.
            let id = self.releases.remove(at);
            self.release(id);
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts.len() as u32;
        log::debug!("send request={} n={attempt} server={:08x}", id.0, server.0);
        let listed = self.roster.entry(server);
        let role = listed.as_ref().and_then(|l| open.settings.roles.get(l.entry.kind));
        let reading = role == Some(&Role::Read);
        let allowed = !open.answered && attempt < open.settings.max_attempts;
        let task = listed.filter(|_| allowed).map(|listed| {
            let call = Call {
                endpoint: listed.endpoint,
                id: id.clone(),
                job: open.job.clone(),
                deadline: self.clock.instant(open.expires),
                gate: Gate {
                    roster: self.roster.clone(),
                    server,
                    wanted: open.wanted.clone(),
                    repeat_before: repeat_before.map(|until| self.clock.instant(until)),
                },
            };
            let first = (open.releasing.take(), self.tuning.release_first);
            send::start(&self.engines, call, attempt, first, &self.sender)
        });
        let never_sent = task.is_none();
        open.attempts.push(Attempt { server, reading, out: task.map_or(Out::Untasked, Out::Sent) });
        open.out += 1;
        if never_sent {
            self.attempt_over(id, attempt, Status::Moot, 0.0, Load::default());
        }
    }

    /// Asks an engine for its load; one that does not answer soon tells nothing.
    fn probe(&self, server: ServerId) {
        let (engines, inbox, patience) =
            (self.engines.clone(), self.sender.clone(), self.tuning.probe_patience);
        let endpoint = self.roster.entry(server).map(|listed| listed.endpoint);
        tokio::task::spawn_local(async move {
            let told = match endpoint {
                Some(endpoint) => tokio::time::timeout(patience, engines.probe(endpoint)).await.ok(),
                None => None,
            };
            // A driver that has stopped needs no word of it.
            let load = told.and_then(Result::ok).unwrap_or_default();
            let _ = inbox.send(Input::Probed { server, load });
        });
    }

    /// Gives an attempt up by closing its connection. It is over once the engine can have seen that: told
    /// at once, a refusal could reach the client while the attempt still counted as out.
    fn cancel(&mut self, id: RequestId, attempt: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(Attempt { out: Out::Sent(task), reading, .. }) = open.attempts.get(attempt as usize) else {
            return;
        };
        task.abort();
        open.broken_read |= *reading;
        open.attempts[attempt as usize].out = Out::Untasked;
        let (inbox, pause) = (self.sender.clone(), self.tuning.closing);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(pause).await;
            // A driver that has stopped needs no word of it.
            let _ = inbox.send(Input::Closed { id, attempt });
        });
    }

    /// Lets go of what is held, at the end of a turn, or before the request is sent again. While an attempt is
    /// out the call is left out: it could take the state of a read away, and engines let go of the rest when
    /// an answer begins.
    fn release(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.reached && !open.streamed) else { return };
        if !open.answered && open.out > 0 {
            return;
        }
        let late = open.answered && open.broken_read;
        if late && open.release_waits.replace(true) {
            return;
        }
        let delay = if late { self.tuning.release_delay } else { Duration::ZERO };
        log::debug!("release request={} answered={} out={}", id.0, open.answered, open.out);
        let releasing = self.book.release(id, delay, open.release_waits.clone());
        // The same call, further behind: beside an attempt that waits for the newer one alone it could overtake that.
        if let Some(earlier) = open.releasing.replace(releasing) {
            earlier.abort();
        }
    }

    /// Forgets the requests that have their answer and nothing out.
    fn close(&mut self) {
        for id in std::mem::take(&mut self.touched) {
            if self.open.get(&id).is_some_and(|open| open.answered && open.out == 0) {
                self.open.remove(&id);
                self.admission.borrow_mut().leave(&id);
            }
        }
    }
}
