//! Replies that arrive slowly.

use crate::{
    feed_connection::{self, FeedExchange},
    feed_request::FeedRequest,
    feed_wire::FeedReplyWire,
    prelude::*,
};
use std::{
    io::{Read, Write},
    net::TcpListener,
};

/// Longest time without a further byte.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time between two pieces of a reply.
const PIECE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of pieces that a reply is sent in.
const PIECES: usize = 12;

/// Asks an instance that sends its reply in pieces, of which it sends only some.
fn ask_slow_instance(sent_pieces: usize) -> (FeedExchange, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1_000]).unwrap();
        let reply = prost::Message::encode_to_vec(&FeedReplyWire::default());
        // The unknown field 100 makes the reply longer.
        let padding = [&[0xa2, 0x06, 0x80, 0x08][..], &[b' '; 1_024]].concat();
        let reply = [reply, padding].concat();
        let frame = [&(reply.len() as u32).to_be_bytes()[..], &reply].concat();
        for piece in frame.chunks(frame.len().div_ceil(PIECES)).take(sent_pieces) {
            std::thread::sleep(PIECE_INTERVAL);
            if stream.write_all(piece).is_err() {
                return;
            }
        }
        // The connection stays open until the other side closes it.
        let _ = stream.read(&mut [0; 1]);
    });
    let progress = TransferProgress::default();
    let exchange = future::block_on(async {
        let mut connection = None;
        let request = FeedRequest::default();
        feed_connection::exchange(&mut connection, address, request, &progress, STALL_TIMEOUT).await
    });
    server.join().unwrap();
    (exchange, progress.received_bytes())
}

// Guards against a transfer that is given up and begun anew although it goes on, so that a large
// configuration never arrives over a narrow link.
#[test]
fn reply_that_takes_longer_than_the_timeout_is_received_while_it_goes_on() {
    let (exchange, _) = ask_slow_instance(PIECES);
    assert!(matches!(exchange, FeedExchange::Replied(_)));
}

// Guards against an instance that waits for one that has gone silent.
#[test]
fn reply_that_stops_is_given_up() {
    let (exchange, received) = ask_slow_instance(PIECES / 2);
    assert!(matches!(exchange, FeedExchange::TimedOut));
    assert!((1..1_000).contains(&received), "{received} bytes");
}
