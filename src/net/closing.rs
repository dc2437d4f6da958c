//! The one guard for closing a client's connection, and why one was closed.

use super::connection::Connection;
use super::transport::{end_writing, must_retry};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long a connection that was asked to close may take to write out what it has.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);
/// How long what a client still sends after its answer is read.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1500);

/// What an order to close finds a connection doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closing {
    /// A request is being answered, or something has come that was not read: it stays open.
    StaysOpen,
    /// A request has come in part: its client is told that its time is over.
    InterruptsRequest,
    /// It rests between two requests, or none ever came.
    IsIdle,
}

impl Closing {
    /// What closing the connection would do now.
    pub(super) fn of(connection: &Connection) -> Self {
        if connection.is_answering() {
            // Its request was read in the very turn in which the order came.
            Self::StaysOpen
        } else if connection.in_request() {
            Self::InterruptsRequest
        } else if connection.has_unread_input() {
            // A request or the client's own close crossed the order.
            Self::StaysOpen
        } else {
            Self::IsIdle
        }
    }
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed, reset, or broke the protocol.
    Client,
    /// The last answer on it was given, by the client's wish or since the gateway sends clients away.
    Answered,
    /// A request on it did not come to its end in time.
    RequestTimeout,
    /// It stood idle for too long.
    Idle,
    /// Another connection needed its place.
    MadeRoom,
    /// It rested when the gateway sent its clients away.
    SentAway,
}

impl CloseReason {
    /// Its name in the log and among the figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Answered => "answered",
            Self::RequestTimeout => "request_timeout",
            Self::Idle => "idle",
            Self::MadeRoom => "made_room",
            Self::SentAway => "sent_away",
        }
    }

    /// Whether the connection rested between two requests: what comes on it then was not read.
    pub(super) fn was_idle(self) -> bool {
        matches!(self, Self::Idle | Self::MadeRoom | Self::SentAway)
    }
}

/// A connection that was closed.
#[derive(Clone, Debug)]
pub struct ClosedConnection {
    /// Its number among those of its listener.
    pub number: u64,
    /// Why it was closed.
    pub reason: CloseReason,
    /// The id of a request that had been read on it and got no answer though its client waits: there must be none.
    pub unanswered: Option<Rc<str>>,
}

/// Lets a connection that rests, and was told to shut down, end in order.
pub(super) async fn finish_shutdown<T, E>(served: impl Future<Output = Result<T, E>>) -> Result<(), E> {
    match tokio::time::timeout(SHUTDOWN_TIMEOUT, served).await {
        Ok(Err(error)) => Err(error),
        Ok(Ok(_)) | Err(_) => Ok(()),
    }
}

/// Reads on for a while what a client still sends, so that the answer that came before its end reaches it:
/// closed with bytes unread, the connection would be reset and the answer with it.
pub(super) async fn linger(stream: &TcpStream, buffer: usize) {
    if end_writing(stream).is_err() {
        return;
    }
    let mut discarded = vec![0; buffer];
    let drained = async {
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut discarded) {
                Ok(0) => return,
                Err(error) if !must_retry(&error) => return,
                _ => {}
            }
        }
    };
    // Whoever sends for longer has had its answer.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drained).await;
}
