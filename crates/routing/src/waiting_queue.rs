//! Order of the requests that wait for a server.
//!
//! Requests that can still meet their target latency come first, by priority and then by arrival. A
//! late request gets a slot only when no request in time waits, and never delays one.

/// Queue of the requests that wait for one service.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    last_number: u64,
    waiting: Vec<QueueTicket>,
}

/// Place of one request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket {
    rank: QueueRank,
    number: u64,
}

/// Precedence of a request; requests of the same rank are served in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    /// Whether no server can answer within the target latency any more.
    pub is_late: bool,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
}

impl WaitingQueue {
    /// Adds a request to the queue.
    pub fn join(&mut self, rank: QueueRank) -> QueueTicket {
        self.last_number += 1;
        let ticket = QueueTicket {
            rank,
            number: self.last_number,
        };
        self.waiting.push(ticket);
        ticket
    }

    /// Removes a request from the queue.
    pub fn leave(&mut self, ticket: QueueTicket) {
        self.waiting.retain(|waiting| *waiting != ticket);
    }

    /// Changes the rank of a waiting request; it keeps its order of arrival among requests of the
    /// new rank.
    pub fn rerank(&mut self, ticket: QueueTicket, rank: QueueRank) -> QueueTicket {
        let reranked = QueueTicket { rank, ..ticket };
        for waiting in &mut self.waiting {
            if *waiting == ticket {
                *waiting = reranked;
            }
        }
        reranked
    }

    /// Whether a request of this rank comes before all others; `ticket` is its place if it waits
    /// already.
    pub fn is_next(&self, ticket: Option<QueueTicket>, rank: QueueRank) -> bool {
        let mut waiting = self.waiting.iter();
        match ticket {
            Some(own) => {
                let reranked = QueueTicket { rank, ..own };
                waiting.all(|waiting| *waiting == own || *waiting > reranked)
            }
            None => waiting.all(|waiting| waiting.rank > rank),
        }
    }

    /// Number of waiting requests that come before a new one of this rank.
    pub fn ahead(&self, rank: QueueRank) -> usize {
        self.waiting
            .iter()
            .filter(|waiting| waiting.rank <= rank)
            .count()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
