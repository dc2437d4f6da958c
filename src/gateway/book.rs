//! Last stage: each request's one final answer, what is held for it let go, and the counts.

use super::figures::{Counter, Fate};
use super::relay::End;
use super::roster::Roster;
use super::take_in::Caller;
use super::{Answer, Engines};
use crate::interface::{Micros, RequestId, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Answers given since the last line of the log.
#[derive(Debug, Default)]
struct Counts {
    served: u64,
    refused: u64,
    failed: u64,
    faulty: u64,
    abandoned: u64,
    broken: u64,
    handed_over: u64,
    unreleased: u64,
}

/// Gives the answers and lets go of what is held.
pub(super) struct Book<E: Engines> {
    engines: Rc<E>,
    roster: Rc<Roster>,
    /// The driver's name in the log.
    name: Rc<str>,
    /// How long one engine may take to accept a release before another is asked.
    patience: Duration,
    /// When each engine last answered: a release goes first to the one surest to run.
    heard: Rc<RefCell<HashMap<ServerId, Micros>>>,
    counts: Rc<RefCell<Counts>>,
    counter: Rc<Counter>,
}

impl<E: Engines> Book<E> {
    pub(super) fn new(
        name: &str,
        engines: Rc<E>,
        roster: Rc<Roster>,
        patience: Duration,
        counter: Rc<Counter>,
    ) -> Self {
        let (heard, counts) = (Rc::default(), Rc::default());
        Self { name: name.into(), engines, roster, patience, heard, counts, counter }
    }

    pub(super) fn hear(&self, server: ServerId, now: Micros) {
        self.heard.borrow_mut().insert(server, now);
    }

    /// Forgets the engines that are no longer listed: new ones come for as long as the gateway runs.
    pub(super) fn forget_unlisted(&self) {
        let roster = &self.roster;
        self.heard.borrow_mut().retain(|server, _| roster.entry(*server).is_some());
    }

    /// Answers all who wait. Only the first can have a running answer.
    pub(super) fn answer(&self, class: usize, callers: Vec<Caller<E::Events>>, answer: Answer<E::Events>) {
        let mut counts = self.counts.borrow_mut();
        let noted = match &answer {
            // It is noted when it has ended.
            Answer::Events(_) => None,
            Answer::Whole(_) => Some((&mut counts.served, Fate::Served)),
            Answer::Faulty(_) => Some((&mut counts.faulty, Fate::Failed)),
            Answer::Refused { .. } => Some((&mut counts.refused, Fate::Refused)),
            Answer::Failed { .. } => Some((&mut counts.failed, Fate::Failed)),
        };
        if let Some((count, fate)) = noted {
            *count += 1;
            self.counter.count(class, fate);
        }
        drop(counts);
        let mut callers = callers.into_iter();
        let first = callers.next();
        callers.for_each(|caller| caller.take(answer.again()));
        if let Some(first) = first {
            first.take(answer);
        }
    }

    /// A running answer has ended.
    pub(super) fn ended(&self, class: usize, id: &RequestId, end: &End) {
        let mut counts = self.counts.borrow_mut();
        let (count, fate) = match end {
            End::Whole => (&mut counts.served, Some(Fate::Served)),
            End::ClientGone => (&mut counts.abandoned, None),
            End::HandedOver => (&mut counts.handed_over, Some(Fate::Failed)),
            End::Broke(error) => {
                log::warn!("stream broken request={} {error}", id.0);
                (&mut counts.broken, Some(Fate::Failed))
            }
        };
        *count += 1;
        if let Some(fate) = fate {
            self.counter.count(class, fate);
        }
    }

    pub(super) fn abandoned(&self) {
        self.counts.borrow_mut().abandoned += 1;
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

    /// Lets go of what is held for the request, at whichever engine takes the call. Whoever writes an attempt of
    /// the request waits for the task, or ends it: what that attempt leaves must stay.
    pub(super) fn release(&self, id: RequestId, delay: Duration, waits: Rc<Cell<bool>>) -> JoinHandle<()> {
        let engines = self.in_order_of_trust();
        let (engine, patience, counts) = (self.engines.clone(), self.patience, self.counts.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            waits.set(false);
            for endpoint in engines {
                match tokio::time::timeout(patience, engine.release(endpoint.clone(), id.clone())).await {
                    Ok(Ok(())) => return,
                    Ok(Err(error)) => log::debug!("release request={} at={endpoint} {error}", id.0),
                    Err(_) => log::debug!("release request={} at={endpoint} no answer in time", id.0),
                }
            }
            counts.borrow_mut().unreleased += 1;
            log::warn!("release failed everywhere request={}", id.0);
        })
    }

    /// Writes the counts to the log and begins anew.
    pub(super) fn report(&self, open: usize) {
        let c = std::mem::take(&mut *self.counts.borrow_mut());
        log::info!(
            "counts driver={} open={open} served={} refused={} failed={} faulty={} abandoned={} broken={} handed_over={} unreleased={}",
            self.name,
            c.served,
            c.refused,
            c.failed,
            c.faulty,
            c.abandoned,
            c.broken,
            c.handed_over,
            c.unreleased
        );
    }
}
