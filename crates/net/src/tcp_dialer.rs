//! Opening of connections.
//!
//! How a connection is opened is a closure, so that a measurement can place a link that it controls
//! between two processes.

use crate::prelude::*;

/// A connection being opened.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

/// Opens TCP connections.
#[derive(Clone)]
pub struct TcpDialer {
    connect: Arc<dyn Fn(SocketAddr) -> ConnectFuture + Send + Sync>,
}

impl TcpDialer {
    /// Dials the address itself.
    pub fn direct() -> Self {
        Self::with_connector(|address| Box::pin(TcpStream::connect(address)))
    }

    /// Dials through `connect`.
    pub fn with_connector(
        connect: impl Fn(SocketAddr) -> ConnectFuture + Send + Sync + 'static,
    ) -> Self {
        Self {
            connect: Arc::new(connect),
        }
    }

    /// Opens a connection within `timeout`.
    pub async fn connect(&self, address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        let late = async {
            async_io::Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = future::or((self.connect)(address), late).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
