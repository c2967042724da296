//! Tests of answers that are still on their way when their connection is closed.

mod common;
mod waiting;

use {
    bytes::Bytes,
    common::ObservedListener,
    geraniummast_net::{ConnectionEvent, ConnectionPhase, HttpLimits, HttpListener, OneShotEvent},
    http::{Request, Response, header},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{
        io::{Read, Write},
        net::TcpStream,
        ops::Deref,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Size of an answer's body: as much as the buffers of two sockets hold, so that some of it is still to
/// be sent when its connection is closed.
const BODY_BYTES: usize = 1 << 20;
/// Time for which a caller does not read.
const READ_DELAY: Duration = Duration::from_millis(300);
const MAX_CONNECTIONS: usize = 2;

/// Listener that answers `/held` when released, and closes the connection after the answer to `/last`.
struct LargeAnswers {
    listener: ObservedListener,
    release: Arc<OneShotEvent>,
    /// Requests that were passed on.
    passed_on: Arc<AtomicUsize>,
}

impl Deref for LargeAnswers {
    type Target = ObservedListener;

    fn deref(&self) -> &ObservedListener {
        &self.listener
    }
}

impl LargeAnswers {
    fn start() -> Self {
        let limits = HttpLimits {
            max_connections: MAX_CONNECTIONS,
            head_timeout: Duration::from_secs(600),
            ..HttpLimits::default()
        };
        let release: Arc<OneShotEvent> = Arc::default();
        let passed_on: Arc<AtomicUsize> = Arc::default();
        let (released, count) = (release.clone(), passed_on.clone());
        let handle = move |request: Request<Incoming>| {
            count.fetch_add(1, Ordering::SeqCst);
            let released = released.clone();
            let path = request.uri().path().to_string();
            async move {
                if path == "/held" {
                    released.wait().await;
                }
                let mut response = Response::new(Full::new(Bytes::from(vec![7; BODY_BYTES])));
                if path == "/last" {
                    let close = header::HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                response
            }
        };
        Self {
            listener: ObservedListener::start(limits, HttpListener::replace_resting, handle),
            release,
            passed_on,
        }
    }

    /// Sends a request, waits until it is passed on, and sends these bytes behind it, apart from each
    /// other.
    fn send_with_more_behind(&self, first: &str, behind: &[&[u8]]) -> TcpStream {
        let before = self.passed_on.load(Ordering::SeqCst);
        let mut stream = self.open();
        stream.write_all(first.as_bytes()).unwrap();
        self.wait(|| self.passed_on.load(Ordering::SeqCst) > before);
        for bytes in behind {
            thread::sleep(Duration::from_millis(50));
            stream.write_all(bytes).unwrap();
        }
        stream
    }

    fn wait_closed(&self) {
        self.wait(|| self.connections.count() == 0);
    }
}

fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n")
}

/// Reads to the end of the connection after a while; returns the length of the first answer's body, or of
/// the part that came.
fn read_slowly(mut stream: TcpStream) -> usize {
    thread::sleep(READ_DELAY);
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    let head_end = received.windows(4).position(|window| window == b"\r\n\r\n");
    let head_bytes = head_end.map_or(received.len(), |position| position + 4);
    received.len() - head_bytes
}

// Guards against answers that are cut by a stop, since further requests wait unread behind them
// (docs/incidents/cut-answers.md).
#[test]
fn answer_before_unread_requests_is_complete_when_the_connection_closes() {
    let listener = LargeAnswers::start();
    let next = request("/next");
    let stream = listener.send_with_more_behind(&request("/held"), &[next.as_bytes(); 2]);
    listener.connections.disable_keep_alive();
    listener.release.set();
    assert_eq!(read_slowly(stream), BODY_BYTES);
    assert_eq!(
        listener.passed_on.load(Ordering::SeqCst),
        1,
        "the others are not run"
    );
    listener.wait_closed();
}

// Guards against the same where the answer itself, or the caller, closes the connection.
#[test]
fn answer_that_closes_the_connection_is_complete() {
    let listener = LargeAnswers::start();
    let next = request("/next");
    let heads = [
        request("/last"),
        "GET / HTTP/1.0\r\n\r\n".into(),
        "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".into(),
    ];
    for first in heads {
        let stream = listener.send_with_more_behind(&first, &[next.as_bytes(); 2]);
        assert_eq!(read_slowly(stream), BODY_BYTES, "{first}");
    }
    listener.wait_closed();
}

// Guards against the same where what follows the request cannot be read as one.
#[test]
fn answer_before_bytes_that_are_no_request_is_complete() {
    let listener = LargeAnswers::start();
    let garbage = b"\x00\x01\x02\r\n\r\n".repeat(2_000);
    let stream = listener.send_with_more_behind(&request("/held"), &[garbage.as_slice(); 2]);
    listener.release.set();
    assert!(read_slowly(stream) >= BODY_BYTES);
    listener.wait_closed();
}

// Guards against the same where the body of the request is refused before it has come.
#[test]
fn answer_before_an_unread_body_is_complete() {
    let listener = LargeAnswers::start();
    let head = format!("POST /last HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    let stream = listener.send_with_more_behind(&head, &[]);
    let mut sender = stream.try_clone().unwrap();
    let sending = thread::spawn(move || sender.write_all(&[b'x'; BODY_BYTES]));
    assert_eq!(read_slowly(stream), BODY_BYTES);
    sending.join().unwrap().unwrap();
    listener.wait_closed();
}

// Guards against the same where a caller sends a request while its connection is closed as idle.
#[test]
fn answer_is_complete_when_a_request_crosses_the_close() {
    let listener = LargeAnswers::start();
    let mut stream = listener.send_with_more_behind(&request("/first"), &[]);
    thread::sleep(READ_DELAY);
    listener.connections.close();
    thread::sleep(READ_DELAY);
    stream.write_all(request("/crossing").as_bytes()).unwrap();
    assert_eq!(read_slowly(stream), BODY_BYTES);
    listener.wait_closed();
}

// Load pattern: callers that neither close their connections nor stop sending. Guards against
// connections that are closed and stay open for as long as their callers like.
#[test]
fn connection_of_a_caller_that_goes_on_sending_ends() {
    let listener = LargeAnswers::start();
    let mut stream = listener.send_with_more_behind(&request("/last"), &[]);
    let silent = listener.send_with_more_behind(&request("/last"), &[]);
    let sending = thread::spawn(move || while stream.write_all(&[b'x'; 1 << 16]).is_ok() {});
    listener.wait_closed();
    sending.join().unwrap();
    drop(silent);
}

// Load pattern: more closed connections that callers keep than the limit. Guards against connections
// that lock out a caller although their last answers have been sent.
#[test]
fn closed_connections_give_way_to_new_ones() {
    let listener = LargeAnswers::start();
    let kept: Vec<_> = (0..MAX_CONNECTIONS)
        .map(|_| listener.send_with_more_behind(&request("/last"), &[]))
        .collect();
    thread::sleep(READ_DELAY);
    let stream = listener.send_with_more_behind(&request("/last"), &[]);
    let event = listener.next_event();
    let ConnectionEvent::Replaced { phase, .. } = event else {
        panic!("{event:?}");
    };
    assert_eq!(phase, ConnectionPhase::Lingering);
    assert_eq!(read_slowly(stream), BODY_BYTES);
    drop(kept);
}
