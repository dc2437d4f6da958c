//! All clients' connections: how many there may be, and which of the quiet ones are closed, or make room for new ones.

use super::connection::Connection;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Bounds on clients' connections.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Connections served; those above are told to come back and closed.
    pub connections: usize,
    /// Connections above that, at most; what comes then is closed without a word.
    pub spare: usize,
    /// Most bytes of a head, and of what is buffered for a connection.
    pub buffer: usize,
    /// Most bytes that are read ahead of the parser, on all connections together.
    pub ahead: usize,
    /// How long a connection may stand quiet before its first request or within one.
    pub stall: Duration,
    /// How long a head may take to come in.
    pub head: Duration,
    /// How long a connection may stand idle between requests while there is room.
    pub idle: Duration,
    /// How long it may stand so in any case, unless nothing else gives room.
    pub idle_least: Duration,
}

/// Part of the connections from which idle ones make room for new ones.
const CROWDED: f64 = 0.75;
/// A connection younger than this may have its first request under way.
const YOUNG: Duration = Duration::from_millis(50);

/// All connections of clients.
pub(super) struct Connections {
    limits: ServeLimits,
    all: RefCell<BTreeMap<u64, Rc<Connection>>>,
    read_ahead_budget: Rc<Cell<usize>>,
    next: Cell<u64>,
}

/// What becomes of a new connection.
pub(super) enum Room {
    /// It is served.
    Served(Registration),
    /// It is told that there is no room.
    OverLimit(Registration),
    /// There is not even room to tell it.
    None,
}

/// A connection's place among the others, for as long as it lives.
pub(super) struct Registration {
    connections: Rc<Connections>,
    pub(super) number: u64,
    pub(super) connection: Rc<Connection>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.all.borrow_mut().remove(&self.number);
    }
}

impl Connections {
    pub(super) fn new(limits: ServeLimits) -> Rc<Self> {
        let read_ahead_budget = Rc::new(Cell::new(limits.ahead));
        Rc::new(Self { limits, all: RefCell::default(), read_ahead_budget, next: Cell::new(0) })
    }

    pub(super) fn open(&self) -> usize {
        self.all.borrow().len()
    }

    /// Takes a new connection in; idle ones make room for it.
    pub(super) async fn take(self: &Rc<Self>, stream: TcpStream) -> Room {
        let full = self.make_room();
        let most = self.limits.connections + self.limits.spare;
        if self.open() >= most {
            // What was just asked to close does so in its own task.
            tokio::task::yield_now().await;
        }
        if self.open() >= most {
            return Room::None;
        }
        let (number, connection) =
            (self.next.get(), Rc::new(Connection::new(Rc::new(stream), self.read_ahead_budget.clone())));
        self.next.set(number + 1);
        self.all.borrow_mut().insert(number, connection.clone());
        let registration = Registration { connections: self.clone(), number, connection };
        if full { Room::OverLimit(registration) } else { Room::Served(registration) }
    }

    /// Has the connection that is missed least closed where room is short. Whether there is none left.
    fn make_room(&self) -> bool {
        let all = self.all.borrow();
        let staying = all.values().filter(|s| !s.is_closing()).count();
        let full = staying >= self.limits.connections;
        if (staying as f64) < self.limits.connections as f64 * CROWDED {
            return false;
        }
        let idle_time = all.values().filter_map(|s| Some((s.idle_time()?, s)));
        let open = idle_time.filter(|(idle_time, s)| {
            let old = *idle_time >= self.limits.idle_least;
            old || full && (*idle_time >= YOUNG || s.has_served_request()) && !s.in_request()
        });
        // First what has had its time, then what never asked anything, then the longest idle.
        let least = open.max_by_key(|(idle_time, s)| {
            (*idle_time >= self.limits.idle_least, !s.has_served_request(), *idle_time)
        });
        match least {
            Some((_, connection)) => {
                connection.close_for_new_connection();
                false
            }
            None => full,
        }
    }

    /// Has all closed on which no request is being answered.
    pub(super) fn close_all(&self) {
        for connection in self.all.borrow().values().filter(|connection| !connection.is_answering()) {
            connection.request_close();
        }
    }

    /// Has those closed that were quiet for too long.
    pub(super) fn close_overdue(&self) {
        for connection in self.all.borrow().values().filter(|s| s.is_overdue(&self.limits)) {
            connection.request_close();
        }
    }
}
