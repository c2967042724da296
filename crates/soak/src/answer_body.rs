//! Answer bodies of simulated servers, complete or truncated, and their verification.

use crate::prelude::*;
use futures_util::stream;
use http_body_util::{StreamBody, combinators::BoxBody};
use hyper::body::Frame;
use xxhash_rust::xxh3::xxh3_64;

/// Answer body that may fail while it is sent.
pub(crate) type AnswerBody = BoxBody<Bytes, std::io::Error>;

/// Builds a body of the request identifier, the server, random padding and a checksum.
pub(crate) fn build_body(id: &str, incarnation: &ServerIncarnation) -> Bytes {
    let padding = "x".repeat(rand::random_range(0..4_000));
    let text = format!("{id}|{incarnation}|{padding}|");
    let sum = xxh3_64(text.as_bytes());
    format!("{text}{sum:016x}").into()
}

/// Returns what is wrong with the body of an answer to request `id`; `None` if it is valid.
pub(crate) fn body_error(id: &str, body: &[u8]) -> Option<&'static str> {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let Some((start, sum)) = text.rsplit_once('|') else {
        return Some("a body that is not in the format of the servers");
    };
    let is_complete = format!("{:016x}", xxh3_64(format!("{start}|").as_bytes())) == sum;
    match (is_complete, text.split('|').next() == Some(id)) {
        (false, _) => Some("a body that fails its checksum"),
        (true, false) => Some("the body of another request"),
        (true, true) => None,
    }
}

/// Returns a body that is sent completely.
pub(crate) fn full_body(body: Bytes) -> AnswerBody {
    Full::new(body).map_err(|never| match never {}).boxed()
}

/// Returns a body that goes on until the connection is closed.
pub(crate) fn endless_body() -> AnswerBody {
    const PIECE: &[u8] = &[b'x'; 64 << 10];
    let pieces = stream::repeat_with(|| Ok(Frame::data(Bytes::from_static(PIECE))));
    StreamBody::new(pieces).boxed()
}

/// Returns a body that ends after its first half with a connection reset.
pub(crate) fn truncated_body(body: &Bytes) -> AnswerBody {
    let half = body.slice(..body.len() / 2);
    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let pieces = [Ok(Frame::data(half)), Err(broken)];
    StreamBody::new(stream::iter(pieces)).boxed()
}
