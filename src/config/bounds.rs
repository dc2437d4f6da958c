//! What the process may hold, turned into the bounds of its parts: all of them are set here.

use serde::Deserialize;

/// Connections of operators, and those above that which are turned away.
const MANAGEMENT: (usize, usize) = (16, 8);
/// Descriptors that are neither clients' nor engines': the runtime's, the listeners, discovery's, files,
/// operators'.
const OWN_SOCKETS: usize = 24 + MANAGEMENT.0 + MANAGEMENT.1;
/// Megabytes that the program takes with nothing open.
const OWN_MB: u64 = 12;
/// Most bytes of a body, and of a request's share of what is kept in buffers.
const BODY_BYTES: usize = 256 << 10;
/// Bytes that are kept in buffers for one connection, at least and at most.
const BUFFER: (usize, usize) = (8 << 10, 64 << 10);

/// What the process may hold.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Resources {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

impl Default for Resources {
    fn default() -> Self {
        Self { memory_mb: 192, sockets: 1024 }
    }
}

/// Bounds of the parts, which together stay within what the process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients that are served. Usual clients need up to a third of the descriptors.
    pub client_connections: usize,
    /// Connections of clients above that which are told to come back.
    pub client_spare: usize,
    /// Connections of operators, and above that.
    pub management: (usize, usize),
    /// Connections to engines; an open request takes one.
    pub engine_connections: usize,
    /// Bytes that may be buffered for one connection, a head among them.
    pub buffer: usize,
    /// Bytes that are read on clients' connections ahead of the parser.
    pub ahead_bytes: usize,
    /// Requests open at a time, in one driver.
    pub requests: usize,
    /// Bytes of the bodies that are being read.
    pub reading_bytes: usize,
    /// Bytes of the bodies of open chat requests.
    pub open_bytes: usize,
    /// Bytes of the bodies of all open calls of the second front, and of the answers kept for repeats.
    pub model_bytes: usize,
    /// Most bytes of an engine's answer that is read whole.
    pub answer_bytes: usize,
}

impl From<Resources> for Bounds {
    fn from(held: Resources) -> Self {
        let sockets = held.sockets.max(64) - OWN_SOCKETS;
        let bytes = (held.memory_mb.saturating_sub(OWN_MB).max(8) as usize) << 20;
        let client_connections = sockets * 54 / 100;
        let client_spare = sockets * 4 / 100;
        let engine_connections = sockets - client_connections - client_spare;
        Self {
            client_connections,
            client_spare,
            management: MANAGEMENT,
            engine_connections,
            buffer: (bytes / 4 / sockets).clamp(BUFFER.0, BUFFER.1),
            ahead_bytes: bytes / 64,
            requests: client_connections,
            reading_bytes: (bytes / 6).max(BODY_BYTES),
            open_bytes: (bytes / 4).max(BODY_BYTES),
            model_bytes: (bytes / 10).max(BODY_BYTES),
            answer_bytes: (bytes / 16).min(4 << 20),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // Bounds that were constants let a small machine be killed for what a large one can hold.
    #[rstest]
    #[case::smallest(32, 256)]
    #[case::little_memory(32, 1024)]
    #[case::few_sockets(192, 256)]
    #[case::largest(192, 1024)]
    fn parts_stay_within_the_whole(#[case] memory_mb: u64, #[case] sockets: usize) {
        let b = Bounds::from(Resources { memory_mb, sockets });
        assert!(b.client_connections + b.client_spare + b.engine_connections + OWN_SOCKETS <= sockets);
        assert!(b.client_connections > sockets / 3 && b.engine_connections > sockets / 3);
        let bytes = b.reading_bytes + b.open_bytes + b.model_bytes + b.answer_bytes + b.ahead_bytes;
        let buffers = b.buffer * (b.client_connections + b.client_spare + b.engine_connections);
        assert!(bytes + buffers <= ((memory_mb - OWN_MB) as usize) << 20);
        assert!(b.reading_bytes >= 4 * BODY_BYTES, "a few of the longest bodies at a time");
    }
}
