//! The event loop of the gateway. The driver owns the decision module, its clock and timers, and the open
//! requests. It passes each input to the decision module as an event and executes the actions that the module
//! returns.

use super::accounting::Accounting;
use super::admission::Admission;
use super::dispatch::StartedReply;
use super::figures::LiveStatistics;
use super::handle::{CurrentSettings, Gateway};
use super::intake::AcceptedRequest;
use super::invariants::{ANSWER_GRACE, Invariant, Invariants};
use super::metrics::Metrics;
use super::open_request::OpenRequest;
use super::relay::{RelayEnd, ShutdownSchedule, ShutdownState};
use super::releases::Releases;
use super::roster::Roster;
use super::routing::Routing;
use super::{Answer, AttemptError, Change, ChangeContent, Clock, Engines, ListedEngine, Tuning};
use crate::choice::{Router, SlowStartCall};
use crate::interface::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior};

/// An input of the driver's event loop.
pub(super) enum Input<E: Engines> {
    /// A front submitted a request, and admission accepted it.
    RequestAccepted(AcceptedRequest<E>),
    /// A front dropped its ticket: the client has disconnected.
    CallerGone { id: RequestId, caller: u64 },
    /// The answer of an attempt has begun, or the attempt failed before that.
    AttemptResult { id: RequestId, attempt: u32, result: Result<StartedReply<E::Events>, AttemptError> },
    /// The relay of a streamed answer ended.
    RelayEnded { id: RequestId, attempt: u32, end: RelayEnd },
    /// The connection of a cancelled attempt has had time to close.
    ConnectionClosed { id: RequestId, attempt: u32 },
    /// An engine answered a load probe, or the probe failed; `load` is empty then.
    Probed { server: ServerId, load: Load },
    /// The settings, the roster or the set of withheld engines changed.
    Changed(Change),
    /// The gateway was asked to shut down.
    ShutdownRequested(ShutdownSchedule),
}

/// The state of the event loop: the decision module, the open requests and the resources that they share.
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
    pub(super) shutdown: ShutdownState,
    pub(super) statistics: Rc<LiveStatistics>,
    pub(super) invariants: Invariants,
    pub(super) metrics: Rc<Metrics>,
    pub(super) open_requests: HashMap<RequestId, OpenRequest<E>>,
    /// Requests whose states are to be released at the end of this turn.
    pub(super) release_queue: Vec<RequestId>,
    /// Requests that may have finished, to be checked at the end of this turn.
    pub(super) maybe_finished: Vec<RequestId>,
}

/// Starts a driver on the local task set of this thread. `name` identifies the driver in the log. The task
/// ends only by a panic or by being aborted.
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
    let statistics = Rc::new(LiveStatistics::new(settings.classes.len()));
    let metrics = Rc::new(Metrics::new().map_err(|error| SettingsError(format!("metrics: {error}")))?);
    let invariants = Invariants::new(metrics.clone());
    let current_settings: CurrentSettings = Rc::new(RefCell::new(Rc::new(settings.clone())));
    let releases =
        Releases::new(engines.clone(), roster.clone(), tuning, invariants.clone(), metrics.clone());
    let releases = Rc::new(releases);
    let mut driver = Driver {
        clock: Clock::default(),
        routing: Routing::new(Router::new(settings, seed)?),
        releases: releases.clone(),
        accounting: Accounting::new(name, statistics.clone()),
        engines,
        roster: roster.clone(),
        settings: current_settings.clone(),
        tuning,
        admission: admission.clone(),
        inbox,
        sender: sender.clone(),
        shutdown: ShutdownState::default(),
        statistics: statistics.clone(),
        invariants: invariants.clone(),
        metrics: metrics.clone(),
        open_requests: HashMap::new(),
        release_queue: Vec::new(),
        maybe_finished: Vec::new(),
    };
    let shutdown = driver.shutdown.clone();
    let next_caller_number = Rc::default();
    let settings = current_settings;
    let gateway = Gateway {
        inbox: sender,
        admission,
        roster,
        roles,
        next_caller_number,
        shutdown,
        statistics,
        settings,
        invariants,
        metrics,
        pending_releases: releases.pending_count(),
    };
    let task = tokio::task::spawn_local(async move { driver.run().await });
    Ok((gateway, task))
}

impl<E: Engines> Driver<E> {
    async fn run(&mut self) {
        let mut report_interval = tokio::time::interval(self.tuning.report_interval);
        let mut avoided_check = tokio::time::interval(self.tuning.avoided_check_interval);
        avoided_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let due_in = self.routing.next_timer().map(|due| self.clock.until(due));
            tokio::select! {
                biased;
                Some(input) = self.inbox.recv() => self.handle_input(input),
                () = tokio::time::sleep(due_in.unwrap_or(Duration::from_secs(3600))),
                    if due_in.is_some() => {}
                _ = report_interval.tick() =>
                    self.accounting.log_counts(self.open_requests.len(), self.releases.take_failed_count()),
                _ = avoided_check.tick() =>
                    self.statistics.avoided_engines.set(self.routing.avoided_server_count(self.clock.now())),
            }
            while let Ok(input) = self.inbox.try_recv() {
                self.handle_input(input);
            }
            // An action can produce an outcome immediately. Run the decision module until no event is
            // pending.
            loop {
                let now = self.clock.now();
                let actions = self.routing.decide(now);
                if !actions.is_empty() {
                    self.routing.slow_start_calls().iter().for_each(|call| self.record_slow_start_call(call));
                }
                for action in actions {
                    self.execute_action(now, action);
                }
                if !self.routing.is_pending() {
                    break;
                }
            }
            for (id, server) in self.routing.take_sends_over_quota() {
                self.invariants.report_violation(
                    Invariant::SlowStartQuota,
                    &id,
                    format!("server={:08x}", server.0),
                );
            }
            for id in std::mem::take(&mut self.release_queue) {
                self.release(id);
            }
            self.remove_finished_requests();
        }
    }

    /// Counts and logs a call to a server in slow start.
    fn record_slow_start_call(&self, call: &SlowStartCall) {
        let admission = call.admission.name();
        self.metrics.slow_start_calls.with_label_values(&[admission]).inc();
        log::info!(
            "slow start call request={} server={:08x} admitted_by={admission} age_ms={} known_ms={} sent={:.1} \
             regular={:.1} arrivals={}",
            call.request.0,
            call.server.0,
            call.age / 1000,
            call.known_for / 1000,
            call.sent_work,
            call.regular_calls,
            call.recent_arrivals
        );
    }

    fn handle_input(&mut self, input: Input<E>) {
        match input {
            Input::RequestAccepted(accepted) => self.handle_request(accepted),
            Input::CallerGone { id, caller } => self.handle_caller_gone(id, caller),
            Input::AttemptResult { id, attempt, result } => self.handle_attempt_result(id, attempt, result),
            Input::RelayEnded { id, attempt, end } => self.handle_relay_ended(id, attempt, &end),
            Input::ConnectionClosed { id, attempt } => {
                self.finish_attempt(id, attempt, Status::Cancelled, 0.0, Load::default());
            }
            Input::Probed { server, load } => {
                log::debug!("probed server={:08x} {load:?}", server.0);
                self.routing.push_event(Event::Probed { server, load });
            }
            Input::Changed(change) => self.handle_change(change),
            Input::ShutdownRequested(schedule) => self.handle_shutdown(schedule),
        }
    }

    /// Opens an accepted request and passes it to the decision module.
    pub(super) fn handle_request(&mut self, accepted: AcceptedRequest<E>) {
        let request = OpenRequest {
            job: accepted.job,
            class: accepted.arrival.class,
            settings: self.settings.borrow().clone(),
            deadline: self.clock.now() + accepted.arrival.expires_in,
            attempts: Vec::new(),
            in_flight: 0,
            answered: false,
            lifecycle: Rc::default(),
            answer_started: false,
            may_have_reached_engine: false,
            had_broken_read: false,
            release_delayed: Rc::default(),
            last_release: None,
            hold_deadline: Rc::default(),
        };
        let arrival = &accepted.arrival;
        log::debug!(
            "arrival request={} class={} tenant={} resumed={} prompt={} expires_ms={} session={:?} prefix={:?}:{} max_out={}",
            arrival.id.0,
            arrival.class,
            arrival.tenant,
            arrival.resumed,
            arrival.prompt_tokens,
            arrival.expires_in / 1000,
            arrival.session,
            arrival.prefix,
            arrival.prefix_tokens,
            arrival.max_output_tokens
        );
        self.open_requests.insert(arrival.id.clone(), request);
        self.routing.push_event(Event::Request(accepted.arrival));
    }

    /// Handles the disconnection of a caller. The request is abandoned if no other caller waits for it and it
    /// has no idempotency key.
    pub(super) fn handle_caller_gone(&mut self, id: RequestId, caller: u64) {
        let abandoned = self.admission.borrow_mut().remove_caller(&id, caller);
        let Some(request) = self.open_requests.get_mut(&id).filter(|request| abandoned && !request.answered)
        else {
            return;
        };
        request.answered = true;
        // The client is marked as gone even if the settings do not allow cancelling attempts: an attempt that
        // has not been written yet must not begin.
        request.lifecycle.mark_client_left();
        self.accounting.record_abandoned();
        self.maybe_finished.push(id.clone());
        self.routing.push_event(Event::Abandoned { id });
    }

    /// Applies a change of the settings, the roster or the set of withheld engines.
    pub(super) fn handle_change(&mut self, change: Change) {
        match change.content {
            ChangeContent::Settings(settings) => {
                self.settings.replace(Rc::new(settings.clone()));
                self.routing.push_event(Event::Settings(settings));
            }
            ChangeContent::Roster { form, engines } => {
                for ListedEngine { entry, name, .. } in &engines {
                    let server = entry.server.0;
                    log::debug!("listed uid={name} server={server:08x} {entry:?}");
                }
                for endpoint in self.roster.apply(form, &engines) {
                    self.engines.close_idle_connections(&endpoint);
                }
                let wall_now = (self.tuning.wall_clock)();
                self.roster.record_starts(&engines, |time| self.clock.convert_unix_time(time, wall_now));
                self.releases.forget_unlisted_engines();
                let entries = engines.iter().map(|listed| self.roster.effective_entry(listed)).collect();
                self.routing.push_event(Event::Roster { form, entries });
            }
            ChangeContent::Withheld(names) => {
                let entries = self.roster.set_withheld(names);
                self.routing.push_event(Event::Roster { form: RosterForm::Delta, entries });
            }
        }
    }

    /// Limits the deadline of every open request to the answer deadline of the shutdown, as for requests that
    /// arrive from now on. No request may be unanswered, and no state held, when the process ends.
    pub(super) fn handle_shutdown(&mut self, schedule: ShutdownSchedule) {
        let remaining = schedule.answer_deadline.saturating_duration_since(Instant::now());
        let time_left = remaining.as_micros() as Micros;
        let latest_deadline = self.clock.now() + time_left;
        for request in self.open_requests.values_mut() {
            request.deadline = request.deadline.min(latest_deadline);
        }
        self.routing.push_event(Event::ShuttingDown { time_left });
    }

    /// Executes one action of the decision module.
    fn execute_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, server, repeat_deadline } => self.send(id, server, repeat_deadline),
            Action::Probe { server } => self.probe(server),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Release { id } if self.release_queue.contains(&id) => {}
            Action::Release { id } => self.release_queue.push(id),
            Action::Refuse { id, retry_after, reason } => self.refuse(id, retry_after, reason),
            Action::Fail { id, reason } => {
                self.record_given_up(&id, reason, "failed");
                let is_due = |request: &OpenRequest<E>| request.deadline <= now + 100_000;
                let timed_out = self.open_requests.get(&id).is_some_and(is_due);
                self.send_answer(id, Answer::Failed { timed_out });
            }
            // The roster source reports changes by itself, so there is nothing to request.
            Action::WatchRoster => {}
            Action::Timer { token, after } => self.routing.set_timer(now + after, token),
        }
    }

    /// Refuses a request. If the refusal would wrongly promise that a retry is harmless, fails the request
    /// instead.
    fn refuse(&mut self, id: RequestId, retry_after: Micros, reason: GiveUpReason) {
        if self.open_requests.get(&id).is_some_and(|request| !request.answered && request.refusal_is_untrue())
        {
            self.invariants.report_violation(Invariant::NoUntrueRefusal, &id, reason.name());
            self.record_given_up(&id, GiveUpReason::RefusalNotProvable, "failed");
            return self.send_answer(id, Answer::Failed { timed_out: false });
        }
        self.record_given_up(&id, reason, "refused");
        self.send_answer(id, Answer::Refused { retry_after });
    }

    /// Counts and logs a request that is refused or failed without an answer of a server.
    fn record_given_up(&self, id: &RequestId, reason: GiveUpReason, result: &str) {
        let Some(request) = self.open_requests.get(id).filter(|request| !request.answered) else { return };
        let (reason, attempts) = (reason.name(), request.attempts.len());
        self.metrics.given_up.with_label_values(&[reason]).inc();
        log::info!("given up request={} {result} reason={reason} attempts={attempts}", id.0);
    }

    /// Sends the final answer of a request to its callers. Does nothing if the request is already answered.
    pub(super) fn send_answer(&mut self, id: RequestId, answer: Answer<E::Events>) {
        let now = self.clock.now();
        let Some(request) = self.open_requests.get_mut(&id).filter(|request| !request.answered) else {
            return;
        };
        request.answered = true;
        request.lifecycle.mark_answered();
        let late_by = now.saturating_sub(request.deadline);
        if late_by > ANSWER_GRACE.as_micros() as Micros {
            self.invariants.report_violation(
                Invariant::AnsweredInTime,
                &id,
                format!("late_ms={}", late_by / 1000),
            );
        }
        let class = request.class;
        let retain_answer = match &answer {
            Answer::Complete(_) | Answer::InvalidRequest(_) => true,
            // A request that may have had its effect must not run again under the same idempotency key.
            Answer::Failed { .. } => !request.is_safe_to_repeat(),
            Answer::Events(_) | Answer::Refused { .. } => false,
        };
        log::debug!("answer request={} {answer:?} attempts={}", id.0, request.attempts.len());
        let callers = self.admission.borrow_mut().record_answer(&id, &answer, retain_answer);
        self.accounting.send_answer(class, callers, answer);
        self.maybe_finished.push(id);
    }

    /// Removes requests that are answered and have no attempt in flight.
    fn remove_finished_requests(&mut self) {
        for id in std::mem::take(&mut self.maybe_finished) {
            if self.open_requests.get(&id).is_some_and(|request| request.answered && request.in_flight == 0)
                && let Some(request) = self.open_requests.remove(&id)
            {
                self.admission.borrow_mut().remove_request(&id, request.must_not_run_again());
                if request.hold_deadline.get().is_some() && request.last_release.is_none() {
                    self.invariants.report_violation(Invariant::NothingHeldTooLong, &id, "never released");
                }
            }
        }
    }
}
