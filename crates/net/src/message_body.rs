//! Bodies of messages that are sent: in one piece, or from the blocks that they were read into.

use crate::prelude::*;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    convert::Infallible,
    task::{Context, Poll},
};

/// Body of a message that is sent.
#[derive(Debug)]
pub struct MessageBody {
    content: BodyContent,
}

#[derive(Debug)]
enum BodyContent {
    Whole(Full<Bytes>),
    /// Body, the place of its next block, and the bytes that are left.
    Blocks(StoredBody, usize, u64),
}

impl From<Full<Bytes>> for MessageBody {
    fn from(body: Full<Bytes>) -> Self {
        Self {
            content: BodyContent::Whole(body),
        }
    }
}

impl From<StoredBody> for MessageBody {
    fn from(body: StoredBody) -> Self {
        let length = body.len() as u64;
        Self {
            content: BodyContent::Blocks(body, 0, length),
        }
    }
}

impl Body for MessageBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut self.content {
            BodyContent::Whole(body) => Pin::new(body).poll_frame(context),
            BodyContent::Blocks(body, next, left) => {
                let block = body.block(*next);
                *next += 1;
                *left -= block.as_ref().map_or(0, |block| block.len() as u64);
                Poll::Ready(block.map(|block| Ok(Frame::data(block))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            BodyContent::Whole(body) => body.is_end_stream(),
            BodyContent::Blocks(_, _, left) => *left == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            BodyContent::Whole(body) => body.size_hint(),
            BodyContent::Blocks(_, _, left) => SizeHint::with_exact(*left),
        }
    }
}
