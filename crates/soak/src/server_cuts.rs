//! Instances whose connections to all servers are cut while everything else reaches them.
//!
//! All instances connect to the same address of a server. Each proxied connection knows its
//! client's socket from when it was accepted; which of these sockets a process has open is read
//! from its open files, for the processes that are cut only.

use crate::{
    prelude::*,
    socket_finder::{self, ConnectionEnds, SocketFinder, SocketNumber},
};
use std::collections::HashMap;

/// What happens to the connections of a cut instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CutMode {
    /// Bytes are held back in both directions, also on new connections.
    Hang,
    /// Open connections are closed, and new ones too.
    Reset,
    /// Open connections live on, new ones are closed.
    CloseNew,
}

/// Cut instances, by the identifiers of their processes.
pub(crate) struct ServerCuts {
    finder: SocketFinder,
    ledger: Arc<SoakLedger>,
    table: Mutex<CutTable>,
    pub(crate) changed: Event,
}

/// Cut processes and their sockets.
#[derive(Default)]
struct CutTable {
    modes: IndexMap<u32, CutMode>,
    owners: HashMap<SocketNumber, u32>,
    /// When the open files were read; all sockets that were open then are known.
    read_at: MonoTime,
}

impl CutMode {
    pub(crate) const ALL: [Self; 3] = [Self::Hang, Self::Reset, Self::CloseNew];
}

impl ServerCuts {
    /// Creates a record without cuts; `ledger` is told of connections that cannot be judged.
    pub(crate) fn new(ledger: &Arc<SoakLedger>) -> eyre::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            finder: SocketFinder::open()?,
            ledger: ledger.clone(),
            table: Mutex::default(),
            changed: Event::new(),
        }))
    }

    /// Cuts a process off, until [`Self::end`] is called.
    pub(crate) fn start(&self, process: u32, mode: CutMode) {
        let mut table = self.table.lock().unwrap();
        table.modes.insert(process, mode);
        table.read_owners();
        drop(table);
        self.changed.notify(usize::MAX);
    }

    /// Ends the cut of a process.
    pub(crate) fn end(&self, process: u32) {
        let mut table = self.table.lock().unwrap();
        table.modes.swap_remove(&process);
        table.owners.retain(|_, owner| *owner != process);
        drop(table);
        self.changed.notify(usize::MAX);
    }

    /// Returns the client's socket of a connection that was just accepted; `None` if the client has
    /// closed it.
    pub(crate) fn socket_of(&self, ends: ConnectionEnds) -> Option<SocketNumber> {
        match self.finder.find(ends) {
            Ok(socket) => socket,
            Err(error) => {
                self.ledger.add_violation("SOAK", &error.to_string());
                None
            }
        }
    }

    /// Waits until it is known whether a connection that was opened at `opened_at` is cut. The open
    /// files of the cut processes are read once for all connections of a while.
    pub(crate) async fn wait_until_known(&self, opened_at: MonoTime) {
        const READ_INTERVAL: Duration = Duration::from_millis(10);
        while self.table.lock().unwrap().lacks(opened_at, READ_INTERVAL) {
            Timer::after(READ_INTERVAL / 4).await;
        }
    }

    /// The cut that affects the connection of a client's socket, once that is known; `None` if
    /// there is none.
    pub(crate) fn mode_of(&self, socket: Option<SocketNumber>) -> Option<CutMode> {
        let table = self.table.lock().unwrap();
        let process = table.owners.get(&socket?)?;
        table.modes.get(process).copied()
    }
}

impl CutTable {
    /// Whether a socket that was opened at `opened_at` may belong to a cut process without being
    /// known. Reads the open files first unless that was done less than `read_interval` ago.
    fn lacks(&mut self, opened_at: MonoTime, read_interval: Duration) -> bool {
        if self.modes.is_empty() || self.read_at > opened_at {
            return false;
        }
        let is_due = SteadyClock.now().since(self.read_at) >= read_interval;
        if is_due {
            self.read_owners();
        }
        !is_due
    }

    /// Reads the sockets of the cut processes.
    fn read_owners(&mut self) {
        self.read_at = SteadyClock.now();
        self.owners.clear();
        for process in self.modes.keys() {
            let sockets = socket_finder::open_sockets(*process);
            self.owners
                .extend(sockets.into_iter().map(|socket| (socket, *process)));
        }
    }
}
