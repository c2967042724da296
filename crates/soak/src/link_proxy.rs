//! A loopback proxy in front of one address.

use crate::prelude::*;
use async_executor::Task;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// How a proxy treats bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum ProxyMode {
    /// Passes them.
    #[default]
    Open,
    /// Holds them both ways until it is open again.
    Cut,
    /// Holds those towards the target.
    CutThere,
    /// Holds those from the target.
    CutBack,
    /// Connections that were open are silent for good; new ones work.
    Silenced,
    /// Connections that were open are reset.
    Reset,
    /// Passes each piece late.
    Slow(Duration),
}

impl ProxyMode {
    /// One at random, other than open.
    pub(crate) fn draw(rng: &mut StdRng) -> Self {
        match rng.random_range(0..6) {
            0 => Self::Cut,
            1 => Self::CutThere,
            2 => Self::CutBack,
            3 => Self::Silenced,
            4 => Self::Reset,
            _ => Self::Slow(Duration::from_millis(rng.random_range(20..300))),
        }
    }
}

/// A proxy that listens at `address`.
pub(crate) struct LinkProxy {
    pool: Arc<WorkerPool>,
    pub(crate) address: SocketAddr,
    state: Mutex<ProxyState>,
    changed: Event,
    links: Mutex<Vec<Task<()>>>,
    accepting: Mutex<Option<Task<()>>>,
}

#[derive(Clone, Copy, Default)]
struct ProxyState {
    mode: ProxyMode,
    opened: u64,
    /// Connections up to this number are silent for good.
    silent_up_to: u64,
    target: Option<SocketAddr>,
}

impl LinkProxy {
    /// Largest piece copied at once, in bytes.
    const PIECE_BYTES: usize = 16 << 10;

    /// Starts a proxy in front of `target`.
    pub(crate) async fn start(
        pool: &Arc<WorkerPool>,
        target: SocketAddr,
    ) -> eyre::Result<Arc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let proxy = Arc::new(Self {
            pool: pool.clone(),
            address: listener.local_addr()?,
            state: Mutex::new(ProxyState {
                target: Some(target),
                ..ProxyState::default()
            }),
            changed: Event::new(),
            links: Mutex::default(),
            accepting: Mutex::default(),
        });
        proxy.accept_from(listener);
        Ok(proxy)
    }

    /// Leads new connections elsewhere; without a target the address refuses them and the open
    /// ones end.
    pub(crate) async fn set_target(self: &Arc<Self>, target: Option<SocketAddr>) {
        self.state.lock().unwrap().target = target;
        if target.is_none() {
            self.accepting.lock().unwrap().take();
            self.links.lock().unwrap().clear();
            return;
        }
        if self.accepting.lock().unwrap().is_some() {
            return;
        }
        if let Ok(listener) = TcpListener::bind(self.address).await {
            self.accept_from(listener);
        }
    }

    /// Changes how bytes are treated.
    pub(crate) fn set_mode(&self, mode: ProxyMode) {
        let mut state = self.state.lock().unwrap();
        state.mode = mode;
        match mode {
            ProxyMode::Silenced => state.silent_up_to = state.opened,
            ProxyMode::Reset => self.links.lock().unwrap().clear(),
            _ => {}
        }
        drop(state);
        self.changed.notify(usize::MAX);
    }

    fn accept_from(self: &Arc<Self>, listener: TcpListener) {
        let proxy = self.clone();
        let work = async move {
            while let Ok((near, _)) = listener.accept().await {
                proxy.open(near);
            }
        };
        *self.accepting.lock().unwrap() = Some(self.pool.spawn_cancellable(work));
    }

    fn open(self: &Arc<Self>, near: TcpStream) {
        let proxy = self.clone();
        let number = {
            let mut state = self.state.lock().unwrap();
            state.opened += 1;
            state.opened
        };
        let link = self.pool.spawn_cancellable(async move {
            let target = proxy.state.lock().unwrap().target;
            let Some(target) = target else { return };
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let there = proxy.copy(near.clone(), far.clone(), number, true);
            let back = proxy.copy(far, near, number, false);
            // Either side's end ends the connection, as a crash would.
            let _ = future::or(there, back).await;
        });
        let mut links = self.links.lock().unwrap();
        links.retain(|link| !link.is_finished());
        links.push(link);
    }

    async fn copy(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        number: u64,
        is_there: bool,
    ) -> std::io::Result<()> {
        let mut piece = vec![0; Self::PIECE_BYTES];
        loop {
            let length = from.read(&mut piece).await?;
            self.wait_open(number, is_there).await;
            if length == 0 {
                return Ok(());
            }
            let mode = self.state.lock().unwrap().mode;
            if let ProxyMode::Slow(delay) = mode {
                Timer::after(delay).await;
            }
            to.write_all(&piece[..length]).await?;
        }
    }

    /// Ends when bytes of connection `number` may pass in a direction.
    async fn wait_open(&self, number: u64, is_there: bool) {
        loop {
            let changed = self.changed.listen();
            let state = *self.state.lock().unwrap();
            let is_cut = match state.mode {
                ProxyMode::Cut => true,
                ProxyMode::CutThere => is_there,
                ProxyMode::CutBack => !is_there,
                _ => false,
            };
            if !is_cut && number > state.silent_up_to {
                return;
            }
            changed.await;
        }
    }
}
