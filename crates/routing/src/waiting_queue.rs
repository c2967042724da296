//! Order of requests that wait for a server.
//!
//! Those that can still make their target latency go first, by priority and arrival. A late one
//! takes a slot that nobody else wants and never holds up one that is in time.

/// Requests that wait for one service.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    next: u64,
    waiting: Vec<QueueTicket>,
}

/// Place of one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket {
    rank: QueueRank,
    number: u64,
}

/// What a request's place depends on, but for its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    /// Whether no server can answer within the target any more.
    pub is_late: bool,
    /// Priority of the route, 0 is the highest.
    pub priority: u32,
}

impl WaitingQueue {
    /// Joins the queue.
    pub fn join(&mut self, rank: QueueRank) -> QueueTicket {
        self.next += 1;
        let ticket = QueueTicket {
            rank,
            number: self.next,
        };
        self.waiting.push(ticket);
        ticket
    }

    /// Leaves the queue.
    pub fn leave(&mut self, ticket: QueueTicket) {
        self.waiting.retain(|waiting| *waiting != ticket);
    }

    /// Gives a waiting request another rank, and its place by arrival among those of that rank.
    pub fn rerank(&mut self, ticket: QueueTicket, rank: QueueRank) -> QueueTicket {
        let next = QueueTicket { rank, ..ticket };
        for waiting in &mut self.waiting {
            if *waiting == ticket {
                *waiting = next;
            }
        }
        next
    }

    /// Whether a request of this rank, waiting or just come, is before all others.
    pub fn is_next(&self, ticket: Option<QueueTicket>, rank: QueueRank) -> bool {
        let mut waiting = self.waiting.iter();
        match ticket {
            Some(own) => {
                let now = QueueTicket { rank, ..own };
                waiting.all(|waiting| *waiting == own || *waiting > now)
            }
            None => waiting.all(|waiting| waiting.rank > rank),
        }
    }

    /// Requests that wait before one of this rank.
    pub fn ahead(&self, rank: QueueRank) -> usize {
        self.waiting
            .iter()
            .filter(|waiting| waiting.rank <= rank)
            .count()
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
