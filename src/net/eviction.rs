//! All client connections: their maximum number, and which idle ones are closed to make room for new ones.

use super::connection::Connection;
use super::discard::DiscardBudget;
use super::limits::ServeLimits;
use crate::memory::{Memory, MemoryUse, Reservation};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Once this fraction of the maximum number of connections is open, idle ones are closed to make room.
const CROWDED_FRACTION: f64 = 0.75;
/// Minimum idle time before a connection without a request is closed
/// to make room: until then its first request may be on its way.
const MIN_IDLE_WITHOUT_REQUEST: Duration = Duration::from_millis(50);

/// Maximum time that a new connection waits for the memory of one that closes for it.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(700);

/// All client connections of one listener.
pub(super) struct Connections {
    limits: ServeLimits,
    by_number: RefCell<BTreeMap<u64, Rc<Connection>>>,
    memory: Arc<Memory>,
    discard_budget: Rc<DiscardBudget>,
    /// Number of open connections whose request is refused; no memory is reserved for them.
    over_limit: Cell<usize>,
    next_number: Cell<u64>,
}

/// How a new connection is treated.
pub(super) enum Admission {
    /// The connection is served.
    Served(Registration),
    /// The connection is above the limit: its request is refused.
    OverLimit(Registration),
    /// The connection exceeds the limit by more than `extra_connections`: it is closed without a response.
    Closed,
}

/// The registration of an open connection, which ends when it is dropped.
pub(super) struct Registration {
    pub(super) connections: Rc<Connections>,
    pub(super) number: u64,
    pub(super) connection: Rc<Connection>,
    is_over_limit: Cell<bool>,
}

impl Registration {
    /// Records that the request on this connection is refused.
    pub(super) fn mark_over_limit(&self) {
        if !self.is_over_limit.replace(true) {
            self.connections.over_limit.set(self.connections.over_limit.get() + 1);
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        if self.is_over_limit.get() {
            self.connections.over_limit.set(self.connections.over_limit.get() - 1);
        }
        self.connections.by_number.borrow_mut().remove(&self.number);
    }
}

impl Connections {
    pub(super) fn new(limits: ServeLimits, memory: Arc<Memory>) -> Rc<Self> {
        Rc::new(Self {
            limits,
            by_number: RefCell::default(),
            memory,
            discard_budget: Rc::new(DiscardBudget::new()),
            over_limit: Cell::new(0),
            next_number: Cell::new(0),
        })
    }

    pub(super) fn open_count(&self) -> usize {
        self.by_number.borrow().len()
    }

    /// Registers a new connection and, if slots are scarce, closes an idle one for it.
    pub(super) async fn register(self: &Rc<Self>, stream: TcpStream) -> Admission {
        let over_limit = self.make_room();
        let max_open = self.limits.connections + self.limits.extra_connections;
        if self.open_count() >= max_open {
            // A connection that was just asked to close does so in its own task, which can run now.
            tokio::task::yield_now().await;
        }
        if self.open_count() >= max_open
            || over_limit && self.over_limit.get() >= self.limits.extra_connections
        {
            return Admission::Closed;
        }
        let number = self.next_number.get();
        let connection = Connection::new(Rc::new(stream), self.memory.clone(), self.discard_budget.clone());
        let connection = Rc::new(connection);
        self.next_number.set(number + 1);
        self.by_number.borrow_mut().insert(number, connection.clone());
        let is_over_limit = Cell::new(false);
        let registration = Registration { connections: self.clone(), number, connection, is_over_limit };
        if over_limit {
            registration.mark_over_limit();
            return Admission::OverLimit(registration);
        }
        Admission::Served(registration)
    }

    /// If slots are scarce, asks the connection whose loss matters least to close.
    /// Returns true if the limit is reached and no connection can be closed.
    fn make_room(&self) -> bool {
        let open = self.by_number.borrow();
        let staying = open.values().filter(|connection| !connection.is_closing()).count();
        let lacks_memory =
            self.memory.available_bytes(MemoryUse::ClientConnection) < self.limits.connection_bytes;
        let at_limit = staying >= self.limits.connections || lacks_memory;
        if !at_limit && (staying as f64) < self.limits.connections as f64 * CROWDED_FRACTION {
            return false;
        }
        let idle = open.values().filter_map(|connection| Some((connection.idle_time()?, connection)));
        let candidates = idle.filter(|(idle_time, connection)| {
            let expired = *idle_time >= self.limits.min_idle;
            expired
                || at_limit
                    && (*idle_time >= MIN_IDLE_WITHOUT_REQUEST || connection.has_received_request())
                    && !connection.in_request()
        });
        // Order of preference: expired idle time, then connections
        // that never sent a request, then the longest idle.
        let least_needed = candidates.max_by_key(|(idle_time, connection)| {
            (*idle_time >= self.limits.min_idle, !connection.has_received_request(), *idle_time)
        });
        match least_needed {
            Some((_, connection)) => {
                connection.request_close_for_new_connection();
                false
            }
            None => at_limit,
        }
    }

    /// Reserves the memory of a connection that is to be served. If it is registered in place of another, that
    /// one returns its memory as it closes. Returns `None` if the memory is not returned in time.
    pub(super) async fn reserve_memory(&self) -> Option<Reservation> {
        let reservation = self.memory.reserve(MemoryUse::ClientConnection, self.limits.connection_bytes);
        tokio::time::timeout(MAX_MEMORY_WAIT, reservation).await.ok().flatten()
    }

    /// Asks all connections on which no request is being answered to close.
    pub(super) fn close_all(&self) {
        for connection in self.by_number.borrow().values().filter(|connection| !connection.is_answering()) {
            connection.request_close();
        }
    }

    /// Asks the connections to close that have been idle for too long
    /// or whose request has stalled or takes too long to arrive.
    pub(super) fn close_overdue(&self) {
        for connection in
            self.by_number.borrow().values().filter(|connection| connection.is_overdue(&self.limits))
        {
            connection.request_close();
        }
    }
}
