//! Divides the resource limits of the process into limits for its parts. All resource limits are set here.

use crate::memory::MemoryLimits;
use serde::Deserialize;

/// Maximum number of operator connections that are served, and of further ones that get an error response.
const MANAGEMENT_CONNECTIONS: (usize, usize) = (16, 8);
/// Number of file descriptors for other uses than client and engine connections: the runtime, the listeners,
/// discovery, files and operators.
const RESERVED_DESCRIPTORS: usize = 24 + MANAGEMENT_CONNECTIONS.0 + MANAGEMENT_CONNECTIONS.1;
/// Memory that the program uses without open connections or requests, in megabytes.
const BASE_MEMORY_MB: u64 = 12;
/// Maximum size of a request body, and minimum of the limits on the bytes of several bodies.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Minimum and maximum number of bytes buffered for one connection.
const BUFFER_BYTES_RANGE: (usize, usize) = (8 << 10, 16 << 10);
/// Memory of a connection besides the bytes that are buffered for it: its state, and its buffer for heads.
const CONNECTION_STATE_BYTES: usize = 8 << 10;
/// Memory of an open request besides its body and what is buffered of its stream.
const REQUEST_STATE_BYTES: usize = 4 << 10;
/// What is buffered of a stream, as a multiple of the bytes buffered for a connection: two for an incomplete event,
/// and up to four for the events that wait for the client.
const STREAM_BUFFERS: usize = 6;

/// Limits on the resources of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Resources {
    /// Maximum memory, in megabytes.
    pub memory_mb: u64,
    /// Maximum number of file descriptors.
    pub sockets: usize,
}

impl Default for Resources {
    fn default() -> Self {
        Self { memory_mb: 192, sockets: 1024 }
    }
}

/// Limits of the parts, which together stay within the limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of client connections. Typical clients need up to a third of the descriptors.
    pub client_connections: usize,
    /// Maximum number of further client connections, which are asked to retry later.
    pub extra_client_connections: usize,
    /// Maximum number of operator connections, and of further ones that get an error response.
    pub management_connections: (usize, usize),
    /// Maximum number of connections to engines. An open request uses one.
    pub engine_connections: usize,
    /// Maximum number of bytes buffered for one connection, including a message head.
    pub connection_buffer_bytes: usize,
    /// Memory that is reserved for an open connection.
    pub connection_bytes: usize,
    /// Memory that is reserved for an open request in addition to its body.
    pub request_bytes: usize,
    /// Limits on the memory that connections, requests and answers hold together.
    pub memory: MemoryLimits,
    /// Maximum number of open requests in one driver.
    pub requests: usize,
    /// Maximum number of bytes in the bodies of all open chat requests.
    pub open_chat_bytes: usize,
    /// Maximum number of bytes in the bodies of all open embeddings and rerank calls and in the answers kept
    /// for repeats.
    pub inference_bytes: usize,
    /// Maximum size of an engine's answer that is buffered completely, in bytes.
    pub max_answer_bytes: usize,
}

impl From<Resources> for Bounds {
    fn from(resources: Resources) -> Self {
        let sockets = resources.sockets.max(64) - RESERVED_DESCRIPTORS;
        let bytes = (resources.memory_mb.saturating_sub(BASE_MEMORY_MB).max(8) as usize) << 20;
        let client_connections = sockets * 54 / 100;
        let extra_client_connections = sockets * 4 / 100;
        let engine_connections = sockets - client_connections - extra_client_connections;
        let connection_buffer_bytes = (bytes / 4 / sockets).clamp(BUFFER_BYTES_RANGE.0, BUFFER_BYTES_RANGE.1);
        // The buffers of a parser and of a stream grow by doubling.
        let connection_bytes = CONNECTION_STATE_BYTES + 2 * connection_buffer_bytes;
        let uncharged_connections =
            extra_client_connections + MANAGEMENT_CONNECTIONS.0 + MANAGEMENT_CONNECTIONS.1;
        let memory = MemoryLimits {
            total_bytes: bytes.saturating_sub(uncharged_connections * connection_bytes).max(bytes / 2),
            read_ahead_bytes: bytes / 64,
            read_ahead_bytes_per_connection: bytes / 128,
            incoming_body_bytes: (bytes / 8).max(MAX_BODY_BYTES),
            answer_bytes: bytes / 8,
        };
        Self {
            client_connections,
            extra_client_connections,
            management_connections: MANAGEMENT_CONNECTIONS,
            engine_connections,
            connection_buffer_bytes,
            connection_bytes,
            request_bytes: REQUEST_STATE_BYTES + STREAM_BUFFERS * connection_buffer_bytes,
            memory,
            requests: client_connections,
            open_chat_bytes: (bytes / 4).max(MAX_BODY_BYTES),
            inference_bytes: (bytes / 10).max(MAX_BODY_BYTES),
            max_answer_bytes: (bytes / 16).min(4 << 20),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // Constant limits suited to a large machine got the process killed on a machine with less memory.
    #[rstest]
    #[case::smallest(32, 256)]
    #[case::little_memory(32, 1024)]
    #[case::few_sockets(192, 256)]
    #[case::largest(192, 1024)]
    fn limits_of_the_parts_stay_within_the_limits_of_the_process(
        #[case] memory_mb: u64,
        #[case] sockets: usize,
    ) {
        let bounds = Bounds::from(Resources { memory_mb, sockets });
        assert!(
            bounds.client_connections
                + bounds.extra_client_connections
                + bounds.engine_connections
                + RESERVED_DESCRIPTORS
                <= sockets
        );
        assert!(bounds.client_connections > sockets / 3 && bounds.engine_connections > sockets / 3);
        let bytes = bounds.memory.incoming_body_bytes
            + bounds.open_chat_bytes
            + bounds.inference_bytes
            + bounds.memory.answer_bytes
            + bounds.memory.read_ahead_bytes;
        let buffers = bounds.connection_buffer_bytes
            * (bounds.client_connections + bounds.extra_client_connections + bounds.engine_connections);
        assert!(bytes + buffers <= ((memory_mb - BASE_MEMORY_MB) as usize) << 20);
        assert!(
            bounds.memory.incoming_body_bytes >= 4 * MAX_BODY_BYTES,
            "at least four of the largest bodies can be read at a time"
        );
        let uncharged = bounds.extra_client_connections
            + bounds.management_connections.0
            + bounds.management_connections.1;
        assert!(
            bounds.memory.total_bytes + uncharged * bounds.connection_bytes
                <= ((memory_mb - BASE_MEMORY_MB) as usize) << 20,
            "all reservations, and the connections without one, stay within the limit"
        );
        assert!(
            bounds.memory.answer_bytes >= bounds.max_answer_bytes + bounds.inference_bytes / 2,
            "the longest answer can be read whatever is retained for repeats"
        );
    }
}
