//! A store for tests that gives prepared answers.

use crate::prelude::*;
use http::HeaderMap;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::Mutex,
};

/// Answers in their order, each a status and a body.
pub(crate) type StoreAnswers = Vec<(u16, serde_json::Value)>;

/// Header fields, status and body of an answer.
type PreparedAnswer = (HeaderMap, (u16, serde_json::Value));

/// Starts a store that gives these answers in turn, on any connection.
pub(crate) fn start(answers: StoreAnswers) -> SocketAddr {
    let answers = answers.into_iter();
    start_with_headers(answers.map(|answer| (HeaderMap::new(), answer)).collect())
}

/// The same of a store whose answers each state the era that stands before them.
pub(crate) fn start_with_eras(answers: Vec<(u64, (u16, serde_json::Value))>) -> SocketAddr {
    let with_header = |(era, answer)| {
        let mut headers = HeaderMap::new();
        EraHeader::set(&mut headers, era);
        (headers, answer)
    };
    start_with_headers(answers.into_iter().map(with_header).collect())
}

fn start_with_headers(answers: Vec<PreparedAnswer>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answers = Arc::new(Mutex::new(answers.into_iter()));
    std::thread::spawn(move || {
        // A client may open a connection before it has put the last one back.
        while let Ok((stream, _)) = listener.accept() {
            let answers = answers.clone();
            std::thread::spawn(move || serve(stream, &answers));
        }
    });
    address
}

/// Answers the requests on one connection.
fn serve(mut stream: TcpStream, answers: &Mutex<std::vec::IntoIter<PreparedAnswer>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(length) = read_head(&mut reader) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body).unwrap();
        let Some((headers, (status, answer))) = answers.lock().unwrap().next() else {
            return;
        };
        let answer = answer.to_string();
        let length = answer.len();
        let fields = headers.iter();
        let fields: String = fields
            .map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap()))
            .collect();
        write!(
            stream,
            "HTTP/1.1 {status} Answer\r\n{fields}content-length: {length}\r\n\r\n{answer}"
        )
        .unwrap();
    }
}

/// Reads the head of a request; returns the length of its body, or `None` at the connection's end.
fn read_head(reader: &mut impl BufRead) -> Option<usize> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_lowercase();
        if line.is_empty() {
            return Some(length);
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
}
