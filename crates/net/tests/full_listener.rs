//! Tests of a listener that has as many connections as it may.

mod common;
mod waiting;

use {
    bytes::Bytes,
    common::ObservedListener,
    geraniummast_net::{ConnectionEvent, ConnectionPhase, HttpLimits, HttpListener, OneShotEvent},
    http::{Request, Response},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{
        io::{ErrorKind, Read, Write},
        net::TcpStream,
        ops::Deref,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

const MAX_CONNECTIONS: usize = 3;

/// Listener that replaces resting connections; requests for `/held` are answered when released.
struct FullListener {
    listener: ObservedListener,
    /// Paths of the requests that were passed on.
    passed_on: Arc<Mutex<Vec<String>>>,
    /// Set when held requests are to be answered.
    release: Arc<OneShotEvent>,
}

impl Deref for FullListener {
    type Target = ObservedListener;

    fn deref(&self) -> &ObservedListener {
        &self.listener
    }
}

impl FullListener {
    fn start() -> Self {
        let limits = HttpLimits {
            max_connections: MAX_CONNECTIONS,
            // Longer than a test waits, so that no connection is closed for another reason.
            head_timeout: Duration::from_secs(600),
            ..HttpLimits::default()
        };
        let passed_on: Arc<Mutex<Vec<String>>> = Arc::default();
        let release: Arc<OneShotEvent> = Arc::default();
        let (paths, released) = (passed_on.clone(), release.clone());
        let handle = move |request: Request<Incoming>| {
            let path = request.uri().path().to_string();
            paths.lock().unwrap().push(path.clone());
            let released = released.clone();
            async move {
                // Lets a connection be chosen while it has a request in progress.
                futures_lite::future::yield_now().await;
                if path == "/held" {
                    released.wait().await;
                }
                Response::new(Full::new(Bytes::from("ok")))
            }
        };
        Self {
            listener: ObservedListener::start(limits, HttpListener::replace_resting, handle),
            passed_on,
            release,
        }
    }

    fn open_all(&self, count: usize) -> Vec<TcpStream> {
        let streams = (0..count).map(|number| {
            let stream = self.open();
            self.wait(|| self.connections.count() == number + 1);
            stream
        });
        streams.collect()
    }

    fn wait_passed_on(&self, path: &str) {
        self.wait(|| {
            let paths = self.passed_on.lock().unwrap();
            paths.iter().any(|passed| passed == path)
        });
    }
}

fn send(stream: &mut TcpStream, path: &str) -> std::io::Result<()> {
    stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").as_bytes())
}

/// Reads one answer; returns what came before the connection's end if it is cut.
fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"\r\n\r\nok") {
        match stream.read(&mut byte) {
            Ok(1) => answer.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8(answer).unwrap()
}

fn exchange(stream: &mut TcpStream, path: &str) -> String {
    match send(stream, path) {
        Ok(()) => read_answer(stream),
        Err(_) => String::new(),
    }
}

fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

// Load pattern: more silent connections than the limit. Guards against silent connections that lock
// out a caller, and against more open connections than allowed.
#[test]
fn caller_is_served_among_more_silent_connections_than_allowed() {
    let listener = FullListener::start();
    let mut silent = listener.open_all(MAX_CONNECTIONS);
    for _ in 0..20 {
        silent.push(listener.open());
    }
    let mut caller = listener.open();
    assert!(exchange(&mut caller, "/a").starts_with("HTTP/1.1 200"));
    assert!(listener.connections.count() <= MAX_CONNECTIONS);
    for stream in &mut silent[..20] {
        assert!(is_closed(stream));
    }
    let event = listener.next_event();
    let ConnectionEvent::Replaced { phase, .. } = event else {
        panic!("{event:?}");
    };
    assert_eq!(phase, ConnectionPhase::Silent);
    assert_eq!(listener.connections.refused(), 0);
}

// Load pattern: connections on which only an empty line was sent. Guards against connections that
// are not closed when they give way, and no longer count.
#[test]
fn connection_with_only_an_empty_line_gives_way() {
    let listener = FullListener::start();
    let mut silent = listener.open_all(MAX_CONNECTIONS);
    for stream in &mut silent[..2] {
        stream.write_all(b"\r\n").unwrap();
    }
    assert!(exchange(&mut silent[2], "/later").starts_with("HTTP/1.1 200"));
    let mut caller = listener.open();
    assert!(exchange(&mut caller, "/a").starts_with("HTTP/1.1 200"));
    assert!(is_closed(&mut silent[0]));
    assert!(listener.connections.count() <= MAX_CONNECTIONS);
}

// Load pattern: kept connections beside a busy one. Guards against closing a connection with a
// request in progress, or a kept one that was used later.
#[test]
fn kept_connection_gives_way_and_a_busy_one_does_not() {
    let listener = FullListener::start();
    let mut streams = listener.open_all(MAX_CONNECTIONS);
    send(&mut streams[0], "/held").unwrap();
    listener.wait_passed_on("/held");
    assert!(exchange(&mut streams[2], "/first").starts_with("HTTP/1.1 200"));
    assert!(exchange(&mut streams[1], "/second").starts_with("HTTP/1.1 200"));
    let mut caller = listener.open();
    assert!(exchange(&mut caller, "/a").starts_with("HTTP/1.1 200"));
    assert!(is_closed(&mut streams[2]));
    assert!(exchange(&mut streams[1], "/third").starts_with("HTTP/1.1 200"));
    listener.release.set();
    assert!(read_answer(&mut streams[0]).starts_with("HTTP/1.1 200"));
}

// Load pattern: all connections busy, one of them with a part of a head. Guards against losing a
// request that has begun.
#[test]
fn new_connection_is_refused_when_all_are_busy() {
    let listener = FullListener::start();
    let mut streams = listener.open_all(MAX_CONNECTIONS);
    for stream in &mut streams[..2] {
        send(stream, "/held").unwrap();
    }
    streams[2].write_all(b"GET /part HTTP/1.1\r\n").unwrap();
    listener.wait(|| listener.connections.resting() == 0);
    assert!(is_closed(&mut listener.open()));
    assert_eq!(listener.next_event(), ConnectionEvent::Refused);
    assert_eq!(listener.connections.refused(), 1);
    listener.release.set();
    streams[2].write_all(b"host: x\r\n\r\n").unwrap();
    for stream in &mut streams {
        assert!(read_answer(stream).starts_with("HTTP/1.1 200"));
    }
}

// Load pattern: callers reuse kept connections while others give way. Guards against a request that
// was passed on and whose answer is lost because its connection was chosen at that moment.
#[test]
fn request_that_was_passed_on_is_answered_when_its_connection_gives_way() {
    let listener = FullListener::start();
    let mut streams = listener.open_all(MAX_CONNECTIONS);
    for stream in &mut streams {
        assert!(exchange(stream, "/warm").starts_with("HTTP/1.1 200"));
    }
    let mut answered = 0;
    for round in 0..300 {
        let mut oldest = streams.remove(0);
        let path = format!("/{round}");
        let address = listener.address;
        let opener = std::thread::spawn(move || TcpStream::connect(address).unwrap());
        let answer = exchange(&mut oldest, &path);
        let is_answered = answer.ends_with("\r\n\r\nok");
        answered += usize::from(is_answered);
        let paths = listener.passed_on.lock().unwrap().clone();
        assert_eq!(
            paths.contains(&path),
            is_answered,
            "round {round}: {answer:?}"
        );
        let mut newest = opener.join().unwrap();
        newest
            .set_read_timeout(Some(Duration::from_secs(30)))
            .unwrap();
        assert!(exchange(&mut newest, "/warm").starts_with("HTTP/1.1 200"));
        streams.push(newest);
    }
    println!("{answered} of 300 were answered");
}

// Load pattern: a request arrives together with the connection for which its own gives way. Guards
// against a request that is cut because it was read after its connection had been chosen.
#[test]
fn request_that_arrives_with_a_new_connection_is_answered() {
    let listener = FullListener::start();
    let mut streams = listener.open_all(MAX_CONNECTIONS);
    for stream in &mut streams {
        assert!(exchange(stream, "/warm").starts_with("HTTP/1.1 200"));
    }
    let mut answered_last = 0;
    for round in 0..50 {
        listener.wait(|| listener.connections.resting() == MAX_CONNECTIONS);
        listener.pool.pause();
        let mut newest = listener.open();
        let mut oldest = streams.remove(0);
        let path = format!("/oldest-{round}");
        let sent = send(&mut oldest, &path);
        listener.pool.resume();
        let answer = sent.map_or(String::new(), |()| read_answer(&mut oldest));
        // The connection may have been closed before the pool paused.
        let is_answered = answer.ends_with("\r\n\r\nok");
        let paths = listener.passed_on.lock().unwrap().clone();
        assert_eq!(paths.contains(&path), is_answered, "{answer:?}");
        answered_last += usize::from(answer.contains("connection: close"));
        assert!(exchange(&mut newest, "/warm").starts_with("HTTP/1.1 200"));
        if is_answered && !answer.contains("connection: close") {
            streams.push(oldest);
        }
        // The next round begins with the connection that has been idle for longest.
        streams.retain_mut(|stream| exchange(stream, "/warm").starts_with("HTTP/1.1 200"));
        assert!(exchange(&mut newest, "/warm").starts_with("HTTP/1.1 200"));
        streams.push(newest);
    }
    assert!(
        answered_last > 0,
        "the requests came before the choice each time"
    );
}
