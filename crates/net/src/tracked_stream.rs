//! TCP stream that reports to its connection what it reads and writes.

use crate::{prelude::*, tracked_connection::TrackedConnection};
use futures_lite::{AsyncRead, AsyncWrite};
use std::task::{Context, Poll};

/// Stream of a tracked connection.
pub(crate) struct TrackedStream {
    stream: TcpStream,
    connection: Arc<TrackedConnection>,
    is_write_blocked: bool,
}

impl TrackedStream {
    /// Wraps the stream of `connection`.
    pub(crate) fn new(stream: TcpStream, connection: Arc<TrackedConnection>) -> Self {
        Self {
            stream,
            connection,
            is_write_blocked: false,
        }
    }

    /// Reports changes between blocked and successful writes only, so that writes that succeed cost
    /// nothing.
    fn report_write(&mut self, is_blocked: bool) {
        if self.is_write_blocked != is_blocked {
            self.is_write_blocked = is_blocked;
            match is_blocked {
                true => self.connection.block_write(),
                false => self.connection.unblock_write(),
            }
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(length)) = read {
            self.connection.receive(&buffer[..length]);
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.report_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.report_write(written.is_pending());
        written
    }

    /// The HTTP server calls this only after all its bytes were written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.flush();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
