//! Listener of a test that records what happens to its connections.

use {
    geraniummast_net::{
        ConnectionEvent, HttpLimits, HttpListener, MessageBody, OpenConnections, WorkerPool,
    },
    http::{Request, Response},
    hyper::body::Incoming,
    std::{
        net::{SocketAddr, TcpStream},
        sync::{Arc, mpsc},
        time::Duration,
    },
};

/// Listener with one worker, which runs until it is dropped.
pub(crate) struct ObservedListener {
    pub(crate) address: SocketAddr,
    pub(crate) connections: Arc<OpenConnections>,
    pub(crate) events: mpsc::Receiver<ConnectionEvent>,
    pub(crate) pool: Arc<WorkerPool>,
}

impl ObservedListener {
    /// Binds a free port, sets the listener up with `configure` and answers requests with `handle`.
    pub(crate) fn start<H, F, B>(
        limits: HttpLimits,
        configure: impl FnOnce(HttpListener) -> HttpListener,
        handle: H,
    ) -> Self
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Into<MessageBody> + 'static,
    {
        let pool = WorkerPool::start("worker", 1).unwrap();
        let any = "127.0.0.1:0".parse().unwrap();
        let (sender, events) = mpsc::channel();
        let listener = futures_lite::future::block_on(HttpListener::bind(any, limits)).unwrap();
        let listener = configure(listener).observe(move |event| {
            let _ = sender.send(event);
        });
        let address = listener.local_address().unwrap();
        let connections = listener.connections();
        pool.spawn(listener.serve(pool.clone(), handle));
        Self {
            address,
            connections,
            events,
            pool,
        }
    }

    /// Opens a connection whose reads give up after 30 s.
    pub(crate) fn open(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        let timeout = Some(Duration::from_secs(30));
        stream.set_read_timeout(timeout).unwrap();
        stream
    }

    /// Waits for the next connection that is closed or refused because of a limit.
    pub(crate) fn next_event(&self) -> ConnectionEvent {
        self.events.recv_timeout(Duration::from_secs(30)).unwrap()
    }
}

impl Drop for ObservedListener {
    fn drop(&mut self) {
        self.pool.stop();
    }
}
