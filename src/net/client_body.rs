//! The body of a response on a client connection, which ends when the client disconnects.

use super::connection::{ClientDisconnected, RequestInProgress};
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Sleep;

/// Delay before a body error closes the connection, so that
/// data already passed to hyper is written out first.
const WRITE_OUT_DELAY: Duration = Duration::from_millis(20);

/// A response body; once it is dropped and written out the request on its connection has ended.
pub(super) struct ClientBody<B: Body> {
    body: B,
    /// An error that is still to be reported, and the timer that delays it.
    delayed_error: Option<(B::Error, Pin<Box<Sleep>>)>,
    disconnect: Pin<Box<dyn Future<Output = ClientDisconnected>>>,
    _request: RequestInProgress,
}

impl<B: Body> ClientBody<B> {
    pub(super) fn new(body: B, request: RequestInProgress) -> Self {
        let connection = request.connection();
        connection.mark_response_begun();
        let disconnect = Box::pin(async move { connection.wait_for_disconnect().await });
        Self { body, delayed_error: None, disconnect, _request: request }
    }
}

impl<B: Body + Unpin> Body for ClientBody<B>
where
    B::Error: Unpin + From<ClientDisconnected>,
{
    type Data = B::Data;
    type Error = B::Error;

    /// Delays an error by a short time: on an error, hyper drops the connection
    /// with everything that was not written out, and data that was passed on
    /// just before, including the response head, would never reach the client.
    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.get_mut();
        // The client has disconnected and reads no more. A body that is at its end may still be written.
        if !this.body.is_end_stream() && this.disconnect.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(ClientDisconnected.into())));
        }
        if this.delayed_error.is_none() {
            match ready!(Pin::new(&mut this.body).poll_frame(context)) {
                Some(Err(error)) => {
                    this.delayed_error = Some((error, Box::pin(tokio::time::sleep(WRITE_OUT_DELAY))));
                }
                frame => return Poll::Ready(frame),
            }
        }
        if let Some((_, timer)) = &mut this.delayed_error {
            ready!(timer.as_mut().poll(context));
        }
        Poll::Ready(this.delayed_error.take().map(|(error, _)| Err(error)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
