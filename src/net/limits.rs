//! Limits on the connections of a listener.

use std::time::Duration;

/// Limits on client connections.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Maximum number of connections that are served; a request
    /// on a further one is refused and its connection closed.
    pub connections: usize,
    /// Maximum number of connections beyond `connections`; any more are closed without a response.
    pub extra_connections: usize,
    /// Maximum size of a request head, and of the read buffer of a connection, in bytes.
    pub buffer_bytes: usize,
    /// Memory that is reserved for a connection while it is open, in bytes.
    pub connection_bytes: usize,
    /// Maximum time without data before the first request or within a request.
    pub stall_timeout: Duration,
    /// Maximum time in which a request head must arrive.
    pub head_timeout: Duration,
    /// Maximum idle time between requests while no connection must be closed to make room.
    pub idle_timeout: Duration,
    /// Minimum idle time before a connection is closed to make room, unless the limit is reached.
    pub min_idle: Duration,
}
