//! Request bodies over connections: memory, time limits, and what is forwarded.

use crate::{prelude::*, test_callers, test_http, test_node, test_objects};
use http::HeaderMap;
use std::{
    io::{BufReader, Read, Write},
    net::TcpStream,
    sync::Mutex,
    time::Instant,
};

/// Longest time for which an outcome is waited for.
const MAX_WAIT: Duration = Duration::from_secs(20);
const MIB: usize = 1 << 20;

/// Headers and bodies in the order in which they came.
type ReceivedRequests = Mutex<Vec<(HeaderMap, Vec<u8>)>>;

/// Instance with callers' connections, and two servers that record what they get.
struct Gateway {
    node: Arc<GatewayNode>,
    address: SocketAddr,
    received: Arc<ReceivedRequests>,
}

impl Gateway {
    /// Starts the instance. The servers reject the first requests, this many.
    fn start(settings: &[&str], rejections: usize) -> Self {
        let received: Arc<ReceivedRequests> = Arc::default();
        let node = Arc::new(test_node::build_with(settings));
        // One that may be repeated is sent again if a busy machine makes a server look lost.
        let route = RouteRule {
            max_attempts: 3,
            ..test_callers::order_route(MAX_WAIT)
        };
        test_callers::install_route(&node, route);
        for id in ["s1", "s2"] {
            let records = received.clone();
            let server = test_http::accept_each(move |stream| {
                let records = records.clone();
                std::thread::spawn(move || serve(stream, &records, rejections));
            });
            let entry = ServerEntry {
                address: server,
                ..test_objects::ready_entry(id)
            };
            test_objects::put_server(&node, &entry, 1);
        }
        let (address, _) = test_callers::serve(&node, HttpLimits::default());
        Self {
            node,
            address,
            received,
        }
    }

    /// Sends the head of a request, and the bytes of its body that are sent.
    fn send(&self, fields: &str, body: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let head = format!("POST /order/x HTTP/1.1\r\nhost: a.example\r\n{fields}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        // A refused caller may be answered before it has sent everything.
        let _ = stream.write_all(body);
        stream
    }

    fn send_with_length(&self, length: usize, body: &[u8]) -> TcpStream {
        self.send(&format!("content-length: {length}"), body)
    }

    fn wait_released(&self) {
        let started = Instant::now();
        while self.node.body_memory.used() > 0 {
            assert!(started.elapsed() < MAX_WAIT, "memory is not released");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn serve(mut stream: TcpStream, records: &ReceivedRequests, rejections: usize) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(head) = test_http::read_head(&mut reader) {
        let length = head
            .get("content-length")
            .map_or(0, |length| length.to_str().unwrap().parse().unwrap());
        let mut body = vec![0; length];
        reader.read_exact(&mut body).unwrap();
        let mut records = records.lock().unwrap();
        let is_rejected = records.len() < rejections;
        records.push((head, body));
        drop(records);
        let mut headers = HeaderMap::new();
        let fields = AnswerHeaders {
            signature: (!is_rejected).then_some("s"),
            not_executed: is_rejected,
            ..AnswerHeaders::default()
        };
        fields.set(&mut headers);
        let status = if is_rejected { 503 } else { 200 };
        let answer = test_http::answer(status, &headers, &answer_of(length));
        stream.write_all(answer.as_bytes()).unwrap();
    }
}

/// Body of the answer to a request of this length.
fn answer_of(length: usize) -> String {
    (0..length)
        .map(|index| char::from(b'a' + (index % 23) as u8))
        .collect()
}

/// Status, headers and body of the next answer.
fn read_answer(stream: &TcpStream) -> (u16, HeaderMap, Vec<u8>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut status = [0; 12];
    reader.read_exact(&mut status).unwrap();
    let status = std::str::from_utf8(&status[9..]).unwrap().parse().unwrap();
    let head = test_http::read_head(&mut reader).unwrap();
    let length = head["content-length"].to_str().unwrap().parse().unwrap();
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    (status, head, body)
}

fn body_of(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|index| (index % 251) as u8).collect()
}

// Guards against a body or answer that is altered by its way through blocks, a body that is lost in
// a second attempt, and one that goes on without its length.
#[test]
fn bodies_are_forwarded_as_they_came_in_each_attempt() {
    for rejections in [0, 1] {
        for bytes in [0, 1, 5_000, 65_536, 300_001] {
            let gateway = Gateway::start(&[], rejections);
            let body = body_of(bytes);
            let stream = gateway.send_with_length(bytes, &body);
            let (status, _, answer) = read_answer(&stream);
            assert_eq!(status, 200, "{bytes} bytes");
            assert!(answer == answer_of(bytes).into_bytes(), "{bytes} bytes");
            let received = gateway.received.lock().unwrap();
            assert_eq!(received.len(), rejections + 1);
            for (head, got) in received.iter() {
                assert!(*got == body, "{bytes} bytes");
                assert!(!head.contains_key("transfer-encoding"));
                // As before, an empty body goes on without a length.
                let length = head.get("content-length");
                assert_eq!(length.is_some(), bytes > 0);
                assert!(length.is_none_or(|length| *length == bytes.to_string()));
            }
            drop(received);
            gateway.wait_released();
        }
    }
}

// Guards against a chunked body that goes on without its length or in other bytes.
#[test]
fn chunked_body_is_forwarded_with_its_length() {
    let gateway = Gateway::start(&[], 0);
    let body = body_of(200_000);
    let mut sent = Vec::new();
    for piece in body.chunks(3_000) {
        sent.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        sent.extend_from_slice(piece);
        sent.extend_from_slice(b"\r\n");
    }
    sent.extend_from_slice(b"0\r\n\r\n");
    let stream = gateway.send("transfer-encoding: chunked", &sent);
    assert_eq!(read_answer(&stream).0, 200);
    let received = gateway.received.lock().unwrap();
    assert!(received[0].1 == body);
    assert_eq!(received[0].0["content-length"], "200000");
}

// Guards against bodies stopped one byte short that fill the memory until their callers give up,
// and against a refusal by which their callers do not see that the request has not run.
#[test]
fn stopped_bodies_are_evicted_for_an_ordinary_one() {
    let gateway = Gateway::start(&["--request-memory-mb=4"], 0);
    let body = body_of(MIB);
    let stopped: Vec<_> = (0..3)
        .map(|_| gateway.send_with_length(MIB, &body[1..]))
        .collect();
    let started = Instant::now();
    loop {
        let stream = gateway.send_with_length(MIB, &body);
        match read_answer(&stream) {
            (200, ..) => break,
            (503, headers, _) => assert!(headers.contains_key("retry-after")),
            (status, ..) => panic!("{status}"),
        }
        assert!(started.elapsed() < MAX_WAIT, "never served");
        std::thread::sleep(Duration::from_millis(100));
    }
    let is_answered = |stream: &&TcpStream| {
        stream.set_nonblocking(true).unwrap();
        let has_data = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).unwrap();
        has_data
    };
    let evicted = loop {
        if let Some(stream) = stopped.iter().find(is_answered) {
            break stream;
        }
        assert!(
            started.elapsed() < MAX_WAIT,
            "no answer to an evicted request"
        );
        std::thread::sleep(Duration::from_millis(5));
    };
    let (status, headers, _) = read_answer(evicted);
    assert_eq!(status, 503);
    assert!(headers.contains_key("retry-after"));
    assert_eq!(headers["connection"], "close");
    assert_eq!(gateway.received.lock().unwrap().len(), 1);
    drop(stopped);
    gateway.wait_released();
}

// Guards against small requests that are refused while large bodies fill their part of the memory.
#[test]
fn small_request_is_served_beside_a_full_budget() {
    let gateway = Gateway::start(&["--request-memory-mb=3"], 0);
    let body = body_of(MIB);
    let stopped: Vec<_> = (0..8)
        .map(|_| gateway.send_with_length(MIB, &body[1..]))
        .collect();
    let stream = gateway.send_with_length(9, b"new order");
    assert_eq!(read_answer(&stream).0, 200);
    drop(stopped);
    gateway.wait_released();
}

// Guards against a body that stops and holds its connection for as long as its caller likes.
#[test]
fn stalled_body_is_answered_with_408_and_closed() {
    let gateway = Gateway::start(&["--body-stall-s=0.2"], 0);
    let stream = gateway.send_with_length(1_000, b"part of it");
    let (status, headers, _) = read_answer(&stream);
    assert_eq!(status, 408);
    assert!(headers.contains_key("retry-after"));
    assert_eq!(headers["connection"], "close");
    gateway.wait_released();
    assert!(gateway.received.lock().unwrap().is_empty());
}

// Guards against memory that stays reserved after a caller has disconnected within its body.
#[test]
fn disconnected_caller_releases_its_memory() {
    let gateway = Gateway::start(&["--body-stall-s=3600"], 0);
    let stream = gateway.send_with_length(MIB, &body_of(MIB / 2));
    let started = Instant::now();
    while gateway.node.body_memory.used() < MIB / 4 {
        assert!(started.elapsed() < MAX_WAIT, "body is not read");
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(stream);
    gateway.wait_released();
}

// Guards against a body beyond the limit that is read before it is refused.
#[test]
fn announced_length_beyond_the_limit_is_refused_before_the_body_comes() {
    let gateway = Gateway::start(&[], 0);
    let stream = gateway.send_with_length(MIB + 1, b"");
    assert_eq!(read_answer(&stream).0, 413);
}
