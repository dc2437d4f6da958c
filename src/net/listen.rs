//! Listening sockets.

use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// For how long binding an address is tried: less than what a start may take.
const TRIED_FOR: Duration = Duration::from_secs(5);
const TRY_EVERY: Duration = Duration::from_millis(50);

/// Listens at an address. The system may have no room for a socket just then, or still hold the address for a process
/// that has ended: that is no reason not to start.
pub async fn bind(address: &str) -> io::Result<TcpListener> {
    let until = Instant::now() + TRIED_FOR;
    loop {
        match TcpListener::bind(address).await {
            // What the system said, not what is wrong with the text of the address.
            Err(error) if error.raw_os_error().is_some() && Instant::now() < until => {
                log::warn!("cannot listen yet at={address} {error}");
                tokio::time::sleep(TRY_EVERY).await;
            }
            bound => return bound,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // The address of a process that was still ending ended the one that was to take its place.
    #[tokio::test]
    async fn address_that_is_in_use_for_a_moment_is_waited_for() {
        let held = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = held.local_addr().expect("an address");
        let text = address.to_string();
        let free = async {
            tokio::time::sleep(Duration::from_millis(120)).await;
            drop(held);
        };
        let (bound, ()) = tokio::join!(bind(&text), free);
        assert_eq!(bound.and_then(|bound| bound.local_addr()).ok(), Some(address));
    }

    #[tokio::test]
    async fn address_that_makes_no_sense_is_refused_at_once() {
        let asked = Instant::now();
        assert!(bind("nowhere").await.is_err());
        assert!(asked.elapsed() < Duration::from_secs(1));
    }
}
