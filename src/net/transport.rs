//! A stream to an engine that tracks how much of a request has been written to it.

use crate::gateway::SendGuard;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The blank line that ends a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Hooks that run as a request is written.
#[derive(Debug, Default)]
pub(super) struct WriteWatch {
    /// Checked when the first byte is written.
    pub(super) guard: Option<SendGuard>,
    /// Counter of the requests that were written completely.
    pub(super) written_counter: Option<Rc<Cell<u64>>>,
}

/// Counts the bytes of the request in progress that the kernel has accepted.
#[derive(Debug, Default)]
pub(super) struct Meter {
    written: Cell<usize>,
    /// Number of bytes at the start of `HEAD_END` that the bytes written last match.
    matched: Cell<usize>,
    /// Length of the head, once it was written.
    head_len: Cell<Option<usize>>,
    body_len: Cell<usize>,
    watch: RefCell<WriteWatch>,
}

impl Meter {
    /// Starts a new request with a body of the given length.
    pub(super) fn begin(&self, body_len: usize, watch: WriteWatch) {
        self.watch.replace(watch);
        self.written.set(0);
        self.matched.set(0);
        self.head_len.set(None);
        self.body_len.set(body_len);
    }

    fn count(&self, bytes: &[u8]) {
        let mut watch = self.watch.borrow_mut();
        if let Some(guard) = watch.guard.take() {
            guard.check_invariants_at_write();
        }
        if self.head_len.get().is_none() {
            for (index, byte) in bytes.iter().enumerate() {
                let matched = match self.matched.get() {
                    n if HEAD_END[n] == *byte => n + 1,
                    _ => usize::from(*byte == b'\r'),
                };
                self.matched.set(matched);
                if matched == HEAD_END.len() {
                    self.head_len.set(Some(self.written.get() + index + 1));
                    break;
                }
            }
        }
        self.written.set(self.written.get() + bytes.len());
        if self.is_complete()
            && let Some(written_counter) = watch.written_counter.take()
        {
            written_counter.set(written_counter.get() + 1);
        }
    }

    /// Counts the first `written` bytes of the slices.
    fn count_slices(&self, slices: &[IoSlice<'_>], written: usize) {
        let mut remaining = written;
        for slice in slices {
            if remaining == 0 {
                return;
            }
            let count = remaining.min(slice.len());
            self.count(&slice[..count]);
            remaining -= count;
        }
    }

    /// Returns true if the last byte of the request was written: from then on the request may run.
    pub(super) fn is_complete(&self) -> bool {
        self.head_len.get().is_some_and(|head_len| self.written.get() >= head_len + self.body_len.get())
    }
}

/// The stream of a connection; the pool shares the socket to check it before the connection is reused.
pub(super) struct MeteredStream {
    pub(super) stream: Rc<TcpStream>,
    pub(super) meter: Rc<Meter>,
}

/// Returns true if the connection is closed or broken, or if received bytes are unread. On an
/// idle connection to an engine such bytes are unsolicited, and the connection must not be reused.
pub(super) fn is_closed_or_has_input(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    loop {
        match socket2::SockRef::from(stream).peek(&mut byte) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => return true,
        }
    }
}

/// Returns true if a call on a socket must be repeated: a signal interrupted it, or the readiness reported by
/// the poller was out of date. Neither is an error of the connection.
pub(super) fn must_retry(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// The outcome of a read from a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Received {
    /// Bytes were added to the buffer.
    Bytes,
    /// The peer sends nothing more.
    EndOfStream,
}

/// Reads from a socket and distinguishes received bytes from the end of the stream. Returns an error for a full
/// buffer: the system reports the end of the stream and a read of no bytes by the same value.
pub(super) fn poll_receive(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<Received>> {
    if buffer.remaining() == 0 {
        return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidInput, "no room for received bytes")));
    }
    let filled_before = buffer.filled().len();
    ready!(poll_read(stream, context, buffer))?;
    let has_grown = buffer.filled().len() > filled_before;
    Poll::Ready(Ok(if has_grown { Received::Bytes } else { Received::EndOfStream }))
}

/// Reads from a socket that is shared with other code that checks its state.
pub(super) fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read(buffer.initialize_unfilled()) {
            Ok(read) => {
                buffer.advance(read);
                return Poll::Ready(Ok(()));
            }
            Err(error) if must_retry(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Writes to a shared socket.
pub(super) fn poll_write(
    stream: &TcpStream,
    context: &mut Context<'_>,
    bytes: &[u8],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_write(bytes) {
            Err(error) if must_retry(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Writes several slices to a shared socket.
pub(super) fn poll_write_vectored(
    stream: &TcpStream,
    context: &mut Context<'_>,
    slices: &[IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_write_vectored(slices) {
            Err(error) if must_retry(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Shuts down the sending side of a shared socket.
pub(super) fn end_writing(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(Shutdown::Write)
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.stream, context, buffer)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(poll_write(&self.stream, context, bytes))?;
        self.meter.count(&bytes[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(poll_write_vectored(&self.stream, context, slices))?;
        self.meter.count_slices(slices, written);
        Poll::Ready(Ok(written))
    }

    /// Returns true so that hyper does not copy a request body to its write buffer, which would keep the size
    /// of the largest body until the connection closes.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(end_writing(&self.stream))
    }
}

#[cfg(test)]
mod tests {
    use super::{Cell, Meter, Rc, WriteWatch};
    use rstest::rstest;

    // A request counts as never run only until its last byte
    // is written, so one missing byte makes the difference.
    #[rstest]
    #[case::head_in_two_writes(&["POST / HTTP/1.1\r\nA: b\r", "\n\r\nbo"], 2, true)]
    #[case::last_byte_missing(&["POST / HTTP/1.1\r\n\r\nbod"], 4, false)]
    #[case::no_body(&["DELETE / HTTP/1.1\r\n\r\n"], 0, true)]
    #[case::head_not_ended(&["DELETE / HTTP/1.1\r\n\r"], 0, false)]
    #[case::blank_line_in_the_body(&["POST / HTTP/1.1\r\n\r\n", "\r\n\r\n"], 5, false)]
    fn meter_is_complete_after_the_last_byte_only(
        #[case] writes: &[&str],
        #[case] body: usize,
        #[case] complete: bool,
    ) {
        let meter = Meter::default();
        let written_counter = Rc::new(Cell::new(0));
        meter.begin(body, WriteWatch { guard: None, written_counter: Some(written_counter.clone()) });
        for write in writes {
            meter.count(write.as_bytes());
        }
        assert_eq!((meter.is_complete(), written_counter.get()), (complete, u64::from(complete)));
    }
}
