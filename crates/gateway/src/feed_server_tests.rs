//! Tests of the feed's connections with peers that send too much or read nothing.

use crate::{
    feed_codec::FeedCodec,
    feed_request::{FeedRequest, FeedRequestWire},
    feed_server,
    prelude::*,
    test_node,
};
use bytes::BytesMut;
use std::{
    io::{Read, Write},
    net::TcpStream,
};
use tokio_util::codec::{Decoder, Encoder};

const MIB: usize = 1 << 20;

fn length_prefix(length: usize) -> Vec<u8> {
    (length as u32).to_be_bytes().to_vec()
}

// Load pattern: peers that announce large requests. Guards against memory reserved for a frame that
// no request needs, and against a bound that applies to replies.
#[test]
fn requests_have_a_lower_bound_than_replies() {
    let mut large = BytesMut::from(&length_prefix(2 * MIB)[..]);
    let (mut server, mut client) = (FeedCodec::server(), FeedCodec::client());
    assert!(server.decode(&mut large.clone()).is_err());
    assert!(matches!(client.decode(&mut large), Ok(None)));

    let (mut server, mut client) = (FeedCodec::server(), FeedCodec::client());
    let frame = Bytes::from(vec![7; 2 * MIB]);
    let mut encoded = BytesMut::new();
    assert!(client.encode(frame.clone(), &mut encoded).is_err());
    assert!(server.encode(frame.clone(), &mut encoded).is_ok());
    assert!(client.decode(&mut encoded).unwrap().unwrap() == frame);

    let request = Bytes::from(vec![7; 60 << 10]);
    let mut encoded = BytesMut::new();
    assert!(client.encode(request.clone(), &mut encoded).is_ok());
    assert!(server.decode(&mut encoded).unwrap().unwrap() == request);
}

/// Starts the feed's listener; returns its address.
fn start(node: &Arc<GatewayNode>) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = future::block_on(async_net::TcpListener::bind(any)).unwrap();
    let address = listener.local_addr().unwrap();
    let task_node = node.clone();
    std::thread::spawn(move || {
        let workers = task_node.workers.clone();
        workers.block_on(feed_server::serve(task_node, listener));
    });
    address
}

// Load pattern: a peer that announces a large request and sends a part of it. Guards against a
// connection that is kept until its idle timeout.
#[test]
fn connection_with_an_oversized_request_is_closed() {
    let node = Arc::new(test_node::build());
    let address = start(&node);
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream.write_all(&length_prefix(2 * MIB)).unwrap();
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
    // A request of this build is answered.
    let request = FeedRequestWire::from(FeedRequest::default());
    let request = prost::Message::encode_to_vec(&request);
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream.write_all(&length_prefix(request.len())).unwrap();
    stream.write_all(&request).unwrap();
    stream.read_exact(&mut [0; 4]).unwrap();
}

// Load pattern: a peer that asks and does not read. Guards against replies held for as long as the
// peer keeps its connection open.
#[test]
fn reply_that_is_not_read_is_given_up() {
    /// Together more than the buffers of two sockets hold.
    const MAX_REPLIES: usize = 16;
    future::block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = async_net::TcpListener::bind(any).await.unwrap();
        let _peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let mut frames = feed_server::frame_stream(stream, FeedCodec::server());
        let reply = Bytes::from(vec![7; 8 * MIB]);
        for _ in 0..MAX_REPLIES {
            let timeout = Duration::from_millis(300);
            match feed_server::send_within(&mut frames, reply.clone(), timeout).await {
                Some(sent) => sent.unwrap(),
                None => return,
            }
        }
        panic!("all replies were sent");
    });
}
