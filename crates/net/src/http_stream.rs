//! TCP connection for hyper, with bounded buffers.
//!
//! hyper's read buffer grows with the size of the reads and is kept with the connection: after
//! reads of 64 KiB each of 2,000 connections would hold up to 128 KiB. Its write buffer is copied
//! into and kept likewise, unless the connection writes from several pieces at once.

use crate::prelude::*;
use futures_lite::io::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};
use smol_hyper::rt::FuturesIo;
use std::{
    io::IoSlice,
    task::{Context, Poll},
};

/// Largest read, in bytes: one less than the size of hyper's first buffer, beyond which it grows.
const MAX_READ_BYTES: usize = 8_191;

/// Stream of a connection that reads small pieces and writes from several at once.
pub(crate) struct HttpStream<S>(FuturesIo<S>);

impl<S> From<S> for HttpStream<S> {
    fn from(stream: S) -> Self {
        Self(FuturesIo::new(stream))
    }
}

impl<S: AsyncRead + Unpin> Read for HttpStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        mut buffer: ReadBufCursor,
    ) -> Poll<io::Result<()>> {
        let mut piece = [0; MAX_READ_BYTES];
        let bytes = buffer.remaining().min(MAX_READ_BYTES);
        let stream = Pin::new(self.0.get_mut());
        stream
            .poll_read(context, &mut piece[..bytes])
            .map_ok(|bytes| buffer.put_slice(&piece[..bytes]))
    }
}

impl<S: AsyncWrite + Unpin> Write for HttpStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        pieces: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(context, pieces)
    }
}
