//! One link between an instance and an address that it dials.
//!
//! Each connection runs through a pair of loopback sockets whose bytes are copied here. A cut link
//! holds all bytes until it is restored; a silenced connection holds them for good.

use crate::prelude::*;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::sync::atomic::{AtomicU64, Ordering};

/// A link that can be cut, silenced and delayed.
pub struct LinkForwarder {
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
    opened: u64,
    /// Connections up to this number are silent for good.
    silent_up_to: u64,
}

impl LinkForwarder {
    /// Largest piece copied at once, in bytes.
    const PIECE_BYTES: usize = 16 << 10;

    /// Link to `address`.
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

    /// Silences all open connections for good; new ones work.
    pub fn silence(&self) {
        let mut mode = self.mode.lock().unwrap();
        mode.silent_up_to = mode.opened;
    }

    /// Delays each piece of bytes.
    pub fn set_delay(&self, delay: Duration) {
        self.mode.lock().unwrap().delay = delay;
    }

    /// Bytes copied so far, both ways.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Opens a connection; hangs while the link is cut.
    pub async fn connect(self: Arc<Self>) -> std::io::Result<TcpStream> {
        self.wait_open(u64::MAX).await;
        let far = TcpStream::connect(self.address).await?;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let outer = TcpStream::connect(listener.local_addr()?).await?;
        let (near, _) = listener.accept().await?;
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let number = {
            let mut mode = self.mode.lock().unwrap();
            mode.opened += 1;
            mode.opened
        };
        for (from, to) in [(near.clone(), far.clone()), (far, near)] {
            let link = self.clone();
            self.pool.spawn(async move {
                let _ = link.copy(from, &to, number).await;
                let _ = to.shutdown(std::net::Shutdown::Write);
            });
        }
        Ok(outer)
    }

    async fn copy(&self, mut from: TcpStream, to: &TcpStream, number: u64) -> std::io::Result<()> {
        let mut piece = vec![0; Self::PIECE_BYTES];
        let mut sink = to.clone();
        loop {
            let read = from.read(&mut piece).await;
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
            sink.write_all(&piece[..length]).await?;
        }
    }

    /// Ends when bytes of connection `number` may pass.
    async fn wait_open(&self, number: u64) {
        loop {
            let changed = self.changed.listen();
            let mode = *self.mode.lock().unwrap();
            if !mode.cut && number > mode.silent_up_to {
                return;
            }
            changed.await;
        }
    }
}
