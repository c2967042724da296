//! Message bodies that hold a part of a memory budget.
//!
//! The part is given back when the last user of the body drops it: its reader, the request or
//! answer that it belongs to, and the connections that send it.

use crate::{block_list::BlockList, memory_budget::BodyShare, prelude::*};
use hyper::body::Body;

/// Complete body.
#[derive(Clone, Debug, Default)]
pub struct StoredBody {
    /// `None` for an empty body.
    cell: Option<Arc<BodyCell>>,
    length: usize,
}

/// Body that is being read.
#[derive(Debug)]
pub struct BodyWriter {
    cell: Arc<BodyCell>,
    announced: Option<usize>,
    complete_stage: BodyStage,
}

/// Body with the part of the budget that it holds. The blocks come first, so that they are freed
/// before their part is given back.
#[derive(Debug)]
pub(crate) struct BodyCell {
    list: StateMutex<BlockList>,
    evicted: OneShotEvent,
    share: BodyShare,
}

/// Body in one piece, with the part of the budget that it holds.
struct WholeBody {
    data: Bytes,
    _body: StoredBody,
}

impl AsRef<[u8]> for WholeBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Length that a message announces, in bytes; `None` if it announces none.
pub fn announced_bytes(body: &impl Body) -> Option<usize> {
    let exact = body.size_hint().exact();
    exact.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX))
}

impl BodyCell {
    /// Frees the blocks of a request that has been removed from the budget.
    pub(crate) fn evict(&self) {
        self.evicted.set();
        let freed = std::mem::take(&mut *self.list.lock());
        drop(freed);
    }

    /// Block at this place, if there is one.
    pub(crate) fn block(&self, index: usize) -> Option<Bytes> {
        self.list.lock().blocks().get(index).cloned()
    }
}

impl BodyWriter {
    /// Starts the body of a request, which can be evicted until it is forwarded. `announced` is its
    /// length in bytes, if the message has one; 0 is the highest priority.
    pub fn request(
        budget: &Arc<MemoryBudget>,
        announced: Option<usize>,
        priority: u32,
        now: MonoTime,
    ) -> Self {
        let account = BodyAccount::reading(announced, priority, now);
        let writer = Self::new(budget, account, BodyStage::Waiting);
        let cell = Arc::downgrade(&writer.cell);
        writer.cell.share.allow_eviction(cell);
        writer
    }

    /// Starts the body of an answer.
    pub fn answer(budget: &Arc<MemoryBudget>, announced: Option<usize>, now: MonoTime) -> Self {
        Self::new(
            budget,
            BodyAccount::answer(announced, now),
            BodyStage::Answer,
        )
    }

    fn new(budget: &Arc<MemoryBudget>, account: BodyAccount, complete_stage: BodyStage) -> Self {
        let cell = BodyCell {
            list: StateMutex::default(),
            evicted: OneShotEvent::default(),
            share: budget.open(account),
        };
        Self {
            cell: Arc::new(cell),
            announced: account.announced_bytes,
            complete_stage,
        }
    }

    /// Bytes stored so far; 0 after an eviction.
    pub fn stored_bytes(&self) -> usize {
        self.cell.list.lock().len()
    }

    /// Stores a piece of the body, once the budget has room for it.
    pub fn push(&mut self, piece: &[u8], now: MonoTime) -> Result<(), MemoryDenial> {
        let share = &self.cell.share;
        share.record_progress(now);
        let mut list = self.cell.list.lock();
        list.push(piece, self.announced, |bytes| share.take(bytes, now))?;
        match self.cell.evicted.is_set() {
            true => Err(MemoryDenial::Evicted),
            false => Ok(()),
        }
    }

    /// Waits until the body is evicted.
    pub async fn wait_evicted(&self) {
        self.cell.evicted.wait().await;
    }

    /// The complete body.
    pub fn finish(self) -> Result<StoredBody, MemoryDenial> {
        let mut list = self.cell.list.lock();
        list.close_block();
        let length = list.len();
        drop(list);
        if length == 0 && !self.cell.evicted.is_set() {
            return Ok(StoredBody::default());
        }
        if !self.cell.share.set_stage(self.complete_stage) {
            return Err(MemoryDenial::Evicted);
        }
        Ok(StoredBody {
            cell: Some(self.cell),
            length,
        })
    }
}

impl StoredBody {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Blocks of the body; none once it has been evicted.
    pub fn blocks(&self) -> Vec<Bytes> {
        let cell = self.cell.as_ref();
        cell.map_or_else(Vec::new, |cell| cell.list.lock().blocks().to_vec())
    }

    /// Bytes of the body in one piece, which hold its memory; a copy unless there is one block.
    pub fn into_bytes(self) -> Bytes {
        let mut blocks = self.blocks();
        let data = match blocks.len() {
            0 => return Bytes::new(),
            1 => blocks.remove(0),
            _ => blocks.concat().into(),
        };
        drop(blocks);
        if let Some(cell) = self
            .cell
            .as_ref()
            .filter(|cell| Arc::strong_count(cell) == 1)
        {
            drop(std::mem::take(&mut *cell.list.lock()));
        }
        Bytes::from_owner(WholeBody { data, _body: self })
    }

    /// The request's body for sending, after which it is not evicted; `None` if it already is.
    pub fn forward(&self) -> Option<MessageBody> {
        let is_kept = self
            .cell
            .as_ref()
            .is_none_or(|cell| cell.share.set_stage(BodyStage::Forwarded));
        is_kept.then(|| self.clone().into())
    }

    /// Whether the body has been evicted.
    pub fn is_evicted(&self) -> bool {
        let cell = self.cell.as_ref();
        cell.is_some_and(|cell| cell.evicted.is_set())
    }

    /// Waits until the body is evicted.
    pub async fn wait_evicted(&self) {
        match &self.cell {
            Some(cell) => cell.evicted.wait().await,
            None => future::pending().await,
        }
    }

    pub(crate) fn block(&self, index: usize) -> Option<Bytes> {
        self.cell.as_ref()?.block(index)
    }
}
