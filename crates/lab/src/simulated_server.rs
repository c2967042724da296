//! Simulation of a licensed server.

use crate::prelude::*;
use async_net::TcpListener;
use smol_hyper::rt::FuturesIo;

/// HTTP server on loopback that accepts grants and runs requests under them.
pub struct SimulatedServer {
    pool: Arc<WorkerPool>,
    address: SocketAddr,
    state: Arc<ServerState>,
}

impl SimulatedServer {
    /// Starts a server on a free port.
    pub async fn start(
        name: &str,
        behaviour: ServerBehaviour,
        ledger: Arc<GroundTruthLedger>,
    ) -> eyre::Result<Self> {
        Self::start_at(([127, 0, 0, 1], 0).into(), name, behaviour, ledger).await
    }

    /// Starts a server at `address`.
    pub async fn start_at(
        address: SocketAddr,
        name: &str,
        behaviour: ServerBehaviour,
        ledger: Arc<GroundTruthLedger>,
    ) -> eyre::Result<Self> {
        let pool = WorkerPool::start(name, 1)?;
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(ServerState::new(name, behaviour, ledger));
        pool.spawn(serve(pool.clone(), listener, state.clone()));
        Ok(Self {
            pool,
            address,
            state,
        })
    }

    /// Address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Name under which the server is declared.
    pub fn name(&self) -> &ServerName {
        &self.state.name
    }

    /// Start time of the server.
    pub fn started(&self) -> MonoTime {
        self.state.started
    }

    /// Copy of the server's current behaviour.
    pub fn behaviour(&self) -> ServerBehaviour {
        self.state.behaviour.lock().unwrap().clone()
    }

    /// Applies `change` to the server's behaviour while it runs.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut ServerBehaviour)) {
        change(&mut self.state.behaviour.lock().unwrap());
    }

    /// Number of requests that are running.
    pub fn busy(&self) -> u32 {
        *self.state.busy.lock().unwrap()
    }

    /// Stops the server at once, with its running requests.
    pub fn kill(&self) {
        self.pool.stop();
        self.state.ledger.record_server_end(&self.state.name);
    }

    /// Freezes the server: its threads stop until [`resume`](Self::resume).
    pub fn pause(&self) {
        self.state.ledger.set_server_frozen(&self.state.name, true);
        self.pool.pause();
    }

    /// Resumes a frozen server.
    pub fn resume(&self) {
        self.state.ledger.set_server_frozen(&self.state.name, false);
        self.pool.resume();
    }
}

impl Drop for SimulatedServer {
    fn drop(&mut self) {
        self.pool.stop();
    }
}

/// Open connection; dropping it frees its place in the server's count.
struct OpenConnection(Arc<ServerState>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        *self.0.open_connections.lock().unwrap() -= 1;
    }
}

async fn serve(pool: Arc<WorkerPool>, listener: TcpListener, state: Arc<ServerState>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        state.connection_opened();
        let open = OpenConnection(state.clone());
        pool.spawn(async move {
            let service = hyper::service::service_fn(|request| {
                let answer = server_exchange::answer(open.0.clone(), request);
                async move { Ok::<_, std::convert::Infallible>(answer.await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(FuturesIo::new(stream), service)
                .await;
        });
    }
}
