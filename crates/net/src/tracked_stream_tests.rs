//! Tests of what a stream reports about its writes.

use crate::{prelude::*, tracked_connection::TrackedConnection, tracked_stream::TrackedStream};
use futures_lite::AsyncWriteExt;
use std::io::Read;

const LIMITS: StallLimits = StallLimits {
    head: Duration::from_secs(600),
    write: Duration::from_secs(30),
};

// Load pattern: a caller that reads with pauses. Guards against a stall counted from the first
// blocked write although bytes were sent in between.
#[test]
fn write_that_goes_on_ends_the_stall() {
    future::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut peer = std::net::TcpStream::connect(address).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let connection = Arc::new(TrackedConnection::new(SteadyClock.now()));
        let mut stream = TrackedStream::new(stream, connection.clone());
        let later = SteadyClock.now().after(Duration::from_secs(3_600));
        let is_stalled = || connection.activity().find_stall(LIMITS, later);

        let block = vec![0; 1 << 20];
        let mut sent = 0;
        while let Some(length) = future::poll_once(stream.write(&block)).await {
            sent += length.unwrap();
            assert!(!is_stalled());
        }
        assert!(is_stalled());
        let mut received = vec![0; sent];
        peer.read_exact(&mut received).unwrap();
        assert!(stream.write(&block).await.unwrap() > 0);
        assert!(!is_stalled());
    });
}
