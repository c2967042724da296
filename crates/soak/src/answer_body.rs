//! Bodies of the servers' answers: whole ones, and such that break off.

use crate::prelude::*;
use futures_util::stream;
use http_body_util::{StreamBody, combinators::BoxBody};
use hyper::body::Frame;
use xxhash_rust::xxh3::xxh3_64;

/// Body of an answer that may break off.
pub(crate) type AnswerBody = BoxBody<Bytes, std::io::Error>;

/// Body of an answer: the request, the server, padding, and a checksum.
pub(crate) fn build_body(id: &str, incarnation: &ServerIncarnation) -> Bytes {
    let padding = "x".repeat(rand::random_range(0..4_000));
    let text = format!("{id}|{incarnation}|{padding}|");
    let sum = xxh3_64(text.as_bytes());
    format!("{text}{sum:016x}").into()
}

/// What is wrong with an answer's body.
pub(crate) fn body_error(id: &str, body: &[u8]) -> Option<&'static str> {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let Some((start, sum)) = text.rsplit_once('|') else {
        return Some("a body that is none of a server");
    };
    let are_all_ready = format!("{:016x}", xxh3_64(format!("{start}|").as_bytes())) == sum;
    match (are_all_ready, text.split('|').next() == Some(id)) {
        (false, _) => Some("a body that is not whole"),
        (true, false) => Some("the body of another request"),
        (true, true) => None,
    }
}

/// A whole body.
pub(crate) fn full_body(body: Bytes) -> AnswerBody {
    Full::new(body).map_err(|never| match never {}).boxed()
}

/// The first half of a body, and then the end of the connection.
pub(crate) fn truncated_body(body: &Bytes) -> AnswerBody {
    let half = body.slice(..body.len() / 2);
    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let pieces = [Ok(Frame::data(half)), Err(broken)];
    StreamBody::new(stream::iter(pieces)).boxed()
}
