//! States and places that engines hold for a request, and letting go of them.

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

/// How long after a round in which no engine took a release the next begins, and for how long rounds are begun.
const NEXT_ROUND: Duration = Duration::from_millis(25);
const TRIED_FOR: Duration = Duration::from_secs(1);

/// A release as it is asked for.
pub(super) struct Release {
    pub(super) id: RequestId,
    /// How long it waits before it is made.
    pub(super) delay: Duration,
    /// Cleared once it is made.
    pub(super) waits: Rc<Cell<bool>>,
    /// By when what is held has to be let go, if something is; cleared once it is.
    pub(super) held_until: Rc<Cell<Option<Instant>>>,
}

/// Makes the calls that let go of what is held, at the engines surest to answer.
pub(super) struct Releases<E: Engines> {
    engines: Rc<E>,
    roster: Rc<Roster>,
    /// How long one engine may take to accept a release before another is asked.
    patience: Duration,
    /// When each engine last answered: a release goes first to the one surest to run.
    heard: RefCell<HashMap<ServerId, Micros>>,
    /// Releases that no engine accepted, since they were last asked for.
    failed: Cell<u64>,
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
        let patience = tuning.release_patience;
        let (heard, failed, pending) = (RefCell::default(), Cell::default(), Rc::default());
        Self { engines, roster, patience, heard, failed, pending, invariants, metrics }
    }

    /// How many failed since this was last asked.
    pub(super) fn take_failed(&self) -> u64 {
        self.failed.take()
    }

    pub(super) fn hear(&self, server: ServerId, now: Micros) {
        self.heard.borrow_mut().insert(server, now);
    }

    /// Forgets the engines that are no longer listed: new ones come for as long as the gateway runs.
    pub(super) fn forget_unlisted(&self) {
        let roster = &self.roster;
        self.heard.borrow_mut().retain(|server, _| roster.entry(*server).is_some());
    }

    /// The engines as a release is tried at them: first the one heard last, then the one heard last in each
    /// other zone, and so on in turn. A gateway with little traffic has often heard last from engines that
    /// were lost or cut off together: one after the other they would use up the time that a state may be held.
    fn in_order_of_trust(&self) -> Vec<Arc<str>> {
        let heard = self.heard.borrow();
        let mut engines = self.roster.listed();
        engines.sort_by_key(|e| std::cmp::Reverse(heard.get(&e.entry.server).copied().unwrap_or(0)));
        let mut turns = HashMap::<u32, usize>::new();
        let with_turn = engines.into_iter().map(|engine| {
            let turn = turns.entry(engine.entry.zone).or_default();
            *turn += 1;
            (*turn, engine.endpoint)
        });
        let mut engines: Vec<_> = with_turn.collect();
        engines.sort_by_key(|(turn, _)| *turn);
        engines.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// How many are on their way.
    pub(super) fn pending(&self) -> Rc<Cell<usize>> {
        self.pending.clone()
    }

    /// Lets go of what is held for the request, at whichever engine takes the call. Whoever writes an attempt of
    /// the request waits for the task, or ends it: what that attempt leaves must stay.
    pub(super) fn start(self: &Rc<Self>, release: Release) -> JoinHandle<()> {
        let releases = self.clone();
        let pending = Pending::new(&self.pending);
        tokio::task::spawn_local(async move {
            let _pending = pending;
            tokio::time::sleep(release.delay).await;
            release.waits.set(false);
            releases.make(&release).await;
        })
    }

    async fn make(&self, release: &Release) {
        let until = Instant::now() + TRIED_FOR;
        let mut released = self.try_everywhere(&release.id).await;
        while !released && Instant::now() < until {
            tokio::time::sleep(NEXT_ROUND).await;
            released = self.try_everywhere(&release.id).await;
        }
        let result = if released { "done" } else { "failed" };
        self.metrics.releases.with_label_values(&[result]).inc();
        if release.held_until.take().is_some_and(|until| until < Instant::now() || !released) {
            self.invariants.violated(Invariant::NothingHeldTooLong, &release.id, result);
        }
        if !released {
            self.failed.set(self.failed.get() + 1);
            log::warn!("release failed everywhere request={}", release.id.0);
        }
    }

    /// Asks one engine after the other until one lets go of what is held for a request; whether one did.
    async fn try_everywhere(&self, id: &RequestId) -> bool {
        for endpoint in self.in_order_of_trust() {
            let call = self.engines.release(endpoint.clone(), id.clone());
            match tokio::time::timeout(self.patience, call).await {
                Ok(Ok(())) => return true,
                Ok(Err(error)) => log::debug!("release request={} at={endpoint} {error}", id.0),
                Err(_) => log::debug!("release request={} at={endpoint} no answer in time", id.0),
            }
        }
        false
    }
}

/// Counts a release for as long as it is on its way, also where it is ended before its time.
struct Pending(Rc<Cell<usize>>);

impl Pending {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<E: Engines> Driver<E> {
    /// Lets go of what is held, at the end of a turn, or before the request is sent again. While a read is out the call
    /// is left out: it could take that one's state away. What an attempt at a writer waits for stays.
    pub(super) fn release(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.reached && !open.streamed) else { return };
        if !open.answered && open.has_read_out() {
            return;
        }
        let late = open.answered && open.broken_read;
        if late && open.release_waits.replace(true) {
            return;
        }
        let delay = if late { self.tuning.release_delay } else { Duration::ZERO };
        log::debug!("release request={} answered={} out={}", id.0, open.answered, open.out);
        let (waits, held_until) = (open.release_waits.clone(), open.held_until.clone());
        let releasing = self.releases.start(Release { id, delay, waits, held_until });
        // The same call, further behind: beside an attempt that waits for the newer one alone it could overtake that.
        if let Some(earlier) = open.releasing.replace(releasing) {
            earlier.abort();
        }
    }
}
