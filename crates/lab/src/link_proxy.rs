//! Proxy for the connections from an instance to one address.
//!
//! Each connection passes through a pair of loopback sockets, between which the proxy copies bytes.
//! A cut link holds all bytes back until it is restored; a silenced connection does so permanently.

use crate::prelude::*;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::sync::atomic::{AtomicU64, Ordering};

/// Link to one address that can be cut, silenced and delayed.
pub struct LinkProxy {
    pool: Arc<WorkerPool>,
    address: SocketAddr,
    mode: Mutex<LinkMode>,
    changed: event_listener::Event,
    bytes: AtomicU64,
}

#[derive(Clone, Copy, Default)]
struct LinkMode {
    cut: bool,
    delay: Duration,
    opened_connections: u64,
    /// Connections with a number up to this one are silenced permanently.
    silenced_up_to: u64,
}

impl LinkProxy {
    /// Size of the copy buffer, in bytes.
    const BUFFER_BYTES: usize = 16 << 10;

    /// Creates a link to `address` that works.
    pub fn new(pool: Arc<WorkerPool>, address: SocketAddr) -> Self {
        Self {
            pool,
            address,
            mode: Mutex::default(),
            changed: event_listener::Event::new(),
            bytes: AtomicU64::default(),
        }
    }

    /// Cuts or restores the link.
    pub fn set_cut(&self, cut: bool) {
        self.mode.lock().unwrap().cut = cut;
        self.changed.notify(usize::MAX);
    }

    /// Silences all open connections permanently; new ones work.
    pub fn silence(&self) {
        let mut mode = self.mode.lock().unwrap();
        mode.silenced_up_to = mode.opened_connections;
    }

    /// Sets the delay of each block of bytes that is copied.
    pub fn set_delay(&self, delay: Duration) {
        self.mode.lock().unwrap().delay = delay;
    }

    /// Number of bytes copied so far, in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Opens a connection through the proxy; waits while the link is cut.
    pub async fn connect(self: Arc<Self>) -> std::io::Result<TcpStream> {
        self.wait_open(u64::MAX).await;
        let remote = TcpStream::connect(self.address).await?;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let client = TcpStream::connect(listener.local_addr()?).await?;
        let (local, _) = listener.accept().await?;
        let _ = (local.set_nodelay(true), remote.set_nodelay(true));
        let number = {
            let mut mode = self.mode.lock().unwrap();
            mode.opened_connections += 1;
            mode.opened_connections
        };
        for (from, to) in [(local.clone(), remote.clone()), (remote, local)] {
            let link = self.clone();
            self.pool.spawn(async move {
                let _ = link.copy(from, &to, number).await;
                let _ = to.shutdown(std::net::Shutdown::Write);
            });
        }
        Ok(client)
    }

    async fn copy(&self, mut from: TcpStream, to: &TcpStream, number: u64) -> std::io::Result<()> {
        let mut buffer = vec![0; Self::BUFFER_BYTES];
        let mut sink = to.clone();
        loop {
            let read = from.read(&mut buffer).await;
            self.wait_open(number).await;
            let length = read?;
            if length == 0 {
                return Ok(());
            }
            let delay = self.mode.lock().unwrap().delay;
            if !delay.is_zero() {
                Timer::after(delay).await;
            }
            self.bytes.fetch_add(length as u64, Ordering::Relaxed);
            sink.write_all(&buffer[..length]).await?;
        }
    }

    /// Waits until bytes of connection `number` may pass.
    async fn wait_open(&self, number: u64) {
        loop {
            let changed = self.changed.listen();
            let mode = *self.mode.lock().unwrap();
            if !mode.cut && number > mode.silenced_up_to {
                return;
            }
            changed.await;
        }
    }
}
