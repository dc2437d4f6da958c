//! Accepts client connections and classifies failed accepts.

use rustix::io::Errno;
use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay before the next accept after one that failed for lack of resources.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Number of failed accepts in a row after which the connections that are still
/// pending while the gateway closes its listener are abandoned.
const MAX_ACCEPT_FAILURES: usize = 25;

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
