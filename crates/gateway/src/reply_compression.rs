//! Compression of what instances send each other.

use crate::prelude::*;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use std::io::{self, Read, Write};

/// Length from which on a message is compressed, in bytes.
const MIN_BYTES: usize = 1_024;

/// Compresses a message; `None` if it is short, or no shorter when compressed.
pub(crate) fn compress(message: &[u8]) -> Option<Bytes> {
    if message.len() < MIN_BYTES {
        return None;
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(message).ok()?;
    let compressed = encoder.finish().ok()?;
    (compressed.len() < message.len()).then(|| compressed.into())
}

/// Restores a message of at most `max_bytes` bytes.
pub(crate) fn decompress(compressed: &[u8], max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut message = Vec::new();
    let limit = max_bytes as u64 + 1;
    ZlibDecoder::new(compressed)
        .take(limit)
        .read_to_end(&mut message)?;
    match message.len() > max_bytes {
        true => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "message is too large",
        )),
        false => Ok(message),
    }
}
