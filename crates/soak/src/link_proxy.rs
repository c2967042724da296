//! Loopback TCP proxy that can disturb the connections to one target.

use crate::{
    prelude::*,
    server_cuts::{CutMode, ServerCuts},
    socket_finder::SocketNumber,
};
use async_executor::Task;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum ProxyMode {
    /// Forwards bytes without delay.
    #[default]
    Open,
    /// Holds back bytes in both directions until the mode changes.
    Cut,
    /// Holds back bytes to the target.
    CutThere,
    /// Holds back bytes from the target.
    CutBack,
    /// Holds back all bytes of the existing connections permanently; new connections work.
    Silenced,
    /// Closes the existing connections; new connections work.
    Reset,
    /// Delays each chunk by this time.
    Slow(Duration),
}

impl ProxyMode {
    /// Draws a random mode other than `Open`.
    pub(crate) fn random(rng: &mut StdRng) -> Self {
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

/// Proxy that listens at `address` and forwards connections to its current target.
pub(crate) struct LinkProxy {
    pool: Arc<WorkerPool>,
    pub(crate) address: SocketAddr,
    state: Mutex<ProxyState>,
    changed: Event,
    /// Clients whose connections are cut, whatever the mode; `None` if there are never any.
    cuts: Option<Arc<ServerCuts>>,
    connections: Mutex<Vec<Task<()>>>,
    accept_task: Mutex<Option<Task<()>>>,
}

/// Current mode and target of a proxy, and its count of connections.
#[derive(Clone, Copy, Default)]
struct ProxyState {
    mode: ProxyMode,
    connections_opened: u64,
    /// Number of the last connection that `Silenced` affected; its bytes and those of all earlier
    /// connections are held back permanently.
    silenced_up_to: u64,
    target: Option<SocketAddr>,
}

/// Connection through a proxy.
#[derive(Clone, Copy)]
struct ProxiedConnection {
    number: u64,
    /// Socket of the client, if clients may be cut off.
    socket: Option<SocketNumber>,
    opened_at: MonoTime,
}

impl LinkProxy {
    /// Largest chunk that is forwarded at once, in bytes.
    const CHUNK_BYTES: usize = 16 << 10;

    /// Starts a proxy in front of `target`.
    pub(crate) async fn start(
        pool: &Arc<WorkerPool>,
        target: SocketAddr,
    ) -> eyre::Result<Arc<Self>> {
        Self::build(pool, target, None).await
    }

    /// Starts a proxy in front of `target` to which some clients have no connection.
    pub(crate) async fn start_with_cuts(
        pool: &Arc<WorkerPool>,
        target: SocketAddr,
        cuts: Arc<ServerCuts>,
    ) -> eyre::Result<Arc<Self>> {
        Self::build(pool, target, Some(cuts)).await
    }

    async fn build(
        pool: &Arc<WorkerPool>,
        target: SocketAddr,
        cuts: Option<Arc<ServerCuts>>,
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
            cuts,
            connections: Mutex::default(),
            accept_task: Mutex::default(),
        });
        proxy.accept_connections(listener);
        Ok(proxy)
    }

    /// Sets the target of new connections. Without a target the proxy closes all connections and
    /// its address refuses new ones.
    pub(crate) async fn set_target(self: &Arc<Self>, target: Option<SocketAddr>) {
        self.state.lock().unwrap().target = target;
        if target.is_none() {
            self.accept_task.lock().unwrap().take();
            self.connections.lock().unwrap().clear();
            return;
        }
        if self.accept_task.lock().unwrap().is_some() {
            return;
        }
        if let Ok(listener) = TcpListener::bind(self.address).await {
            self.accept_connections(listener);
        }
    }

    /// Sets the mode and applies it to the existing connections.
    pub(crate) fn set_mode(&self, mode: ProxyMode) {
        let mut state = self.state.lock().unwrap();
        state.mode = mode;
        match mode {
            ProxyMode::Silenced => state.silenced_up_to = state.connections_opened,
            ProxyMode::Reset => self.connections.lock().unwrap().clear(),
            _ => {}
        }
        drop(state);
        self.changed.notify(usize::MAX);
    }

    fn accept_connections(self: &Arc<Self>, listener: TcpListener) {
        let proxy = self.clone();
        let accept_loop = async move {
            while let Ok((client, address)) = listener.accept().await {
                proxy.open_connection(client, address);
            }
        };
        *self.accept_task.lock().unwrap() = Some(self.pool.spawn_cancellable(accept_loop));
    }

    fn open_connection(self: &Arc<Self>, client: TcpStream, address: SocketAddr) {
        let opened_at = SteadyClock.now();
        let proxy = self.clone();
        let number = {
            let mut state = self.state.lock().unwrap();
            state.connections_opened += 1;
            state.connections_opened
        };
        let ends = (address, self.address);
        let connection = ProxiedConnection {
            number,
            socket: self.cuts.as_ref().and_then(|cuts| cuts.socket_of(ends)),
            opened_at,
        };
        let task = self.pool.spawn_cancellable(async move {
            if let Some(cuts) = &proxy.cuts {
                cuts.wait_until_known(connection.opened_at).await;
            }
            let is_closed = |mode| mode != CutMode::Hang;
            if proxy.cut_mode(connection).is_some_and(is_closed) {
                return;
            }
            let target = proxy.state.lock().unwrap().target;
            let Some(target) = target else { return };
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let to_target = proxy.copy(client.clone(), server.clone(), connection, true);
            let from_target = proxy.copy(server, client, connection, false);
            // The end of one side closes both directions at once, as a crash would.
            let closed = proxy.wait_until_closed(connection);
            let _ = future::or(future::or(to_target, from_target), closed).await;
        });
        let mut connections = self.connections.lock().unwrap();
        connections.retain(|connection| !connection.is_finished());
        connections.push(task);
    }

    async fn copy(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        connection: ProxiedConnection,
        is_to_target: bool,
    ) -> std::io::Result<()> {
        let mut chunk = vec![0; Self::CHUNK_BYTES];
        loop {
            let length = from.read(&mut chunk).await?;
            self.wait_until_passable(connection, is_to_target).await;
            if length == 0 {
                return Ok(());
            }
            let mode = self.state.lock().unwrap().mode;
            if let ProxyMode::Slow(delay) = mode {
                Timer::after(delay).await;
            }
            to.write_all(&chunk[..length]).await?;
        }
    }

    fn cut_mode(&self, connection: ProxiedConnection) -> Option<CutMode> {
        self.cuts.as_ref()?.mode_of(connection.socket)
    }

    /// Waits until the connection of a client is closed because the client is cut off.
    async fn wait_until_closed(&self, connection: ProxiedConnection) -> std::io::Result<()> {
        let Some(cuts) = &self.cuts else {
            return std::future::pending().await;
        };
        loop {
            let changed = cuts.changed.listen();
            if self.cut_mode(connection) == Some(CutMode::Reset) {
                return Ok(());
            }
            changed.await;
        }
    }

    /// Waits until bytes of a connection may pass in the given direction.
    async fn wait_until_passable(&self, connection: ProxiedConnection, is_to_target: bool) {
        loop {
            let changed = self.changed.listen();
            let cut_changed = self.cuts.as_ref().map(|cuts| cuts.changed.listen());
            let state = *self.state.lock().unwrap();
            let is_cut = match state.mode {
                ProxyMode::Cut => true,
                ProxyMode::CutThere => is_to_target,
                ProxyMode::CutBack => !is_to_target,
                _ => false,
            };
            let is_cut = is_cut || self.cut_mode(connection) == Some(CutMode::Hang);
            if !is_cut && connection.number > state.silenced_up_to {
                return;
            }
            match cut_changed {
                Some(cut_changed) => future::or(changed, cut_changed).await,
                None => changed.await,
            }
        }
    }
}
