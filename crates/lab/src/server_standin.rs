//! Stand-in for a licensed server.

use crate::prelude::*;
use async_net::TcpListener;
use smol_hyper::rt::FuturesIo;

/// A server that holds grants and runs requests.
pub struct ServerStandin {
    pool: Arc<WorkerPool>,
    address: SocketAddr,
    state: Arc<ServerState>,
}

impl ServerStandin {
    /// Starts a server on a free port.
    pub async fn start(
        name: &str,
        behaviour: ServerBehaviour,
        ledger: Arc<TruthLedger>,
    ) -> eyre::Result<Self> {
        Self::start_at(([127, 0, 0, 1], 0).into(), name, behaviour, ledger).await
    }

    /// Starts a server at `address`.
    pub async fn start_at(
        address: SocketAddr,
        name: &str,
        behaviour: ServerBehaviour,
        ledger: Arc<TruthLedger>,
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

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Name of the server.
    pub fn name(&self) -> &ServerName {
        &self.state.name
    }

    /// When the server started.
    pub fn started(&self) -> MonoTime {
        self.state.started
    }

    /// How the server behaves now.
    pub fn behaviour(&self) -> ServerBehaviour {
        self.state.behaviour.lock().unwrap().clone()
    }

    /// Changes the server's behaviour.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut ServerBehaviour)) {
        change(&mut self.state.behaviour.lock().unwrap());
    }

    /// Requests running now.
    pub fn busy(&self) -> u32 {
        *self.state.busy.lock().unwrap()
    }

    /// Ends the server at once.
    pub fn kill(&self) {
        self.pool.stop();
        self.state.ledger.server_ended(&self.state.name);
    }

    /// Freezes the server.
    pub fn pause(&self) {
        self.state.ledger.server_frozen(&self.state.name, true);
        self.pool.pause();
    }

    /// Ends a freeze.
    pub fn resume(&self) {
        self.state.ledger.server_frozen(&self.state.name, false);
        self.pool.resume();
    }
}

impl Drop for ServerStandin {
    fn drop(&mut self) {
        self.pool.stop();
    }
}

/// Counts a connection while it is open.
struct OpenConnection(Arc<ServerState>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        *self.0.open.lock().unwrap() -= 1;
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
