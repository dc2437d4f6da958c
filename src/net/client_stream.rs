//! The byte stream of a client connection, as the HTTP library reads and writes it.

use super::connection::Connection;
use super::transport;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The byte stream of a connection, which records what is received.
pub(super) struct ClientStream(pub(super) Rc<Connection>);

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.0.take_read_ahead(buffer) || self.0.has_read_ended() {
            return Poll::Ready(Ok(()));
        }
        if self.0.has_overflowed() {
            // What was discarded is missing. The connection closes after the response in progress.
            return Poll::Pending;
        }
        let filled_before = buffer.filled().len();
        let read = transport::poll_read(&self.0.stream, context, buffer);
        if buffer.filled().len() > filled_before {
            self.0.record_received(&buffer.filled()[filled_before..]);
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        transport::poll_write(&self.0.stream, context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        transport::poll_write_vectored(&self.0.stream, context, slices)
    }

    /// Returns true so that hyper queues the pieces of a response instead of copying them to a write buffer,
    /// which would keep the size of the largest response until the connection closes.
    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called by the HTTP library when it has written all that it had buffered.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.record_flushed();
        Poll::Ready(Ok(()))
    }

    /// Keeps the sending side open if requests were received that are still to be refused. Dropping the stream
    /// closes the connection.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.0.has_waiting_request() {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(transport::end_writing(&self.0.stream))
    }
}
