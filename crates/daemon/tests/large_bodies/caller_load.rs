//! Callers that load an instance, and the ordinary request that is sent beside them.

use crate::small_site::{HOST, LOOKUP_PREFIX};
use geraniummast_platform::RequestHeaders;
use http::{HeaderMap, HeaderValue};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Longest time for which a caller waits to send or receive the next bytes.
const STALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest time for which the ordinary request is repeated.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(45);
/// Longest pause between two attempts of the ordinary request.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Time for which the instance reads what the kernel has buffered after the callers have sent.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// How a caller delimits its body.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum BodyFraming {
    Length,
    Chunked,
}

/// Body of a caller's request, and how much of it is sent.
#[derive(Clone, Copy)]
pub(crate) struct SentBody {
    pub(crate) framing: BodyFraming,
    /// Length of the body, in bytes.
    pub(crate) length: usize,
    /// Number of bytes at the end that are never sent.
    pub(crate) withheld: usize,
    /// Length of each piece, in bytes.
    pub(crate) piece: usize,
    /// Pause after each piece.
    pub(crate) pause: Duration,
}

impl SentBody {
    /// Complete body that is sent as fast as possible.
    pub(crate) fn complete(length: usize) -> Self {
        Self {
            framing: BodyFraming::Length,
            length,
            withheld: 0,
            piece: 64 << 10,
            pause: Duration::ZERO,
        }
    }

    /// Sends head and body; the caller of this function may keep the connection open.
    pub(crate) fn send(&self, stream: &mut TcpStream, path: &str) -> std::io::Result<()> {
        let framing = match self.framing {
            BodyFraming::Length => format!("Content-Length: {}", self.length),
            BodyFraming::Chunked => "Transfer-Encoding: chunked".into(),
        };
        stream.write_all(head("POST", path, &framing).as_bytes())?;
        let data = vec![b'x'; self.piece];
        let mut left = self.length - self.withheld;
        while left > 0 {
            let piece = &data[..left.min(self.piece)];
            match self.framing {
                BodyFraming::Length => stream.write_all(piece)?,
                BodyFraming::Chunked => {
                    let size = format!("{:x}\r\n", piece.len());
                    stream.write_all(&[size.as_bytes(), piece, b"\r\n"].concat())?;
                }
            }
            left -= piece.len();
            if !self.pause.is_zero() {
                std::thread::sleep(self.pause);
            }
        }
        match self.framing == BodyFraming::Chunked && self.withheld == 0 {
            true => stream.write_all(b"0\r\n\r\n"),
            false => Ok(()),
        }
    }
}

/// Head of a request with a long deadline, so that slow machines serve it too.
pub(crate) fn head(method: &str, path: &str, framing: &str) -> String {
    let id: u64 = rand::random();
    let described = RequestHeaders {
        request_id: HeaderValue::from_str(&format!("{id:016x}")).ok(),
        caller_timeout: Some(Duration::from_secs(30)),
        key: None,
    };
    let mut headers = HeaderMap::new();
    described.set(&mut headers);
    let lines = headers.iter().map(|(name, value)| {
        let value = value.to_str().unwrap_or_default();
        format!("{name}: {value}\r\n")
    });
    let lines: String = lines.collect();
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{lines}{framing}\r\n\r\n")
}

/// Opens a connection that gives up after [`STALL_TIMEOUT`] without progress.
pub(crate) fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, STALL_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(STALL_TIMEOUT))?;
    stream.set_write_timeout(Some(STALL_TIMEOUT))?;
    Ok(stream)
}

/// Runs callers on threads of their own; returns their connections, which are still open.
///
/// A caller whose connection the instance refuses or closes ends without an error.
pub(crate) fn run_callers(
    address: SocketAddr,
    count: usize,
    send: impl Fn(&mut TcpStream) -> std::io::Result<()> + Sync,
) -> Vec<TcpStream> {
    let run = || {
        let mut stream = connect(address).ok()?;
        let _ = send(&mut stream);
        Some(stream)
    };
    let streams = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..count).map(|_| scope.spawn(run)).collect();
        let streams = threads
            .into_iter()
            .filter_map(|thread| thread.join().unwrap());
        streams.collect()
    });
    std::thread::sleep(SETTLE_TIME);
    streams
}

/// Opens connections that send nothing.
pub(crate) fn open_silent(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let streams = (0..count).filter_map(|_| connect(address).ok()).collect();
    std::thread::sleep(SETTLE_TIME);
    streams
}

/// Whether a small request is answered with 200, within [`ORDINARY_TIMEOUT`].
pub(crate) fn send_ordinary(address: SocketAddr) -> bool {
    let began = Instant::now();
    while began.elapsed() < ORDINARY_TIMEOUT {
        let answer = try_ordinary(address).unwrap_or_default();
        if answer.starts_with("HTTP/1.1 200") {
            return true;
        }
        let lines = answer.lines().map(str::to_ascii_lowercase);
        let mut retry_after = lines.filter_map(|line| {
            let value = line.strip_prefix("retry-after:")?.trim().parse().ok()?;
            Duration::try_from_secs_f64(value).ok()
        });
        let pause = retry_after.next().unwrap_or(Duration::from_millis(100));
        std::thread::sleep(pause.min(MAX_RETRY_PAUSE));
    }
    false
}

/// Sends a small request on a new connection and returns the answer.
fn try_ordinary(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = connect(address)?;
    let framing = "Connection: close\r\nContent-Length: 5";
    let request = head("POST", &format!("{LOOKUP_PREFIX}ordinary"), framing) + "small";
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Reads the first part of an answer.
pub(crate) fn read_answer_head(stream: &mut TcpStream) -> std::io::Result<String> {
    stream.set_read_timeout(Some(ORDINARY_TIMEOUT))?;
    let mut part = [0; 256];
    let length = stream.read(&mut part)?;
    Ok(String::from_utf8_lossy(&part[..length]).into_owned())
}

/// Reads the body of an answer in blocks with a pause after each; returns the number of bytes until its
/// end or until the connection ends.
pub(crate) fn read_body_slowly(stream: &mut TcpStream, pause: Duration, length: usize) -> usize {
    const BLOCK_BYTES: usize = 64 << 10;
    let mut received = Vec::new();
    let mut block = vec![0; BLOCK_BYTES];
    let body_bytes = |received: &[u8]| {
        let head_end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        head_end.map_or(0, |position| received.len() - position - 4)
    };
    while body_bytes(&received) < length {
        match stream.read(&mut block) {
            Ok(0) | Err(_) => break,
            Ok(bytes) => received.extend_from_slice(&block[..bytes]),
        }
        std::thread::sleep(pause);
    }
    body_bytes(&received)
}
