//! Decides whether a client connection may be closed, and records why a connection was closed.

use super::connection::Connection;
use super::discard::DISCARD_RETRY_DELAY;
use super::transport::{end_writing, must_retry};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Maximum time a connection that is shut down may take to write out its remaining data.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);
/// The response to a request that was received on a connection that closes before the request could be served.
const REFUSAL_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nContent-Length: 0\r\n\r\n";
/// Number of such responses that are written at a time.
const REFUSALS_PER_WRITE: usize = 64;
/// Number of bytes that are discarded behind the last response without a limit on their rate: the rest of a request
/// that was refused early, so that its connection is free for another soon.
const UNLIMITED_DISCARD_BYTES: usize = 320 << 10;
/// Maximum time in which data that a client still sends after its response are read and discarded.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The effect of closing a connection in its current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseEffect {
    /// A request is being answered, or received data are unread: the connection stays open.
    StaysOpen,
    /// A request has arrived in part: its client gets a timeout response.
    InterruptsRequest,
    /// The connection is idle between two requests, or none ever arrived.
    IsIdle,
}

impl CloseEffect {
    /// Returns the effect that closing the connection would have now.
    pub(super) fn of(connection: &Connection) -> Self {
        if connection.is_answering() {
            // The request was read in the same event loop turn in which the close was requested.
            Self::StaysOpen
        } else if connection.in_request() {
            Self::InterruptsRequest
        } else if connection.has_unread_input() {
            // A request, or the close of the client, arrived at the same moment as the close was requested.
            Self::StaysOpen
        } else {
            Self::IsIdle
        }
    }
}

/// The reason for which a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or reset the connection, or violated the protocol.
    Client,
    /// The last response on it was sent, either at the request of the
    /// client or because the gateway is draining or shutting down.
    Answered,
    /// A request on it did not arrive completely in time.
    RequestTimeout,
    /// The connection was idle for too long.
    Idle,
    /// The connection was closed to make room for another.
    MadeRoom,
    /// The connection was idle when the gateway started to drain or shut down.
    ShutDownWhileIdle,
}

impl CloseReason {
    /// Returns the name used in the log and in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Answered => "answered",
            Self::RequestTimeout => "request_timeout",
            Self::Idle => "idle",
            Self::MadeRoom => "made_room",
            Self::ShutDownWhileIdle => "sent_away",
        }
    }

    /// Returns true if the connection was idle between two requests: data that arrive then were not read.
    pub(super) fn was_idle(self) -> bool {
        matches!(self, Self::Idle | Self::MadeRoom | Self::ShutDownWhileIdle)
    }
}

/// A connection that was closed.
#[derive(Clone, Debug)]
pub struct ClosedConnection {
    /// The number of the connection at its listener.
    pub number: u64,
    /// The reason for which it was closed.
    pub reason: CloseReason,
    /// The id of a request that was read on it and got no response
    /// although its client still waits. This must not happen.
    pub unanswered_request_id: Option<Rc<str>>,
}

/// Finishes an idle connection that was told to shut down.
pub(super) async fn finish_shutdown<T, E>(served: impl Future<Output = Result<T, E>>) -> Result<(), E> {
    match tokio::time::timeout(SHUTDOWN_TIMEOUT, served).await {
        Ok(Err(error)) => Err(error),
        Ok(Ok(_)) | Err(_) => Ok(()),
    }
}

/// Refuses the requests that were received behind the last response, so that each has an answer. None of them was
/// passed on. Returns the number of these requests.
pub(super) async fn refuse_waiting_requests(connection: &Connection) -> usize {
    let count = connection.take_waiting_requests();
    let refuse = async {
        let batch = REFUSAL_RESPONSE.repeat(count.min(REFUSALS_PER_WRITE));
        let mut remaining = count;
        while remaining > 0 {
            let written = remaining.min(REFUSALS_PER_WRITE);
            if write_all(&connection.stream, &batch[..written * REFUSAL_RESPONSE.len()]).await.is_err() {
                return;
            }
            remaining -= written;
            tokio::task::yield_now().await;
        }
    };
    // A client that does not read its responses is not waited for.
    let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, refuse).await;
    count
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if must_retry(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Shuts down the sending side, then reads and discards for a while what the client still sends, so that a
/// response sent before the end of its request reaches the client. Closing a socket with unread bytes resets
/// the connection, and the response would be lost.
pub(super) async fn linger(connection: &Connection, buffer_bytes: usize) {
    let (stream, budget) = (&connection.stream, connection.discard_budget());
    if end_writing(stream).is_err() {
        return;
    }
    let mut discarded = vec![0; buffer_bytes];
    let mut discarded_bytes = 0;
    let drain = async {
        while stream.readable().await.is_ok() {
            if discarded_bytes >= UNLIMITED_DISCARD_BYTES && !budget.is_available(Instant::now()) {
                tokio::time::sleep(DISCARD_RETRY_DELAY).await;
                continue;
            }
            match stream.try_read(&mut discarded) {
                Ok(0) => return,
                Ok(count) => {
                    if discarded_bytes >= UNLIMITED_DISCARD_BYTES {
                        budget.record(count);
                        tokio::task::yield_now().await;
                    }
                    discarded_bytes += count;
                }
                Err(error) if must_retry(&error) => {}
                Err(_) => return,
            }
        }
    };
    // A client that sends for longer has received its response by now.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drain).await;
}

#[cfg(test)]
mod tests {
    use super::super::discard::DiscardBudget;
    use super::*;
    use crate::memory::{Memory, MemoryLimits};
    use std::rc::Rc;
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;

    // While some clients sent at full speed, connections whose requests had been refused early lingered until their
    // timeout. They held all places, and new clients were closed without an answer.
    #[tokio::test]
    async fn rest_of_a_refused_request_is_discarded_without_a_budget() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let mut client = TcpStream::connect(address).await.expect("the listener is open");
        let (stream, _) = listener.accept().await.expect("the client is accepted");
        let budget = Rc::new(DiscardBudget::new());
        budget.record(usize::MAX);
        let memory = Memory::new(MemoryLimits::UNLIMITED);
        let connection = Connection::new(Rc::new(stream), memory, budget);
        let send_body = async move {
            client.write_all(&[b'x'; 250 << 10]).await.expect("the rest of the body is read");
            client.shutdown().await.expect("the sending direction is closed");
        };
        let start = Instant::now();
        tokio::join!(linger(&connection, 8 << 10), send_body);
        assert!(start.elapsed() < LINGER_TIMEOUT / 2, "{:?}", start.elapsed());
    }
}
