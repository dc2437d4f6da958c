//! Last stage: sends the final answer of each request to its callers and counts the answers.

use super::figures::{LiveStatistics, RequestResult};
use super::intake::Caller;
use super::relay::RelayEnd;
use super::{Answer, EventStream};
use crate::interface::RequestId;
use std::cell::RefCell;
use std::rc::Rc;

/// Numbers of answers since the counts were last logged.
#[derive(Debug, Default)]
struct AnswerCounts {
    served: u64,
    refused: u64,
    failed: u64,
    invalid_requests: u64,
    abandoned: u64,
    broken: u64,
    handed_off: u64,
}

/// Sends the answers and counts them for the log and for operators.
pub(super) struct Accounting {
    /// Name of the driver in the log.
    name: Rc<str>,
    counts: RefCell<AnswerCounts>,
    statistics: Rc<LiveStatistics>,
}

impl Accounting {
    pub(super) fn new(name: &str, statistics: Rc<LiveStatistics>) -> Self {
        Self { name: name.into(), counts: RefCell::default(), statistics }
    }

    /// Sends the answer to all waiting callers. Only the first caller can receive a streamed answer.
    pub(super) fn send_answer<S: EventStream>(
        &self,
        class: usize,
        callers: Vec<Caller<S>>,
        answer: Answer<S>,
    ) {
        let mut counts = self.counts.borrow_mut();
        let counted_as = match &answer {
            // A streamed answer is counted when it has ended.
            Answer::Events(_) => None,
            Answer::Complete(_) => Some((&mut counts.served, RequestResult::Served)),
            Answer::InvalidRequest(_) => Some((&mut counts.invalid_requests, RequestResult::Failed)),
            Answer::Refused { .. } => Some((&mut counts.refused, RequestResult::Refused)),
            Answer::Failed { .. } => Some((&mut counts.failed, RequestResult::Failed)),
        };
        if let Some((count, result)) = counted_as {
            *count += 1;
            self.statistics.count_result(class, result);
        }
        drop(counts);
        let mut callers = callers.into_iter();
        let first = callers.next();
        callers.for_each(|caller| caller.respond(answer.copy_for_repeat()));
        if let Some(first) = first {
            first.respond(answer);
        }
    }

    /// Counts a streamed answer that has ended.
    pub(super) fn record_relay_end(&self, class: usize, id: &RequestId, end: &RelayEnd) {
        let mut counts = self.counts.borrow_mut();
        let (count, result) = match end {
            RelayEnd::Complete => (&mut counts.served, Some(RequestResult::Served)),
            RelayEnd::ClientGone => (&mut counts.abandoned, None),
            RelayEnd::HandedOff => (&mut counts.handed_off, Some(RequestResult::Failed)),
            RelayEnd::Broken(error) => {
                log::warn!("stream broken request={} {error}", id.0);
                (&mut counts.broken, Some(RequestResult::Failed))
            }
        };
        *count += 1;
        if let Some(result) = result {
            self.statistics.count_result(class, result);
        }
    }

    /// Counts a request whose client disconnected before the answer.
    pub(super) fn record_abandoned(&self) {
        self.counts.borrow_mut().abandoned += 1;
    }

    /// Writes the counts to the log and resets them.
    pub(super) fn log_counts(&self, open: usize, failed_releases: u64) {
        let counts = std::mem::take(&mut *self.counts.borrow_mut());
        log::info!(
            "counts driver={} open={open} served={} refused={} failed={} faulty={} abandoned={} broken={} handed_over={} unreleased={failed_releases}",
            self.name,
            counts.served,
            counts.refused,
            counts.failed,
            counts.invalid_requests,
            counts.abandoned,
            counts.broken,
            counts.handed_off
        );
    }
}
