//! Last stage: each request's one final answer, and the counts.

use super::figures::{Counter, Fate};
use super::intake::Caller;
use super::relay::End;
use super::{Answer, EventStream};
use crate::interface::RequestId;
use std::cell::RefCell;
use std::rc::Rc;

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
}

/// Gives the answers and counts them, for the log and for operators.
pub(super) struct Accounting {
    /// The driver's name in the log.
    name: Rc<str>,
    counts: RefCell<Counts>,
    counter: Rc<Counter>,
}

impl Accounting {
    pub(super) fn new(name: &str, counter: Rc<Counter>) -> Self {
        Self { name: name.into(), counts: RefCell::default(), counter }
    }

    /// Answers all who wait. Only the first can have a running answer.
    pub(super) fn answer<S: EventStream>(&self, class: usize, callers: Vec<Caller<S>>, answer: Answer<S>) {
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

    /// Writes the counts to the log and begins anew.
    pub(super) fn report(&self, open: usize, unreleased: u64) {
        let c = std::mem::take(&mut *self.counts.borrow_mut());
        log::info!(
            "counts driver={} open={open} served={} refused={} failed={} faulty={} abandoned={} broken={} handed_over={} unreleased={unreleased}",
            self.name,
            c.served,
            c.refused,
            c.failed,
            c.faulty,
            c.abandoned,
            c.broken,
            c.handed_over
        );
    }
}
