//! Binds listening sockets.

use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Maximum time for which binding an address is retried; below the maximum start time of the process.
const MAX_BIND_TIME: Duration = Duration::from_secs(5);
/// Delay between two attempts to bind an address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens at an address. The system may temporarily lack resources for a socket, or still hold the address
/// for a process that has just ended, so binding is retried instead of failing the start.
pub async fn bind(address: &str) -> io::Result<TcpListener> {
    let retry_until = Instant::now() + MAX_BIND_TIME;
    loop {
        match TcpListener::bind(address).await {
            // Only errors from the system are retried, not an invalid address.
            Err(error) if error.raw_os_error().is_some() && Instant::now() < retry_until => {
                log::warn!("cannot listen yet, retrying at={address} {error}");
                tokio::time::sleep(BIND_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // An address that was still held by an ending process made the start of its successor fail.
    #[tokio::test]
    async fn bind_waits_for_an_address_that_is_briefly_in_use() {
        let first_listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = first_listener.local_addr().expect("the listener has an address");
        let text = address.to_string();
        let release_address = async {
            tokio::time::sleep(Duration::from_millis(120)).await;
            drop(first_listener);
        };
        let (bound, ()) = tokio::join!(bind(&text), release_address);
        assert_eq!(bound.and_then(|bound| bound.local_addr()).ok(), Some(address));
    }

    #[tokio::test]
    async fn invalid_address_is_refused_at_once() {
        let start = Instant::now();
        assert!(bind("nowhere").await.is_err());
        assert!(start.elapsed() < Duration::from_secs(1));
    }
}
