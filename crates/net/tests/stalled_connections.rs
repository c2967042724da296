//! Tests of connections whose peers stop sending a request or reading an answer.

mod common;

use {
    bytes::Bytes,
    common::ObservedListener,
    geraniummast_net::{ConnectionEvent, HttpLimits, HttpListener, StallKind, StallLimits},
    http::Response,
    http_body_util::Full,
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::TcpStream,
        time::Duration,
    },
};

/// More than the buffers of two sockets hold.
const LARGE_BODY_BYTES: usize = 32 << 20;
const SHORT: Duration = Duration::from_millis(300);
/// Longer than a test waits.
const LONG: Duration = Duration::from_secs(600);

/// Listener that closes stalled connections.
fn start(stall_limits: StallLimits) -> ObservedListener {
    let limits = HttpLimits {
        head_timeout: LONG,
        ..HttpLimits::default()
    };
    let configure = |listener: HttpListener| listener.close_stalled(move || stall_limits);
    ObservedListener::start(limits, configure, |request| async move {
        let length = match request.uri().path() {
            "/large" => LARGE_BODY_BYTES,
            _ => 2,
        };
        Response::new(Full::new(Bytes::from(vec![b'x'; length])))
    })
}

fn exchange(stream: &mut TcpStream) -> String {
    stream
        .write_all(b"GET /small HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert_ne!(reader.read_line(&mut head).unwrap(), 0, "{head}");
    }
    let mut body = [0; 2];
    reader.read_exact(&mut body).unwrap();
    head
}

// Load pattern: callers that do not read their answers. Guards against answers that are held in
// memory for as long as their callers keep the connection open.
#[test]
fn connection_whose_peer_does_not_read_is_closed() {
    let listener = start(StallLimits {
        head: LONG,
        write: SHORT,
    });
    let mut kept = listener.open();
    exchange(&mut kept);
    let mut unread = listener.open();
    unread
        .write_all(b"GET /large HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    let event = listener.next_event();
    assert_eq!(event, ConnectionEvent::Stalled(StallKind::Write));
    assert_eq!(listener.connections.count(), 1);
    assert!(exchange(&mut kept).starts_with("HTTP/1.1 200"));
}

// Load pattern: callers that read a large answer late. Guards against answers that are cut although
// their callers read them.
#[test]
fn answer_that_is_read_before_the_limit_is_complete() {
    let listener = start(StallLimits {
        head: LONG,
        write: LONG,
    });
    let mut stream = listener.open();
    stream
        .write_all(b"GET /large HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .unwrap();
    let mut first = [0; 4_096];
    stream.read_exact(&mut first).unwrap();
    std::thread::sleep(2 * SHORT);
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).unwrap();
    assert!(first.len() + rest.len() > LARGE_BODY_BYTES);
}

// Load pattern: heads sent in part and held, beside silent and kept connections. Guards against
// stalled heads that occupy connections, and against closing connections that only rest.
#[test]
fn connection_with_a_stalled_head_is_closed_and_resting_ones_stay() {
    let listener = start(StallLimits {
        head: SHORT,
        write: LONG,
    });
    let mut silent = listener.open();
    let mut kept = listener.open();
    exchange(&mut kept);
    let mut first_head = listener.open();
    first_head.write_all(b"GET /small HTTP/1.1\r\n").unwrap();
    let stalled = ConnectionEvent::Stalled(StallKind::Head);
    assert_eq!(listener.next_event(), stalled);
    let mut later_head = listener.open();
    exchange(&mut later_head);
    later_head.write_all(b"GET /small HTTP/1.1\r\n").unwrap();
    assert_eq!(listener.next_event(), stalled);
    for stream in [&mut first_head, &mut later_head] {
        assert!(matches!(stream.read(&mut [0]), Ok(0)));
    }
    for stream in [&mut silent, &mut kept] {
        assert!(exchange(stream).starts_with("HTTP/1.1 200"));
    }
}
