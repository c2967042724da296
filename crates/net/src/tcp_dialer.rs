//! Opening of outgoing TCP connections.
//!
//! The connector is a closure, so that tests and measurements can put a proxy that they control
//! between two processes.

use crate::prelude::*;

/// Future of a connection that is being opened.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

/// Opens TCP connections through a replaceable connector.
#[derive(Clone)]
pub struct TcpDialer {
    connect: Arc<dyn Fn(SocketAddr) -> ConnectFuture + Send + Sync>,
}

impl TcpDialer {
    /// Dialer that connects to the given address itself.
    pub fn direct() -> Self {
        Self::with_connector(|address| Box::pin(TcpStream::connect(address)))
    }

    /// Dialer that connects through `connect`.
    pub fn with_connector(
        connect: impl Fn(SocketAddr) -> ConnectFuture + Send + Sync + 'static,
    ) -> Self {
        Self {
            connect: Arc::new(connect),
        }
    }

    /// Opens a connection to `address`; fails with `TimedOut` after `timeout`.
    pub async fn connect(&self, address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        let timed_out = async {
            async_io::Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = future::or((self.connect)(address), timed_out).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
