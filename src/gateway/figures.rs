//! What the core counts from its start, for those who run the gateway.

use std::cell::{Cell, RefCell};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Served to its end.
    Served,
    /// Refused: nothing has run that must not run twice.
    Refused,
    /// Failed, or broken off after it had begun.
    Failed,
}

/// Requests of one class by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Handled {
    /// Served to their end.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
}

/// The figures as they stand.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// By class.
    pub handled: Vec<Handled>,
    /// Requests that were taken and have not ended.
    pub open: usize,
    /// Engines in the list.
    pub listed: usize,
    /// Those among them that are avoided now, by an operator's word or by the module's choice.
    pub avoided: usize,
}

/// Counts as things happen.
#[derive(Debug, Default)]
pub(super) struct Counter {
    handled: RefCell<Vec<Handled>>,
    /// Listed engines that the module avoids, as of its last look.
    pub(super) avoided: Cell<usize>,
}

impl Counter {
    pub(super) fn new(classes: usize) -> Self {
        Self { handled: RefCell::new(vec![Handled::default(); classes]), avoided: Cell::new(0) }
    }

    pub(super) fn count(&self, class: usize, fate: Fate) {
        let mut handled = self.handled.borrow_mut();
        let Some(handled) = handled.get_mut(class) else { return };
        match fate {
            Fate::Served => handled.served += 1,
            Fate::Refused => handled.refused += 1,
            Fate::Failed => handled.failed += 1,
        }
    }

    pub(super) fn handled(&self) -> Vec<Handled> {
        self.handled.borrow().clone()
    }
}
