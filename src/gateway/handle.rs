//! What fronts and the daemon hold of a running driver.

use super::admission::{Admission, Admitted};
use super::driver::Input;
use super::figures::{Counter, Fate, Figures};
use super::intake::{Caller, Rejected, Submission, Taken, Ticket};
use super::invariants::Invariants;
use super::metrics::Metrics;
use super::relay::{Departure, Leaving};
use super::roster::Roster;
use super::{Change, Engines};
use crate::interface::{Micros, Role, Settings};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// The settings as they are now: those of a request stay as they were when it came.
pub(super) type CurrentSettings = Rc<RefCell<Rc<Settings>>>;

/// Hands requests to a running driver.
pub struct Gateway<E: Engines> {
    pub(super) inbox: mpsc::UnboundedSender<Input<E>>,
    pub(super) admission: Rc<RefCell<Admission<E::Events>>>,
    pub(super) roster: Rc<Roster>,
    pub(super) roles: Rc<[Role]>,
    pub(super) callers: Rc<Cell<u64>>,
    pub(super) leaving: Leaving,
    pub(super) counter: Rc<Counter>,
    pub(super) settings: CurrentSettings,
    pub(super) invariants: Invariants,
    pub(super) metrics: Rc<Metrics>,
    /// How many releases are on their way.
    pub(super) releasing: Rc<Cell<usize>>,
}

impl<E: Engines> Clone for Gateway<E> {
    fn clone(&self) -> Self {
        Self {
            inbox: self.inbox.clone(),
            admission: self.admission.clone(),
            roster: self.roster.clone(),
            roles: self.roles.clone(),
            callers: self.callers.clone(),
            leaving: self.leaving.clone(),
            counter: self.counter.clone(),
            settings: self.settings.clone(),
            invariants: self.invariants.clone(),
            metrics: self.metrics.clone(),
            releasing: self.releasing.clone(),
        }
    }
}

impl<E: Engines> Gateway<E> {
    /// Takes a request; its answer is waited for on the ticket.
    pub fn submit(&self, submission: Submission<E::Job>) -> Result<Ticket<E>, Rejected> {
        let Submission { mut arrival, job, size, key } = submission;
        if let Some(departure) = self.leaving.get() {
            if departure.take_until.is_some_and(|until| until <= Instant::now()) {
                return Err(Rejected::Stopped);
            }
            let left = departure.answers_by.saturating_duration_since(Instant::now());
            arrival.expires_in = arrival.expires_in.min(left.as_micros() as Micros);
        }
        let id = arrival.id.clone();
        let (answer, ticket) = oneshot::channel();
        let number = self.callers.get();
        self.callers.set(number + 1);
        let admitted = self.admission.borrow_mut().admit(&id, size, key, Caller { number, answer })?;
        let waits_for = match admitted {
            Admitted::New => {
                let taken = Input::Taken(Taken { arrival, job: Rc::new(job) });
                self.inbox.send(taken).map_err(|_| Rejected::Stopped)?;
                id
            }
            Admitted::Joined(id) => id,
            Admitted::Answered => id,
        };
        Ok(Ticket::new(waits_for, number, ticket, self.inbox.clone()))
    }

    /// The gateway stops: what comes from now on is answered in time, and running answers are handed over.
    pub fn leave(&self, departure: Departure) {
        self.leaving.set(Some(departure));
        // A driver that has stopped has nothing open.
        let _ = self.inbox.send(Input::Leaving(departure));
    }

    /// Hands the driver news of its settings or roster.
    pub fn tell(&self, change: Change) -> Result<(), Rejected> {
        self.inbox.send(Input::Changed(change)).map_err(|_| Rejected::Stopped)
    }

    /// Whether each role that a request needs is listed as ready.
    pub fn can_serve(&self) -> bool {
        let ready = self.roster.ready_kinds();
        let has = |role: Role| ready.iter().any(|kind| self.roles.get(*kind) == Some(&role));
        has(Role::Both) || has(Role::Read) && has(Role::Write)
    }

    /// Whether an engine of that name is listed, or was.
    pub fn has_listed(&self, name: &str) -> bool {
        self.roster.has_listed(name)
    }

    /// Counts a request that a front answered by itself.
    pub fn count(&self, class: usize, fate: Fate) {
        self.counter.count(class, fate);
    }

    /// The figures as they stand.
    pub fn figures(&self) -> Figures {
        let (listed, withheld) = self.roster.count();
        let avoided = (withheld + self.counter.avoided.get()).min(listed);
        Figures { handled: self.counter.handled(), open: self.open(), listed, avoided }
    }

    /// The settings that hold for what comes now.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// The checks of what no path of a request may do.
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// Counters of why things happened.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Whether something that servers hold is still being let go.
    pub fn is_releasing(&self) -> bool {
        self.releasing.get() > 0
    }

    /// How many requests are open.
    pub fn open(&self) -> usize {
        self.admission.borrow().open()
    }
}
