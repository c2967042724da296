//! Tests of connections that wait to be accepted when the listener closes.

use {
    bytes::Bytes,
    geraniummast_net::{HttpLimits, HttpListener, WorkerPool},
    http::Response,
    http_body_util::Full,
    std::{
        io::{Read, Write},
        net::TcpStream,
        time::Duration,
    },
};

// Guards against requests that are cut without an answer at a planned stop, because their
// connections were established but not accepted yet when the listening socket closed.
#[test]
fn connections_that_wait_for_accept_are_served_when_the_listener_closes() {
    const CALLERS: usize = 20;
    let pool = WorkerPool::start("worker", 2).unwrap();
    let address = "127.0.0.1:0".parse().unwrap();
    let listener =
        futures_lite::future::block_on(HttpListener::bind(address, HttpLimits::default())).unwrap();
    let address = listener.local_address().unwrap();
    let streams: Vec<TcpStream> = (0..CALLERS)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            let head = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
            stream.write_all(head).unwrap();
            stream
        })
        .collect();
    listener.connections().stop_accepting();
    pool.spawn(listener.serve(pool.clone(), |_| async {
        Response::new(Full::new(Bytes::from("ok")))
    }));
    for (number, mut stream) in streams.into_iter().enumerate() {
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer);
        assert!(
            answer.starts_with("HTTP/1.1 200"),
            "caller {number}: {read:?} {answer:?}"
        );
    }
    assert!(TcpStream::connect(address).is_err());
    pool.stop();
}
