//! Calls to other instances over two shared connections each: one for requests, one for heartbeats,
//! which no large request holds up.

use crate::prelude::*;
use futures_lite::StreamExt;
use futures_util::SinkExt;
use tokio_util::{codec::Framed, compat::FuturesAsyncReadCompatExt};

/// Connections to peers by address.
pub(crate) struct PeerClient {
    pool: Arc<WorkerPool>,
    dialer: TcpDialer,
    secret: String,
    max_frame_bytes: usize,
    lines: Mutex<IndexMap<(SocketAddr, PeerLane), Arc<LineSlot>>>,
    hints: Arc<FeedHints>,
}

/// What a connection is for.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum PeerLane {
    Requests,
    Heartbeats,
}

/// Place of one connection, locked while it is opened.
type LineSlot = async_lock::Mutex<Option<Arc<PeerLine>>>;

/// One connection with its calls that wait for a reply.
struct PeerLine {
    frames: async_channel::Sender<PeerFrame>,
    calls: Arc<CallTable>,
}

/// A call that waits for its reply; dropped before, it is cancelled at the peer.
struct WaitingCall {
    line: Arc<PeerLine>,
    number: u64,
    done: bool,
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        let waiting = &self.line.calls.waiting;
        waiting.lock().unwrap().swap_remove(&self.number);
        if !self.done {
            let cancel = PeerBody::Cancel(CancelWire {});
            let _ = self
                .line
                .frames
                .try_send(PeerFrame::new(self.number, cancel));
        }
    }
}

#[derive(Default)]
struct CallTable {
    waiting: Mutex<IndexMap<u64, async_channel::Sender<PeerBody>>>,
    next: AtomicU64,
    closed: AtomicBool,
}

impl PeerClient {
    /// Time to open a connection and prove the secret.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
    /// Frames that may wait to be written.
    const MAX_WAITING_FRAMES: usize = 1_024;

    /// Client without connections.
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
            lines: Mutex::default(),
            hints,
        }
    }

    /// Calls the peer at `address` and waits up to `timeout` for the reply.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        body: PeerBody,
        timeout: Duration,
    ) -> Result<PeerBody, PeerError> {
        let slot = self.slot(address, PeerLane::Requests);
        let line = self.line(address, &mut *slot.lock().await).await?;
        Self::call_on(&line, body, timeout).await
    }

    /// Exchanges heartbeats with the peer at `address`; a connection that went silent is replaced.
    pub(crate) async fn heartbeat(
        &self,
        address: SocketAddr,
        body: PeerBody,
        timeout: Duration,
    ) -> Result<PeerBody, PeerError> {
        let slot = self.slot(address, PeerLane::Heartbeats);
        let line = {
            let connecting = || PeerError::NotSent("connecting".into());
            let mut line = slot.try_lock().ok_or_else(connecting)?;
            self.line(address, &mut line).await?
        };
        let result = Self::call_on(&line, body, timeout).await;
        if result.is_err()
            && let Some(mut current) = slot.try_lock()
            && current
                .as_ref()
                .is_some_and(|current| Arc::ptr_eq(current, &line))
        {
            *current = None;
        }
        result
    }

    fn slot(&self, address: SocketAddr, lane: PeerLane) -> Arc<LineSlot> {
        let mut lines = self.lines.lock().unwrap();
        lines.entry((address, lane)).or_default().clone()
    }

    async fn call_on(
        line: &Arc<PeerLine>,
        body: PeerBody,
        timeout: Duration,
    ) -> Result<PeerBody, PeerError> {
        let number = line.calls.next.fetch_add(1, Ordering::Relaxed);
        let (reply, replied) = async_channel::bounded(1);
        line.calls.waiting.lock().unwrap().insert(number, reply);
        let frame = PeerFrame::new(number, body);
        if line.frames.try_send(frame).is_err() {
            line.calls.waiting.lock().unwrap().swap_remove(&number);
            return Err(PeerError::NotSent("connection congested".into()));
        }
        let mut call = WaitingCall {
            line: line.clone(),
            number,
            done: false,
        };
        let late = async {
            Timer::after(timeout).await;
            Err(PeerError::Unclear("timed out".into()))
        };
        let result = async {
            replied
                .recv()
                .await
                .map_err(|_| PeerError::Unclear("connection lost".into()))
        };
        let result = future::or(result, late).await;
        call.done = result.is_ok();
        result
    }

    async fn line(
        &self,
        address: SocketAddr,
        slot: &mut Option<Arc<PeerLine>>,
    ) -> Result<Arc<PeerLine>, PeerError> {
        if let Some(line) = slot
            && !line.calls.closed.load(Ordering::SeqCst)
        {
            return Ok(line.clone());
        }
        let late = async {
            Timer::after(Self::CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let line = future::or(self.open(address), late)
            .await
            .map_err(|error| PeerError::NotSent(format!("{address}: {error}")))?;
        let line = Arc::new(line);
        *slot = Some(line.clone());
        Ok(line)
    }

    async fn open(&self, address: SocketAddr) -> io::Result<PeerLine> {
        let stream = self.dialer.connect(address, Self::CONNECT_TIMEOUT).await?;
        let mut framed = Framed::new(stream.compat(), PeerFrame::codec(self.max_frame_bytes));
        let first = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        let Some(PeerBody::Challenge(challenge)) = PeerFrame::decoded(&first)?.body else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let proof = PeerBody::Proof(PeerProof::make(&self.secret, &challenge));
        framed.send(PeerFrame::new(0, proof).encoded()).await?;
        let (mut sink, mut stream) = futures_util::StreamExt::split(framed);
        let (frames, to_send) = async_channel::bounded::<PeerFrame>(Self::MAX_WAITING_FRAMES);
        let calls = Arc::new(CallTable::default());
        let table = calls.clone();
        let hints = self.hints.clone();
        let write = async move {
            while let Ok(frame) = to_send.recv().await {
                let frame = frame.knowing(hints.own());
                if sink.send(frame.encoded()).await.is_err() {
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
                    known,
                }) = PeerFrame::decoded(&bytes)
                else {
                    return;
                };
                hints.hear(known);
                let waiting = calls.waiting.lock().unwrap().swap_remove(&call);
                match waiting {
                    Some(reply) => drop(reply.try_send(body)),
                    None => metrics::counter!(metric_table::LATE_REPLIES).increment(1),
                }
            }
        };
        let ended = table.clone();
        self.pool.spawn(async move {
            future::or(write, read).await;
            ended.closed.store(true, Ordering::SeqCst);
            ended.waiting.lock().unwrap().clear();
        });
        Ok(PeerLine {
            frames,
            calls: table,
        })
    }
}
