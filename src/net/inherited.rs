//! The clients' listening socket where the platform holds it and hands it on to each process.

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::io;
use std::net::TcpListener;

/// A listener on the socket that this process inherited under the descriptor of that number.
///
/// It is a duplicate, taken by way of this process's own pidfd: to adopt a number as a descriptor is unsafe,
/// since nothing shows that nobody else closes it.
pub fn inherited(number: &str) -> io::Result<TcpListener> {
    let wrong =
        |what: &str| io::Error::new(io::ErrorKind::InvalidInput, format!("descriptor {number}: {what}"));
    let number = number.trim().parse::<u16>().map_err(|_| wrong("not a number"))?.into();
    let process = pidfd_open(getpid(), PidfdFlags::empty())?;
    let socket = pidfd_getfd(process, number, PidfdGetfdFlags::empty())?;
    if !socket2::SockRef::from(&socket).is_listener()? {
        return Err(wrong("not a listening socket"));
    }
    let listener = TcpListener::from(socket);
    listener.set_nonblocking(true)?;
    Ok(listener)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Read;
    use std::net::TcpStream;
    use std::os::fd::AsRawFd;

    // Bound a second time, the address was refused to the new version, which ended at once.
    #[test]
    fn listener_shares_the_inherited_socket() {
        let held = TcpListener::bind("127.0.0.1:0").expect("a port");
        let listener = inherited(&held.as_raw_fd().to_string()).expect("it listens");
        assert_eq!(listener.local_addr().ok(), held.local_addr().ok());
        drop(held);
        let mut client = TcpStream::connect(listener.local_addr().expect("an address")).expect("it listens");
        listener.set_nonblocking(false).expect("a socket");
        drop(listener.accept().expect("the client"));
        assert_eq!(client.read(&mut [0]).ok(), Some(0));
    }

    #[test]
    fn what_does_not_listen_is_refused() {
        let file = tempfile::tempfile().expect("a file");
        for number in ["", "seven", "-1", &file.as_raw_fd().to_string()] {
            assert!(inherited(number).is_err(), "{number}");
        }
    }
}
