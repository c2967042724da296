//! Bytes of a message body in blocks, stored once.
//!
//! A body never moves into a larger buffer: each block is filled and then left as it is. Blocks grow
//! with the body up to one size, so that short bodies take little, and those of long ones are freed
//! and used again without gaps between them.

use crate::prelude::*;

/// Body that is being read or complete.
#[derive(Debug, Default)]
pub(crate) struct BlockList {
    full: Vec<Bytes>,
    open: Vec<u8>,
    length: usize,
}

impl BlockList {
    /// Smallest size of a block in a body of unknown length, in bytes.
    const MIN_BLOCK_BYTES: usize = 4 << 10;
    /// Largest size of a block, in bytes. With larger ones, the gaps that many evicted small bodies
    /// leave between the buffers of their connections are of no use to a large body.
    const MAX_BLOCK_BYTES: usize = 16 << 10;

    /// Length in bytes.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Adds a piece. `reserve` is asked for the bytes of each further block, of which no more is
    /// added than the body of `announced` bytes takes; after an error of it, the list has a part of
    /// the piece.
    pub(crate) fn push<E>(
        &mut self,
        mut piece: &[u8],
        announced: Option<usize>,
        mut reserve: impl FnMut(usize) -> Result<(), E>,
    ) -> Result<(), E> {
        while !piece.is_empty() {
            if self.open.len() == self.open.capacity() {
                self.close_block();
                let bytes = self.next_block_bytes(announced);
                reserve(bytes)?;
                self.open = Vec::with_capacity(bytes);
            }
            let room = self.open.capacity() - self.open.len();
            let (fitting, rest) = piece.split_at(room.min(piece.len()));
            self.open.extend_from_slice(fitting);
            self.length += fitting.len();
            piece = rest;
        }
        Ok(())
    }

    /// Ends the last block.
    pub(crate) fn close_block(&mut self) {
        let block = std::mem::take(&mut self.open);
        if !block.is_empty() {
            self.full.push(Bytes::from(block));
        }
    }

    /// Blocks that have ended.
    pub(crate) fn blocks(&self) -> &[Bytes] {
        &self.full
    }

    fn next_block_bytes(&self, announced: Option<usize>) -> usize {
        let bytes = self
            .length
            .clamp(Self::MIN_BLOCK_BYTES, Self::MAX_BLOCK_BYTES);
        match announced {
            Some(announced) if announced > self.length => bytes.min(announced - self.length),
            _ => bytes,
        }
    }
}
