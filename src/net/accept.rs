//! Accepts client connections, classifies failed accepts, and detects connections that no process accepts.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use socket2::SockRef;
use std::io;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Delay before the next accept after one that failed for lack of resources.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Number of failed accepts in a row after which the connections that are still
/// pending while the gateway closes its listener are abandoned.
const MAX_ACCEPT_FAILURES: usize = 25;

/// Interval at which the backlog of a socket is checked that another process serves.
const BACKLOG_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which connections may wait in the backlog before they count as neglected. A process that serves
/// the socket may be held up for 0.15 s.
const MAX_BACKLOG_WAIT: Duration = Duration::from_millis(160);

/// Returns true if a connection waits in the backlog of a listening socket.
fn has_pending_connection(listener: &TcpListener) -> bool {
    let mut polled = [PollFd::new(listener, PollFlags::IN)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut polled, Some(&no_wait)).is_ok_and(|ready| ready > 0)
}

/// Watches the backlog of a socket that another process serves: a process that lives but hangs accepts nothing.
#[derive(Debug, Default)]
pub(super) struct BacklogWatch {
    /// Time of the first of the successive checks at which connections were waiting.
    pending_since: Option<Instant>,
}

impl BacklogWatch {
    /// Waits until connections have been waiting for too long.
    pub(super) async fn wait_until_neglected(&mut self, listener: &TcpListener) {
        while !self.is_neglected(listener, Instant::now()) {
            tokio::time::sleep(BACKLOG_CHECK_INTERVAL).await;
        }
        self.pending_since = None;
    }

    /// Checks the backlog and returns true if connections have been waiting for too long.
    fn is_neglected(&mut self, listener: &TcpListener, now: Instant) -> bool {
        if !has_pending_connection(listener) {
            self.pending_since = None;
            return false;
        }
        now.duration_since(*self.pending_since.get_or_insert(now)) >= MAX_BACKLOG_WAIT
    }
}

/// The kind of a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptFailure {
    /// No connection is pending.
    NonePending,
    /// The failure concerns one connection or the call itself: the next accept may succeed.
    SingleConnection,
    /// The process or the system lacks the resources to accept any connection now.
    NoResources,
}

impl From<&io::Error> for AcceptFailure {
    fn from(error: &io::Error) -> Self {
        // The errors by which accept(2) reports a lack of resources; all others concern a single connection.
        const RESOURCE_ERRORS: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
        match Errno::from_io_error(error) {
            Some(Errno::AGAIN) => Self::NonePending,
            Some(errno) if RESOURCE_ERRORS.contains(&errno) => Self::NoResources,
            _ => Self::SingleConnection,
        }
    }
}

/// Accepts a connection that is pending in the kernel; returns `None` if there is none or accepts fail
/// repeatedly. The kernel is called directly, since the runtime may not have been notified of it yet.
pub(super) async fn accept_pending(listener: &TcpListener) -> Option<TcpStream> {
    for _ in 0..MAX_ACCEPT_FAILURES {
        let accepted = SockRef::from(listener).accept().and_then(|(socket, _)| {
            socket.set_nonblocking(true)?;
            TcpStream::from_std(socket.into())
        });
        match accepted {
            Ok(stream) => return Some(stream),
            Err(error) => match AcceptFailure::from(&error) {
                AcceptFailure::NonePending => return None,
                AcceptFailure::SingleConnection => {}
                AcceptFailure::NoResources => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
        }
    }
    log::warn!("pending connections were dropped at shutdown: accept failed repeatedly");
    None
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // A process that hung kept all connections of the socket that it shared with another process.
    #[tokio::test]
    async fn connections_that_nobody_accepts_are_detected() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (mut watch, start) = (BacklogWatch::default(), Instant::now());
        assert!(!watch.is_neglected(&listener, start));
        let _client = TcpStream::connect(address).await.expect("the system accepts the connection");
        assert!(!watch.is_neglected(&listener, start + MAX_BACKLOG_WAIT), "the wait has only begun");
        assert!(watch.is_neglected(&listener, start + 2 * MAX_BACKLOG_WAIT));
        assert!(accept_pending(&listener).await.is_some());
        assert!(!watch.is_neglected(&listener, start + 3 * MAX_BACKLOG_WAIT));
    }

    // A connection that was gone before it was accepted
    // prevented all connections behind it from being accepted.
    #[rstest]
    #[case(Errno::AGAIN, AcceptFailure::NonePending)]
    #[case(Errno::CONNABORTED, AcceptFailure::SingleConnection)]
    #[case(Errno::INTR, AcceptFailure::SingleConnection)]
    #[case(Errno::PROTO, AcceptFailure::SingleConnection)]
    #[case(Errno::HOSTUNREACH, AcceptFailure::SingleConnection)]
    #[case(Errno::MFILE, AcceptFailure::NoResources)]
    #[case(Errno::NFILE, AcceptFailure::NoResources)]
    #[case(Errno::NOBUFS, AcceptFailure::NoResources)]
    fn accept_errors_are_classified(#[case] errno: Errno, #[case] expected: AcceptFailure) {
        assert_eq!(AcceptFailure::from(&io::Error::from(errno)), expected);
    }
}
