//! The event loop: owns the decision module, its clock and timers, and the open requests, tells the module what has come
//! in, and carries out its actions.

use super::accounting::Accounting;
use super::admission::Admission;
use super::dispatch::Begun;
use super::figures::Counter;
use super::handle::{CurrentSettings, Gateway};
use super::intake::Taken;
use super::invariants::{ANSWER_GRACE, Invariant, Invariants};
use super::metrics::Metrics;
use super::open_request::Open;
use super::relay::{Departure, End, Leaving};
use super::releases::Releases;
use super::roster::Roster;
use super::routing::Routing;
use super::{Answer, AttemptError, Change, Clock, Engines, Listed, News, Tuning};
use crate::choice::Router;
use crate::interface::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior};

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

/// Decides by the module and owns all that is open.
pub(super) struct Driver<E: Engines> {
    pub(super) clock: Clock,
    pub(super) engines: Rc<E>,
    pub(super) roster: Rc<Roster>,
    pub(super) settings: CurrentSettings,
    pub(super) tuning: Tuning,
    pub(super) routing: Routing,
    pub(super) releases: Rc<Releases<E>>,
    pub(super) accounting: Accounting,
    pub(super) admission: Rc<RefCell<Admission<E::Events>>>,
    pub(super) inbox: mpsc::UnboundedReceiver<Input<E>>,
    pub(super) sender: mpsc::UnboundedSender<Input<E>>,
    pub(super) leaving: Leaving,
    pub(super) counter: Rc<Counter>,
    pub(super) invariants: Invariants,
    pub(super) metrics: Rc<Metrics>,
    pub(super) open: HashMap<RequestId, Open<E>>,
    /// Requests of which something is to be let go at the end of this turn.
    pub(super) to_release: Vec<RequestId>,
    /// Requests that may be over after this turn.
    pub(super) touched: Vec<RequestId>,
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
    let metrics = Rc::new(Metrics::new().map_err(|error| SettingsError(format!("figures: {error}")))?);
    let invariants = Invariants::new(metrics.clone());
    let current: CurrentSettings = Rc::new(RefCell::new(Rc::new(settings.clone())));
    let releases =
        Releases::new(engines.clone(), roster.clone(), tuning, invariants.clone(), metrics.clone());
    let releases = Rc::new(releases);
    let mut driver = Driver {
        clock: Clock::default(),
        routing: Routing::new(Router::new(settings, seed)?),
        releases: releases.clone(),
        accounting: Accounting::new(name, counter.clone()),
        engines,
        roster: roster.clone(),
        settings: current.clone(),
        tuning,
        admission: admission.clone(),
        inbox,
        sender: sender.clone(),
        leaving: Leaving::default(),
        counter: counter.clone(),
        invariants: invariants.clone(),
        metrics: metrics.clone(),
        open: HashMap::new(),
        to_release: Vec::new(),
        touched: Vec::new(),
    };
    let leaving = driver.leaving.clone();
    let callers = Rc::default();
    let settings = current;
    let gateway = Gateway {
        inbox: sender,
        admission,
        roster,
        roles,
        callers,
        leaving,
        counter,
        settings,
        invariants,
        metrics,
        releasing: releases.pending(),
    };
    let task = tokio::task::spawn_local(async move { driver.run().await });
    Ok((gateway, task))
}

impl<E: Engines> Driver<E> {
    async fn run(&mut self) {
        let mut report = tokio::time::interval(self.tuning.report_every);
        let mut look = tokio::time::interval(self.tuning.look_every);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wait = self.routing.next_timer().map(|due| self.clock.until(due));
            tokio::select! {
                biased;
                Some(input) = self.inbox.recv() => self.take(input),
                () = tokio::time::sleep(wait.unwrap_or(Duration::from_secs(3600))), if wait.is_some() => {}
                _ = report.tick() => self.accounting.report(self.open.len(), self.releases.take_failed()),
                _ = look.tick() => self.counter.avoided.set(self.routing.avoided(self.clock.now())),
            }
            while let Ok(input) = self.inbox.try_recv() {
                self.take(input);
            }
            // Some actions have an outcome at once, which is for the module's next turn.
            loop {
                let now = self.clock.now();
                for action in self.routing.decide(now) {
                    self.carry_out(now, action);
                }
                if !self.routing.is_pending() {
                    break;
                }
            }
            for (id, server) in self.routing.take_over_quota() {
                self.invariants.violated(Invariant::SlowStartQuota, &id, format!("server={:08x}", server.0));
            }
            for id in std::mem::take(&mut self.to_release) {
                self.release(id);
            }
            self.close();
        }
    }

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
                self.routing.tell(Event::Probed { server, load });
            }
            Input::Changed(change) => self.take_change(change),
            Input::Leaving(departure) => self.take_leaving(departure),
        }
    }

    pub(super) fn take_request(&mut self, taken: Taken<E>) {
        let open = Open {
            job: taken.job,
            class: taken.arrival.class,
            settings: self.settings.borrow().clone(),
            expires: self.clock.now() + taken.arrival.expires_in,
            attempts: Vec::new(),
            out: 0,
            answered: false,
            lifecycle: Rc::default(),
            streamed: false,
            reached: false,
            broken_read: false,
            release_waits: Rc::default(),
            releasing: None,
            held_until: Rc::default(),
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
        self.routing.tell(Event::Request(taken.arrival));
    }

    pub(super) fn take_gone(&mut self, id: RequestId, caller: u64) {
        let abandoned = self.admission.borrow_mut().gone(&id, caller);
        let Some(open) = self.open.get_mut(&id).filter(|open| abandoned && !open.answered) else { return };
        open.answered = true;
        // Also where attempts may not be called off: one that has not been written is not begun.
        open.lifecycle.mark_client_left();
        self.accounting.abandoned();
        self.touched.push(id.clone());
        self.routing.tell(Event::Abandoned { id });
    }

    pub(super) fn take_change(&mut self, change: Change) {
        match change.news {
            News::Settings(settings) => {
                self.settings.replace(Rc::new(settings.clone()));
                self.routing.tell(Event::Settings(settings));
            }
            News::Roster { form, engines } => {
                for Listed { entry, name, .. } in &engines {
                    let server = entry.server.0;
                    log::debug!("listed uid={name} server={server:08x} {entry:?}");
                }
                for endpoint in self.roster.apply(form, &engines) {
                    self.engines.forget(&endpoint);
                }
                let wall_now = (self.tuning.wall_clock)();
                self.roster.note_starts(&engines, |told| self.clock.of_wall(told, wall_now));
                self.releases.forget_unlisted();
                let entries = engines.iter().map(|listed| self.roster.as_used(listed)).collect();
                self.routing.tell(Event::Roster { form, entries });
            }
            News::Withheld(names) => {
                let entries = self.roster.withhold(names);
                self.routing.tell(Event::Roster { form: RosterForm::Delta, entries });
            }
        }
    }

    /// What was taken before has no more time than what comes now: nothing may be left, and no state held,
    /// when the process ends.
    pub(super) fn take_leaving(&mut self, departure: Departure) {
        let left = departure.answers_by.saturating_duration_since(Instant::now());
        let within = left.as_micros() as Micros;
        let by = self.clock.now() + within;
        for open in self.open.values_mut() {
            open.expires = open.expires.min(by);
        }
        self.routing.tell(Event::Leaving { within });
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, server, repeat_before } => self.send(id, server, repeat_before),
            Action::Probe { server } => self.probe(server),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Release { id } if self.to_release.contains(&id) => {}
            Action::Release { id } => self.to_release.push(id),
            Action::Refuse { id, retry_after, reason } => self.refuse(id, retry_after, reason),
            Action::Fail { id, reason } => {
                self.note_given_up(&id, reason, "failed");
                let late = |open: &Open<E>| open.expires <= now + 100_000;
                let timed_out = self.open.get(&id).is_some_and(late);
                self.answer(id, Answer::Failed { timed_out });
            }
            // The roster comes unasked.
            Action::Watch => {}
            Action::Timer { token, after } => self.routing.set_timer(now + after, token),
        }
    }

    /// Refuses a request; fails it where a refusal would promise what is not so.
    fn refuse(&mut self, id: RequestId, retry_after: Micros, reason: GiveUpReason) {
        if self.open.get(&id).is_some_and(|open| !open.answered && open.refusal_is_untrue()) {
            self.invariants.violated(Invariant::NoUntrueRefusal, &id, reason.name());
            self.note_given_up(&id, GiveUpReason::RefusalUntrue, "failed");
            return self.answer(id, Answer::Failed { timed_out: false });
        }
        self.note_given_up(&id, reason, "refused");
        self.answer(id, Answer::Refused { retry_after });
    }

    fn note_given_up(&self, id: &RequestId, reason: GiveUpReason, how: &str) {
        let Some(open) = self.open.get(id).filter(|open| !open.answered) else { return };
        let (reason, attempts) = (reason.name(), open.attempts.len());
        self.metrics.given_up.with_label_values(&[reason]).inc();
        log::info!("given up request={} {how} reason={reason} attempts={attempts}", id.0);
    }

    pub(super) fn answer(&mut self, id: RequestId, answer: Answer<E::Events>) {
        let now = self.clock.now();
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.answered) else { return };
        open.answered = true;
        open.lifecycle.mark_answered();
        let late_by = now.saturating_sub(open.expires);
        if late_by > ANSWER_GRACE.as_micros() as Micros {
            self.invariants.violated(Invariant::AnsweredInTime, &id, format!("late_ms={}", late_by / 1000));
        }
        let class = open.class;
        let keep = match &answer {
            Answer::Whole(_) | Answer::Faulty(_) => true,
            // What may have run with harm must not run again under its key.
            Answer::Failed { .. } => !open.is_harmless(),
            Answer::Events(_) | Answer::Refused { .. } => false,
        };
        log::debug!("answer request={} {answer:?} attempts={}", id.0, open.attempts.len());
        let callers = self.admission.borrow_mut().answered(&id, &answer, keep);
        self.accounting.answer(class, callers, answer);
        self.touched.push(id);
    }

    /// Forgets the requests that have their answer and nothing out.
    fn close(&mut self) {
        for id in std::mem::take(&mut self.touched) {
            if self.open.get(&id).is_some_and(|open| open.answered && open.out == 0)
                && let Some(open) = self.open.remove(&id)
            {
                self.admission.borrow_mut().leave(&id);
                if open.held_until.get().is_some() && open.releasing.is_none() {
                    self.invariants.violated(Invariant::NothingHeldTooLong, &id, "never let go");
                }
            }
        }
    }
}
