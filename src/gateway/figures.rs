//! Statistics that the core collects from its start, for operators.

use std::cell::{Cell, RefCell};

/// The result of a request. A request that its client abandoned has none; only the log counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// The complete answer was served.
    Served,
    /// Refused: a retry is harmless.
    Refused,
    /// Failed, invalid according to the engine, or broken off by the gateway or the engine before the answer
    /// was complete.
    Failed,
}

/// Numbers of requests of one class, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests with a complete answer.
    pub served: u64,
    /// Refused requests.
    pub refused: u64,
    /// Failed requests.
    pub failed: u64,
}

/// A snapshot of the statistics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Numbers of requests, by class.
    pub requests_by_class: Vec<RequestCounts>,
    /// Number of requests that were accepted and have not ended.
    pub open_requests: usize,
    /// Number of engines in the roster.
    pub listed_engines: usize,
    /// Number of listed engines that an operator withholds or the decision module avoids. Such an engine
    /// gets no ordinary work.
    pub avoided_engines: usize,
}

/// The statistics while they are collected.
#[derive(Debug, Default)]
pub(super) struct LiveStatistics {
    requests_by_class: RefCell<Vec<RequestCounts>>,
    /// Number of listed engines that the decision module avoids, as of the last check.
    pub(super) avoided_engines: Cell<usize>,
}

impl LiveStatistics {
    pub(super) fn new(class_count: usize) -> Self {
        Self {
            requests_by_class: RefCell::new(vec![RequestCounts::default(); class_count]),
            avoided_engines: Cell::new(0),
        }
    }

    /// Counts the result of a request.
    pub(super) fn count_result(&self, class: usize, result: RequestResult) {
        let mut counts_by_class = self.requests_by_class.borrow_mut();
        let Some(counts) = counts_by_class.get_mut(class) else { return };
        match result {
            RequestResult::Served => counts.served += 1,
            RequestResult::Refused => counts.refused += 1,
            RequestResult::Failed => counts.failed += 1,
        }
    }

    pub(super) fn requests_by_class(&self) -> Vec<RequestCounts> {
        self.requests_by_class.borrow().clone()
    }
}
