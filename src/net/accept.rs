//! Accepting clients' connections, and what a failed accept says.

use rustix::io::Errno;
use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long after an accept that found no room the next is tried, and how often one is tried as the gateway closes.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_ACCEPT_TRIES: usize = 25;

/// What a failed accept says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptFailure {
    /// No connection waits.
    NoneWaiting,
    /// That of one connection, or of the call: the next may be well.
    OneConnection,
    /// There is no room, in this process or the system, for any connection now.
    NoRoom,
}

impl From<&io::Error> for AcceptFailure {
    fn from(error: &io::Error) -> Self {
        // What accept(2) names as without room; all else that it names is an error of the connection itself.
        const NO_ROOM: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
        match Errno::from_io_error(error) {
            Some(Errno::AGAIN) => Self::NoneWaiting,
            Some(errno) if NO_ROOM.contains(&errno) => Self::NoRoom,
            _ => Self::OneConnection,
        }
    }
}

/// A connection that the system has accepted and nobody has taken yet. The system is asked itself: the runtime may not
/// have been told of it so far.
pub(super) async fn accept_pending(listener: &TcpListener) -> Option<TcpStream> {
    for _ in 0..MAX_ACCEPT_TRIES {
        let accepted = SockRef::from(listener).accept().and_then(|(socket, _)| {
            socket.set_nonblocking(true)?;
            TcpStream::from_std(socket.into())
        });
        match accepted {
            Ok(stream) => return Some(stream),
            Err(error) => match AcceptFailure::from(&error) {
                AcceptFailure::NoneWaiting => return None,
                AcceptFailure::OneConnection => {}
                AcceptFailure::NoRoom => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
        }
    }
    log::warn!("connections that waited were left as the gateway closed: none could be accepted");
    None
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // One connection that was gone before it was accepted kept all others behind it from being taken.
    #[rstest]
    #[case(Errno::AGAIN, AcceptFailure::NoneWaiting)]
    #[case(Errno::CONNABORTED, AcceptFailure::OneConnection)]
    #[case(Errno::INTR, AcceptFailure::OneConnection)]
    #[case(Errno::PROTO, AcceptFailure::OneConnection)]
    #[case(Errno::HOSTUNREACH, AcceptFailure::OneConnection)]
    #[case(Errno::MFILE, AcceptFailure::NoRoom)]
    #[case(Errno::NFILE, AcceptFailure::NoRoom)]
    #[case(Errno::NOBUFS, AcceptFailure::NoRoom)]
    fn failed_accept_says_whether_to_try_again(#[case] errno: Errno, #[case] expected: AcceptFailure) {
        assert_eq!(AcceptFailure::from(&io::Error::from(errno)), expected);
    }
}
