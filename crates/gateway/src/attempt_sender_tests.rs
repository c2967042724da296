//! Attempts of one request at a server that answers with second copies.

use crate::{
    attempt_sender, prelude::*, server_lookup_tests, server_reservation_tests, test_http,
    test_node, test_objects,
};
use http::{HeaderMap, HeaderValue};
use std::{
    io::{BufReader, Write},
    net::TcpStream,
};

/// Server that rejects the first request, and sends a second copy of that answer on its connection.
struct CopyingServer {
    /// Number of answers between the rejection and its copy.
    answers_between: usize,
    connections: AtomicUsize,
    requests: AtomicUsize,
}

impl CopyingServer {
    fn start(answers_between: usize) -> (Arc<Self>, SocketAddr) {
        let server = Arc::new(Self {
            answers_between,
            connections: AtomicUsize::default(),
            requests: AtomicUsize::default(),
        });
        let acceptor = server.clone();
        let address = test_http::accept_each(move |stream| {
            acceptor.connections.fetch_add(1, Ordering::SeqCst);
            let server = acceptor.clone();
            std::thread::spawn(move || server.serve(stream));
        });
        (server, address)
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut rejection: Option<String> = None;
        let mut answers_since = 0;
        while let Some(head) = test_http::read_head(&mut reader) {
            let id = RequestHeaders::from(&head).request_id.unwrap();
            let is_rejected = self.requests.fetch_add(1, Ordering::SeqCst) == 0;
            if answers_since == self.answers_between
                && let Some(copy) = rejection.take()
            {
                stream.write_all(copy.as_bytes()).unwrap();
            }
            let answer = answer(&id, is_rejected);
            stream.write_all(answer.as_bytes()).unwrap();
            match is_rejected {
                true => rejection = Some(answer),
                false => answers_since += 1,
            }
        }
    }
}

fn answer(id: &HeaderValue, is_rejected: bool) -> String {
    let mut headers = HeaderMap::new();
    headers.insert("keep-alive", HeaderValue::from_static("timeout=5"));
    let fields = AnswerHeaders {
        request_id: Some(id),
        signature: (!is_rejected).then_some("s"),
        not_executed: is_rejected,
        ..AnswerHeaders::default()
    };
    fields.set(&mut headers);
    let status = if is_rejected { 503 } else { 200 };
    test_http::answer(status, &headers, "")
}

/// A request with this identifier.
pub(crate) fn call(node: &GatewayNode, id: &'static str) -> CallerCall {
    let mut call = server_lookup_tests::late_call(node.now());
    let headers = RequestHeaders {
        request_id: Some(HeaderValue::from_static(id)),
        ..RequestHeaders::default()
    };
    headers.set(&mut call.parts.headers);
    call.headers = headers;
    call
}

/// Result of one attempt of a request at a server.
pub(crate) fn send(
    node: &Arc<GatewayNode>,
    server: &Arc<ServerRuntime>,
    call: &CallerCall,
) -> AttemptResult {
    let state = node.service("s");
    let reservation = server_reservation_tests::reservation_of(node, server, None);
    let sent = attempt_sender::send_attempt(node, call, &state, &reservation);
    node.workers.block_on(sent)
}

fn start(answers_between: usize) -> (Arc<GatewayNode>, Arc<CopyingServer>, Arc<ServerRuntime>) {
    let (server, address) = CopyingServer::start(answers_between);
    let node = Arc::new(test_node::build());
    let runtime = test_objects::server_at(&node, address);
    (node, server, runtime)
}

// Guards against a 503 for a request that runs: the second copy of the rejection of its first
// attempt is taken for the answer to its second one.
#[test]
fn second_copy_of_a_rejection_is_not_the_answer_to_the_next_attempt() {
    let (node, server, runtime) = start(0);
    let call = call(&node, "order-1");
    let first = send(&node, &runtime, &call);
    assert!(matches!(first, AttemptResult::NotRun), "{first:?}");
    let second = send(&node, &runtime, &call);
    assert!(matches!(second, AttemptResult::Answered(_)), "{second:?}");
    assert_eq!(server.requests.load(Ordering::SeqCst), 2);
}

// Guards against the same where the copy comes one answer later, and against a new connection for
// each rejection: other requests go on using the one on which it came.
#[test]
fn connection_of_a_rejection_carries_other_requests_but_not_the_same_one_again() {
    let (node, server, runtime) = start(1);
    let call_1 = call(&node, "order-1");
    let first = send(&node, &runtime, &call_1);
    assert!(matches!(first, AttemptResult::NotRun), "{first:?}");
    let other = send(&node, &runtime, &call(&node, "order-2"));
    assert!(matches!(other, AttemptResult::Answered(_)), "{other:?}");
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
    let second = send(&node, &runtime, &call_1);
    assert!(matches!(second, AttemptResult::Answered(_)), "{second:?}");
    assert_eq!(server.connections.load(Ordering::SeqCst), 2);
}
