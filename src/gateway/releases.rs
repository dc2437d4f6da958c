//! Releases the states that engines hold for a request.

use super::driver::Driver;
use super::invariants::{Invariant, Invariants};
use super::metrics::Metrics;
use super::roster::Roster;
use super::{Engines, Tuning};
use crate::interface::{Micros, RequestId, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Pause between two rounds of a release. In a round each engine is asked until one accepts the release.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Time within which further rounds of a release may begin.
const RETRY_DURATION: Duration = Duration::from_secs(1);

/// The parameters of one release.
pub(super) struct Release {
    pub(super) id: RequestId,
    /// Time to wait before the first call to an engine.
    pub(super) delay: Duration,
    /// True while the release waits for its delay to pass.
    pub(super) delayed: Rc<Cell<bool>>,
    /// Time by which a held state has to be released, if one is held. Cleared once the release has succeeded
    /// or failed.
    pub(super) hold_deadline: Rc<Cell<Option<Instant>>>,
}

/// Sends release calls, first to the engines that are likeliest to answer.
pub(super) struct Releases<E: Engines> {
    engines: Rc<E>,
    roster: Rc<Roster>,
    /// Maximum time that one engine may take to accept a release before the next engine is asked.
    engine_timeout: Duration,
    /// Time of the last response of each engine. The engine that responded last is the likeliest to be
    /// running.
    last_responses: RefCell<HashMap<ServerId, Micros>>,
    /// Number of releases that no engine accepted since the last call of `take_failed_count`.
    failed: Cell<u64>,
    /// Number of releases in progress.
    pending: Rc<Cell<usize>>,
    invariants: Invariants,
    metrics: Rc<Metrics>,
}

impl<E: Engines> Releases<E> {
    pub(super) fn new(
        engines: Rc<E>,
        roster: Rc<Roster>,
        tuning: Tuning,
        invariants: Invariants,
        metrics: Rc<Metrics>,
    ) -> Self {
        let engine_timeout = tuning.release_timeout;
        let (last_responses, failed, pending) = (RefCell::default(), Cell::default(), Rc::default());
        Self { engines, roster, engine_timeout, last_responses, failed, pending, invariants, metrics }
    }

    /// Returns the number of failed releases since the last call.
    pub(super) fn take_failed_count(&self) -> u64 {
        self.failed.take()
    }

    /// Records that an engine responded.
    pub(super) fn record_response(&self, server: ServerId, now: Micros) {
        self.last_responses.borrow_mut().insert(server, now);
    }

    /// Removes the records of engines that are no longer listed. Otherwise the map would grow for as long as
    /// the gateway runs, since new engines keep being added.
    pub(super) fn forget_unlisted_engines(&self) {
        let roster = &self.roster;
        self.last_responses.borrow_mut().retain(|server, _| roster.listed_engine(*server).is_some());
    }

    /// Returns the endpoints in the order in which a release tries them: first the engine that responded
    /// last, then the engine that responded last in each other zone, then the second engine of each zone, and
    /// so on. On a gateway with little traffic, the engines that responded last have often crashed or been
    /// cut off together. If they were tried one after another, they would use up the time for which a state
    /// may be held.
    fn endpoints_in_trial_order(&self) -> Vec<Arc<str>> {
        let last_responses = self.last_responses.borrow();
        let mut engines = self.roster.listed_engines();
        engines.sort_by_key(|e| std::cmp::Reverse(last_responses.get(&e.entry.server).copied().unwrap_or(0)));
        let mut zone_counts = HashMap::<u32, usize>::new();
        let ranked_engines = engines.into_iter().map(|engine| {
            let rank_in_zone = zone_counts.entry(engine.entry.zone).or_default();
            *rank_in_zone += 1;
            (*rank_in_zone, engine.endpoint)
        });
        let mut engines: Vec<_> = ranked_engines.collect();
        engines.sort_by_key(|(rank_in_zone, _)| *rank_in_zone);
        engines.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// Returns the shared number of releases in progress.
    pub(super) fn pending_count(&self) -> Rc<Cell<usize>> {
        self.pending.clone()
    }

    /// Starts a task that releases all states held for the request, at the first engine that accepts the
    /// call. A further attempt of the request must first wait for this task or abort it; otherwise the
    /// release could drop the state that the new attempt creates.
    pub(super) fn start(self: &Rc<Self>, release: Release) -> JoinHandle<()> {
        let releases = self.clone();
        let pending_guard = PendingGuard::new(&self.pending);
        tokio::task::spawn_local(async move {
            let _guard = pending_guard;
            tokio::time::sleep(release.delay).await;
            release.delayed.set(false);
            releases.run_release(&release).await;
        })
    }

    /// Runs rounds of calls until an engine accepts the release or the time for new rounds is over.
    async fn run_release(&self, release: &Release) {
        let retry_until = Instant::now() + RETRY_DURATION;
        let mut released = self.try_each_engine(&release.id).await;
        while !released && Instant::now() < retry_until {
            tokio::time::sleep(RETRY_INTERVAL).await;
            released = self.try_each_engine(&release.id).await;
        }
        let result = if released { "done" } else { "failed" };
        self.metrics.releases.with_label_values(&[result]).inc();
        if release.hold_deadline.take().is_some_and(|deadline| deadline < Instant::now() || !released) {
            self.invariants.report_violation(Invariant::NothingHeldTooLong, &release.id, result);
        }
        if !released {
            self.failed.set(self.failed.get() + 1);
            log::warn!("release not accepted by any engine request={}", release.id.0);
        }
    }

    /// Asks one engine after another to release the states of a request. Returns true as soon as one accepts.
    async fn try_each_engine(&self, id: &RequestId) -> bool {
        for endpoint in self.endpoints_in_trial_order() {
            let call = self.engines.release(endpoint.clone(), id.clone());
            match tokio::time::timeout(self.engine_timeout, call).await {
                Ok(Ok(())) => return true,
                Ok(Err(error)) => log::debug!("release request={} at={endpoint} {error}", id.0),
                Err(_) => log::debug!("release request={} at={endpoint} no answer in time", id.0),
            }
        }
        false
    }
}

/// Counts a release as pending until the guard is dropped, also if the task of the release is aborted.
struct PendingGuard(Rc<Cell<usize>>);

impl PendingGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<E: Engines> Driver<E> {
    /// Releases the states held for a request, at the end of a turn or before the next attempt. While a read
    /// of an unanswered request is in flight, no call is made, since the call could drop the state of that
    /// read. An attempt in flight at a writer does not prevent the call: engines keep the state that such an
    /// attempt waits for.
    pub(super) fn release(&mut self, id: RequestId) {
        let Some(request) = self
            .open_requests
            .get_mut(&id)
            .filter(|request| request.may_have_reached_engine && !request.answer_started)
        else {
            return;
        };
        if !request.answered && request.has_read_in_flight() {
            return;
        }
        let delayed_release = request.answered && request.had_broken_read;
        if delayed_release && request.release_delayed.replace(true) {
            return;
        }
        let delay = if delayed_release { self.tuning.release_delay } else { Duration::ZERO };
        log::debug!("release request={} answered={} in_flight={}", id.0, request.answered, request.in_flight);
        let (delayed, hold_deadline) = (request.release_delayed.clone(), request.hold_deadline.clone());
        let release_task = self.releases.start(Release { id, delay, delayed, hold_deadline });
        // The earlier task makes the same call. The next attempt waits only for the newer task, so the call
        // of the earlier one could arrive after that attempt.
        if let Some(earlier) = request.last_release.replace(release_task) {
            earlier.abort();
        }
    }
}
