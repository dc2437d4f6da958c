//! A connection to an engine that knows how much of a request has been written to it.

use crate::gateway::SendGuard;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// What is to be done as a request is written.
#[derive(Debug, Default)]
pub(super) struct WriteWatch {
    /// Told when the first byte is written.
    pub(super) guard: Option<SendGuard>,
    /// Counts the requests that were written whole.
    pub(super) tally: Option<Rc<Cell<u64>>>,
}

/// Counts the bytes of the request in hand that the kernel has taken.
#[derive(Debug, Default)]
pub(super) struct Meter {
    written: Cell<usize>,
    /// How much of the blank line that ends the head has just been seen.
    matched: Cell<usize>,
    /// Length of the head, once it was written.
    head: Cell<Option<usize>>,
    body: Cell<usize>,
    watch: RefCell<WriteWatch>,
}

impl Meter {
    /// A new request with a body of that length.
    pub(super) fn begin(&self, body: usize, watch: WriteWatch) {
        self.watch.replace(watch);
        self.written.set(0);
        self.matched.set(0);
        self.head.set(None);
        self.body.set(body);
    }

    fn count(&self, bytes: &[u8]) {
        let mut watch = self.watch.borrow_mut();
        if let Some(guard) = watch.guard.take() {
            guard.check_written();
        }
        if self.head.get().is_none() {
            for (at, byte) in bytes.iter().enumerate() {
                let matched = match self.matched.get() {
                    n if HEAD_END[n] == *byte => n + 1,
                    _ => usize::from(*byte == b'\r'),
                };
                self.matched.set(matched);
                if matched == HEAD_END.len() {
                    self.head.set(Some(self.written.get() + at + 1));
                    break;
                }
            }
        }
        self.written.set(self.written.get() + bytes.len());
        if self.is_complete()
            && let Some(tally) = watch.tally.take()
        {
            tally.set(tally.get() + 1);
        }
    }

    /// Whether the last byte of the request was written: from then on it may run.
    pub(super) fn is_complete(&self) -> bool {
        self.head.get().is_some_and(|head| self.written.get() >= head + self.body.get())
    }
}

/// The connection itself, shared with the pool, which looks at it before it is used again.
pub(super) struct Wire {
    pub(super) stream: Rc<TcpStream>,
    pub(super) meter: Rc<Meter>,
}

/// Whether the other side has closed the connection or sent what nobody asked for.
pub(super) fn is_stale(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    loop {
        match socket2::SockRef::from(stream).peek(&mut byte) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => return true,
        }
    }
}

/// Whether a call on a connection is to be made again: it was interrupted, or the poller's word was out of date. Neither
/// says anything of the connection.
pub(super) fn is_to_be_repeated(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Reads from a connection that is shared with those who look at it.
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
            Err(error) if is_to_be_repeated(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Writes to such a connection.
pub(super) fn poll_write(
    stream: &TcpStream,
    context: &mut Context<'_>,
    bytes: &[u8],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_write(bytes) {
            Err(error) if is_to_be_repeated(&error) => {}
            written => return Poll::Ready(written),
        }
    }
}

/// Ends this side's sending on such a connection.
pub(super) fn end_writing(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(Shutdown::Write)
}

impl AsyncRead for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.stream, context, buffer)
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(poll_write(&self.stream, context, bytes))?;
        self.meter.count(&bytes[..written]);
        Poll::Ready(Ok(written))
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

    // "Never ran" is claimed only up to the last byte: one byte less is the whole difference.
    #[rstest]
    #[case::head_in_two_writes(&["POST / HTTP/1.1\r\nA: b\r", "\n\r\nbo"], 2, true)]
    #[case::last_byte_missing(&["POST / HTTP/1.1\r\n\r\nbod"], 4, false)]
    #[case::no_body(&["DELETE / HTTP/1.1\r\n\r\n"], 0, true)]
    #[case::head_not_ended(&["DELETE / HTTP/1.1\r\n\r"], 0, false)]
    #[case::blank_line_in_the_body(&["POST / HTTP/1.1\r\n\r\n", "\r\n\r\n"], 5, false)]
    fn meter_knows_the_last_byte(#[case] writes: &[&str], #[case] body: usize, #[case] complete: bool) {
        let meter = Meter::default();
        let tally = Rc::new(Cell::new(0));
        meter.begin(body, WriteWatch { guard: None, tally: Some(tally.clone()) });
        for write in writes {
            meter.count(write.as_bytes());
        }
        assert_eq!((meter.is_complete(), tally.get()), (complete, u64::from(complete)));
    }
}
