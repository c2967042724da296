//! Attempts of requests at a server that answers with statuses which no final answer has.

use crate::{attempt_sender_tests, prelude::*, test_http, test_node, test_objects};
use http::{HeaderMap, HeaderValue};
use std::io::{BufReader, Write};

const REQUEST_ID: &str = "order-1";

/// Starts a server that signs all answers and gives them this status.
fn start_server(status: &'static str) -> SocketAddr {
    test_http::accept_each(move |mut stream| {
        std::thread::spawn(move || {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while test_http::read_head(&mut reader).is_some() {
                if stream.write_all(answer(status).as_bytes()).is_err() {
                    return;
                }
            }
        });
    })
}

fn answer(status: &str) -> String {
    let mut headers = HeaderMap::new();
    let id = HeaderValue::from_static(REQUEST_ID);
    let fields = AnswerHeaders {
        request_id: Some(&id),
        signature: Some("s"),
        ..AnswerHeaders::default()
    };
    fields.set(&mut headers);
    let answer = test_http::answer(200, &headers, "body");
    answer.replacen("200", status, 1)
}

fn send_to_server_with(status: &'static str) -> AttemptResult {
    let node = Arc::new(test_node::build());
    let runtime = test_objects::server_at(&node, start_server(status));
    let call = attempt_sender_tests::call(&node, REQUEST_ID);
    attempt_sender_tests::send(&node, &runtime, &call)
}

// Guards against an answer with a status such as 000 that a caller gets as an answer: the server is in
// trouble, and its request may have run.
#[test]
fn answer_whose_status_is_none_of_a_final_answer_goes_to_no_caller() {
    for status in [
        "000", "001", "099", "101", "600", "999", "0", "20", "2000", "-20", "abc", "",
    ] {
        let result = send_to_server_with(status);
        assert!(
            matches!(
                result,
                AttemptResult::Unclear(_) | AttemptResult::ConnectionLost(_)
            ),
            "{status:?}: {result:?}"
        );
    }
}

// Guards against the opposite: each status of a final answer is the server's to give.
#[test]
fn answer_with_any_status_of_a_final_answer_goes_to_the_caller() {
    for status in ["200", "226", "304", "399", "404", "499", "500", "599"] {
        let result = send_to_server_with(status);
        let (AttemptResult::Answered(answer) | AttemptResult::Failed(answer)) = result else {
            panic!("{status}: {result:?}");
        };
        assert_eq!(answer.status().as_str(), status);
    }
}
