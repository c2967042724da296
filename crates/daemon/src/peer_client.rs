//! Calls to other instances over two connections to each of them: one for requests and one for
//! heartbeats, so that large requests do not delay heartbeats.

use crate::prelude::*;
use futures_lite::StreamExt;
use futures_util::SinkExt;
use tokio_util::{codec::Framed, compat::FuturesAsyncReadCompatExt};

/// Client for calls to other instances, with one connection per address and channel.
pub(crate) struct PeerClient {
    pool: Arc<WorkerPool>,
    dialer: TcpDialer,
    secret: String,
    max_frame_bytes: usize,
    connections: Mutex<IndexMap<(SocketAddr, PeerChannel), Arc<ConnectionSlot>>>,
    hints: Arc<FeedHints>,
}

/// Purpose of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum PeerChannel {
    Requests,
    Heartbeats,
}

/// Slot of one connection, locked while the connection is opened.
type ConnectionSlot = async_lock::Mutex<Option<Arc<PeerConnection>>>;

/// An open connection with its pending calls.
struct PeerConnection {
    frames: async_channel::Sender<PeerFrame>,
    calls: Arc<CallTable>,
}

/// A call that waits for its reply; dropping it before the reply cancels the call at the peer.
struct PendingCall {
    connection: Arc<PeerConnection>,
    number: u64,
    is_answered: bool,
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        let pending = &self.connection.calls.pending;
        pending.lock().unwrap().swap_remove(&self.number);
        if !self.is_answered {
            let cancel = PeerBody::Cancel(CancelWire {});
            let _ = self
                .connection
                .frames
                .try_send(PeerFrame::new(self.number, cancel));
        }
    }
}

/// Calls of a connection that wait for their replies.
#[derive(Default)]
struct CallTable {
    pending: Mutex<IndexMap<u64, async_channel::Sender<PeerBody>>>,
    next_number: AtomicU64,
    is_closed: AtomicBool,
}

impl PeerClient {
    /// Time limit for opening a connection, including the proof of the secret.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
    /// Maximum number of frames of a connection that wait to be written.
    const MAX_QUEUED_FRAMES: usize = 1_024;

    /// Returns a client without connections.
    pub(crate) fn new(
        pool: Arc<WorkerPool>,
        dialer: TcpDialer,
        settings: &DaemonSettings,
        hints: Arc<FeedHints>,
    ) -> Self {
        Self {
            pool,
            dialer,
            secret: settings.peer_secret.clone(),
            max_frame_bytes: settings.peer_limits.max_frame_bytes,
            connections: Mutex::default(),
            hints,
        }
    }

    /// Sends a call to the peer at `address` and waits up to `timeout` for the reply.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        body: PeerBody,
        timeout: Duration,
    ) -> Result<PeerBody, PeerError> {
        let slot = self.slot(address, PeerChannel::Requests);
        let connection = self.connection(address, &mut *slot.lock().await).await?;
        Self::call_over(&connection, body, timeout).await
    }

    /// Sends a heartbeat to the peer at `address` and waits for the reply.
    ///
    /// Fails at once while the connection is still being opened. After a heartbeat without
    /// a reply the connection is dropped, and the next heartbeat opens a new one.
    pub(crate) async fn heartbeat(
        &self,
        address: SocketAddr,
        body: PeerBody,
        timeout: Duration,
    ) -> Result<PeerBody, PeerError> {
        let slot = self.slot(address, PeerChannel::Heartbeats);
        let connection = {
            let not_connected = || PeerError::NotSent("connecting".into());
            let mut current = slot.try_lock().ok_or_else(not_connected)?;
            self.connection(address, &mut current).await?
        };
        let result = Self::call_over(&connection, body, timeout).await;
        if result.is_err()
            && let Some(mut current) = slot.try_lock()
            && current
                .as_ref()
                .is_some_and(|current| Arc::ptr_eq(current, &connection))
        {
            *current = None;
        }
        result
    }

    fn slot(&self, address: SocketAddr, channel: PeerChannel) -> Arc<ConnectionSlot> {
        let mut connections = self.connections.lock().unwrap();
        connections.entry((address, channel)).or_default().clone()
    }

    /// Sends a call over an open connection and waits for the reply.
    async fn call_over(
        connection: &Arc<PeerConnection>,
        body: PeerBody,
        timeout: Duration,
    ) -> Result<PeerBody, PeerError> {
        let number = connection.calls.next_number.fetch_add(1, Ordering::Relaxed);
        let (reply_sender, reply_receiver) = async_channel::bounded(1);
        connection
            .calls
            .pending
            .lock()
            .unwrap()
            .insert(number, reply_sender);
        let frame = PeerFrame::new(number, body);
        if connection.frames.try_send(frame).is_err() {
            connection
                .calls
                .pending
                .lock()
                .unwrap()
                .swap_remove(&number);
            return Err(PeerError::NotSent(
                "too many frames are waiting on the connection".into(),
            ));
        }
        let mut call = PendingCall {
            connection: connection.clone(),
            number,
            is_answered: false,
        };
        let timed_out = async {
            Timer::after(timeout).await;
            Err(PeerError::Unclear("timed out".into()))
        };
        let reply = async {
            reply_receiver
                .recv()
                .await
                .map_err(|_| PeerError::Unclear("connection lost".into()))
        };
        let result = future::or(reply, timed_out).await;
        call.is_answered = result.is_ok();
        result
    }

    /// Returns the connection in `slot`, or opens one there if it is missing or closed.
    async fn connection(
        &self,
        address: SocketAddr,
        slot: &mut Option<Arc<PeerConnection>>,
    ) -> Result<Arc<PeerConnection>, PeerError> {
        if let Some(connection) = slot
            && !connection.calls.is_closed.load(Ordering::SeqCst)
        {
            return Ok(connection.clone());
        }
        let timed_out = async {
            Timer::after(Self::CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let connection = future::or(self.open(address), timed_out)
            .await
            .map_err(|error| PeerError::NotSent(format!("{address}: {error}")))?;
        let connection = Arc::new(connection);
        *slot = Some(connection.clone());
        Ok(connection)
    }

    /// Opens a connection, proves the secret and starts to exchange frames.
    async fn open(&self, address: SocketAddr) -> io::Result<PeerConnection> {
        let stream = self.dialer.connect(address, Self::CONNECT_TIMEOUT).await?;
        let mut framed = Framed::new(stream.compat(), PeerFrame::codec(self.max_frame_bytes));
        let first_frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        let Some(PeerBody::Challenge(challenge)) = PeerFrame::from_bytes(&first_frame)?.body else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let proof = PeerBody::Proof(PeerProof::create(&self.secret, &challenge));
        framed.send(PeerFrame::new(0, proof).to_bytes()).await?;
        let (mut sink, mut stream) = futures_util::StreamExt::split(framed);
        let (frames, queued_frames) = async_channel::bounded::<PeerFrame>(Self::MAX_QUEUED_FRAMES);
        let calls = Arc::new(CallTable::default());
        let connection_calls = calls.clone();
        let hints = self.hints.clone();
        let write = async move {
            while let Ok(frame) = queued_frames.recv().await {
                let frame = frame.with_known_version(hints.own_version());
                if sink.send(frame.to_bytes()).await.is_err() {
                    return;
                }
            }
        };
        let hints = self.hints.clone();
        let read = async move {
            while let Some(Ok(bytes)) = stream.next().await {
                let Ok(PeerFrame {
                    call,
                    body: Some(body),
                    known_version,
                }) = PeerFrame::from_bytes(&bytes)
                else {
                    return;
                };
                hints.record_announced(known_version);
                let pending = calls.pending.lock().unwrap().swap_remove(&call);
                match pending {
                    Some(reply_sender) => drop(reply_sender.try_send(body)),
                    None => metrics::counter!(metric_table::LATE_REPLIES).increment(1),
                }
            }
        };
        let ended_calls = connection_calls.clone();
        self.pool.spawn(async move {
            future::or(write, read).await;
            ended_calls.is_closed.store(true, Ordering::SeqCst);
            ended_calls.pending.lock().unwrap().clear();
        });
        Ok(PeerConnection {
            frames,
            calls: connection_calls,
        })
    }
}
