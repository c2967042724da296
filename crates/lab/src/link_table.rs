//! Proxied links of one instance.

use crate::prelude::*;

/// Links by their remote address, created when first used.
pub struct LinkTable {
    pool: Arc<WorkerPool>,
    links: Mutex<IndexMap<SocketAddr, Arc<LinkProxy>>>,
}

impl LinkTable {
    /// Creates a table without links.
    pub fn new(pool: Arc<WorkerPool>) -> Arc<Self> {
        Arc::new(Self {
            pool,
            links: Mutex::default(),
        })
    }

    /// Creates a dialer whose connections pass through the table's links.
    pub fn dialer(self: &Arc<Self>) -> TcpDialer {
        let table = self.clone();
        TcpDialer::with_connector(move |address| Box::pin(table.link(address).connect()))
    }

    /// Link to `address`.
    pub fn link(&self, address: SocketAddr) -> Arc<LinkProxy> {
        let mut links = self.links.lock().unwrap();
        links
            .entry(address)
            .or_insert_with(|| Arc::new(LinkProxy::new(self.pool.clone(), address)))
            .clone()
    }

    /// Restores all cut links.
    pub fn restore_all(&self) {
        let links = self.links.lock().unwrap();
        links.values().for_each(|link| link.set_cut(false));
    }

    /// Number of bytes copied over all links.
    pub fn bytes(&self) -> u64 {
        let links = self.links.lock().unwrap();
        links.values().map(|link| link.bytes()).sum()
    }
}
