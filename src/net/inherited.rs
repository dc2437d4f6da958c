//! The client listening socket, if the platform holds it and passes it on to each process.

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::io;
use std::net::TcpListener;

/// Returns a listener on the socket that this process inherited under the given descriptor number.
///
/// The listener uses a duplicate of the descriptor, obtained through the pidfd of this process: converting a
/// number into an owned descriptor is unsafe, since nothing shows that no other code closes it.
pub fn inherited_listener(number: &str) -> io::Result<TcpListener> {
    let invalid = |problem: &str| {
        io::Error::new(io::ErrorKind::InvalidInput, format!("descriptor {number}: {problem}"))
    };
    let number = number.trim().parse::<u16>().map_err(|_| invalid("not a number"))?.into();
    let process = pidfd_open(getpid(), PidfdFlags::empty())?;
    let socket = pidfd_getfd(process, number, PidfdGetfdFlags::empty())?;
    if !socket2::SockRef::from(&socket).is_listener()? {
        return Err(invalid("not a listening socket"));
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

    // Binding the address a second time failed for the new version, which ended at once.
    #[test]
    fn listener_shares_the_inherited_socket() {
        let original = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let listener =
            inherited_listener(&original.as_raw_fd().to_string()).expect("the descriptor is a listener");
        assert_eq!(listener.local_addr().ok(), original.local_addr().ok());
        drop(original);
        let mut client =
            TcpStream::connect(listener.local_addr().expect("an address")).expect("the listener is open");
        listener.set_nonblocking(false).expect("the socket can block");
        drop(listener.accept().expect("the client is accepted"));
        assert_eq!(client.read(&mut [0]).ok(), Some(0));
    }

    #[test]
    fn descriptor_that_is_no_listener_is_refused() {
        let file = tempfile::tempfile().expect("a temporary file");
        for number in ["", "seven", "-1", &file.as_raw_fd().to_string()] {
            assert!(inherited_listener(number).is_err(), "{number}");
        }
    }
}
