//! The handle through which fronts and the daemon use a running driver.

use super::admission::{Admission, Admitted};
use super::driver::Input;
use super::figures::{LiveStatistics, RequestResult, Statistics};
use super::intake::{AcceptedRequest, Caller, Rejected, Submission, Ticket};
use super::invariants::Invariants;
use super::metrics::Metrics;
use super::relay::{ShutdownSchedule, ShutdownState};
use super::roster::Roster;
use super::{Change, Engines};
use crate::interface::{Micros, Role, Settings};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// The current settings. An open request keeps the settings that were current when it arrived.
pub(super) type CurrentSettings = Rc<RefCell<Rc<Settings>>>;

/// A handle to a running driver.
pub struct Gateway<E: Engines> {
    pub(super) inbox: mpsc::UnboundedSender<Input<E>>,
    pub(super) admission: Rc<RefCell<Admission<E::Events>>>,
    pub(super) roster: Rc<Roster>,
    pub(super) roles: Rc<[Role]>,
    pub(super) next_caller_number: Rc<Cell<u64>>,
    pub(super) shutdown: ShutdownState,
    pub(super) statistics: Rc<LiveStatistics>,
    pub(super) settings: CurrentSettings,
    pub(super) invariants: Invariants,
    pub(super) metrics: Rc<Metrics>,
    /// Number of releases in progress.
    pub(super) pending_releases: Rc<Cell<usize>>,
}

impl<E: Engines> Clone for Gateway<E> {
    fn clone(&self) -> Self {
        Self {
            inbox: self.inbox.clone(),
            admission: self.admission.clone(),
            roster: self.roster.clone(),
            roles: self.roles.clone(),
            next_caller_number: self.next_caller_number.clone(),
            shutdown: self.shutdown.clone(),
            statistics: self.statistics.clone(),
            settings: self.settings.clone(),
            invariants: self.invariants.clone(),
            metrics: self.metrics.clone(),
            pending_releases: self.pending_releases.clone(),
        }
    }
}

impl<E: Engines> Gateway<E> {
    /// Submits a request. The returned ticket is used to wait for the answer.
    pub fn submit(&self, submission: Submission<E::Job>) -> Result<Ticket<E>, Rejected> {
        let Submission { mut arrival, job, size, key } = submission;
        if let Some(schedule) = self.shutdown.get() {
            if schedule.accept_until.is_some_and(|until| until <= Instant::now()) {
                return Err(Rejected::Stopped);
            }
            let remaining = schedule.answer_deadline.saturating_duration_since(Instant::now());
            arrival.expires_in = arrival.expires_in.min(remaining.as_micros() as Micros);
        }
        let id = arrival.id.clone();
        let (answer, answer_receiver) = oneshot::channel();
        let number = self.next_caller_number.get();
        self.next_caller_number.set(number + 1);
        let admitted = self.admission.borrow_mut().admit(&id, size, key, Caller { number, answer })?;
        let awaited_id = match admitted {
            Admitted::New => {
                let input = Input::RequestAccepted(AcceptedRequest { arrival, job: Rc::new(job) });
                self.inbox.send(input).map_err(|_| Rejected::Stopped)?;
                id
            }
            Admitted::Joined(id) => id,
            Admitted::Answered => id,
        };
        Ok(Ticket::new(awaited_id, number, answer_receiver, self.inbox.clone()))
    }

    /// Starts the shutdown. Requests that arrive from now on are answered by the deadline of the schedule, or
    /// rejected once the schedule accepts no more. Streamed answers are handed off if the schedule says so.
    pub fn shut_down(&self, schedule: ShutdownSchedule) {
        self.shutdown.set(Some(schedule));
        // The send fails only if the driver has stopped, and then no request is open.
        let _ = self.inbox.send(Input::ShutdownRequested(schedule));
    }

    /// Passes a change of the settings, the roster or the set of withheld engines to the driver.
    pub fn apply_change(&self, change: Change) -> Result<(), Rejected> {
        self.inbox.send(Input::Changed(change)).map_err(|_| Rejected::Stopped)
    }

    /// Returns true if a ready engine is listed for each role that a request needs.
    pub fn can_serve(&self) -> bool {
        let ready_kinds = self.roster.ready_kinds();
        let role_is_ready = |role: Role| ready_kinds.iter().any(|kind| self.roles.get(*kind) == Some(&role));
        role_is_ready(Role::Both) || role_is_ready(Role::Read) && role_is_ready(Role::Write)
    }

    /// Returns true if an engine of this name is listed or withheld, or is among those removed last.
    pub fn knows_engine(&self, name: &str) -> bool {
        self.roster.knows_engine(name)
    }

    /// Counts a request that a front answered without submitting it.
    pub fn count_result(&self, class: usize, result: RequestResult) {
        self.statistics.count_result(class, result);
    }

    /// Returns the current statistics.
    pub fn statistics(&self) -> Statistics {
        let (listed_engines, withheld) = self.roster.count_listed_and_withheld();
        let avoided_engines = (withheld + self.statistics.avoided_engines.get()).min(listed_engines);
        Statistics {
            requests_by_class: self.statistics.requests_by_class(),
            open_requests: self.open_request_count(),
            listed_engines,
            avoided_engines,
        }
    }

    /// Returns the settings that apply to requests arriving now.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Returns the invariant checks.
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// Returns the counters for operators.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns true while a release is in progress.
    pub fn has_pending_releases(&self) -> bool {
        self.pending_releases.get() > 0
    }

    /// Returns the number of open requests.
    pub fn open_request_count(&self) -> usize {
        self.admission.borrow().open_request_count()
    }
}
