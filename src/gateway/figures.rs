//! Statistics that the core collects from its start, for operators.

use std::cell::{Cell, RefCell};

/// The result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The complete answer was served.
    Served,
    /// Refused: a retry is harmless.
    Refused,
    /// Failed, or ended before the answer was complete.
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
    pub handled: Vec<RequestCounts>,
    /// Number of requests that were accepted and have not ended.
    pub open: usize,
    /// Number of engines in the roster.
    pub listed: usize,
    /// Number of listed engines that currently get no requests, because an operator withholds them or the
    /// decision module avoids them.
    pub avoided: usize,
}

/// The statistics while they are collected.
#[derive(Debug, Default)]
pub(super) struct LiveStatistics {
    handled: RefCell<Vec<RequestCounts>>,
    /// Number of listed engines that the decision module avoids, as of the last check.
    pub(super) avoided: Cell<usize>,
}

impl LiveStatistics {
    pub(super) fn new(class_count: usize) -> Self {
        Self { handled: RefCell::new(vec![RequestCounts::default(); class_count]), avoided: Cell::new(0) }
    }

    /// Counts the result of a request.
    pub(super) fn count(&self, class: usize, fate: Fate) {
        let mut classes = self.handled.borrow_mut();
        let Some(handled) = classes.get_mut(class) else { return };
        match fate {
            Fate::Served => handled.served += 1,
            Fate::Refused => handled.refused += 1,
            Fate::Failed => handled.failed += 1,
        }
    }

    pub(super) fn handled(&self) -> Vec<RequestCounts> {
        self.handled.borrow().clone()
    }
}
