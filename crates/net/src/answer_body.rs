//! Body of an answer, which tells its connection when there are no more bytes to be sent.

use crate::{prelude::*, tracked_connection::TrackedConnection};
use hyper::body::{Body, Frame, SizeHint};
use std::{
    convert::Infallible,
    task::{Context, Poll},
};

/// Body of an answer on a tracked connection. The HTTP server drops it once it has taken all bytes.
pub(crate) struct AnswerBody {
    body: MessageBody,
    connection: Arc<TrackedConnection>,
}

impl AnswerBody {
    /// Wraps the body of the answer that is about to be sent on `connection`.
    pub(crate) fn new(body: MessageBody, connection: Arc<TrackedConnection>) -> Self {
        Self { body, connection }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.connection.end_answer();
    }
}
