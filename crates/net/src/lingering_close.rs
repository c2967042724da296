//! Closing a connection in two steps, so that its last answer arrives.
//!
//! A socket that is closed with unread bytes, or gets some later, resets its connection, and the peer
//! loses what it has not received (RFC 9112, 9.6). After the last answer the sending side is therefore
//! closed first, and what still comes is dropped until the peer closes too.
//!
//! The wait is bounded: by time, counted from the last answer, and by bytes, after which no more is
//! read and the peer is held back by its own send buffer. A connection that waits so gives way to a
//! new one when its listener is full.

use crate::{prelude::*, tracked_connection::TrackedConnection};
use async_io::Timer;
use futures_lite::AsyncReadExt;
use std::net::Shutdown;

/// Longest time from the last answer to the close, within which a slow reader has it.
const MAX_TIME: Duration = Duration::from_secs(5);
/// Number of bytes after which no more is read.
const MAX_BYTES: usize = 4 << 20;
/// Bytes read at a time.
const BLOCK_BYTES: usize = 1 << 10;

/// Closes the sending side of a connection, and waits until the peer has closed it too, the time is
/// over, or the connection is to give way.
pub(crate) async fn close(mut stream: TcpStream, connection: &TrackedConnection) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let answered_at = connection.begin_lingering();
    let ended = discard(&mut stream);
    let given_way = async {
        connection.wait_close().await;
    };
    let timed_out = async {
        let left = answered_at.after(MAX_TIME).since(SteadyClock.now());
        Timer::after(left).await;
    };
    // What has come is read first, so that a connection whose time is over is not reset for it.
    future::or(ended, future::or(given_way, timed_out)).await;
}

/// Reads and drops what still comes, to the end of the connection.
async fn discard(stream: &mut TcpStream) {
    let mut block = vec![0; BLOCK_BYTES];
    let mut read = 0;
    while read < MAX_BYTES {
        match stream.read(&mut block).await {
            Ok(0) | Err(_) => return,
            Ok(bytes) => read += bytes,
        }
    }
    future::pending::<()>().await;
}
