//! Accepts connections of other instances and answers their calls.

use crate::{instance_node::InFlightGuard, prelude::*};
use async_net::{TcpListener, TcpStream};
use futures_lite::StreamExt;
use futures_util::SinkExt;
use tokio_util::{
    codec::Framed,
    compat::{Compat, FuturesAsyncReadCompatExt},
};

/// Maximum number of replies of a connection that wait to be written.
const MAX_QUEUED_REPLIES: usize = 1_024;

/// Connection that a peer has opened.
type PeerStream = Framed<Compat<TcpStream>, tokio_util::codec::LengthDelimitedCodec>;

/// A reply to a peer; a forwarded request counts as in flight until its reply is written.
struct CountedReply {
    frame: PeerFrame,
    _in_flight_guard: Option<InFlightGuard>,
}

/// Accepts connections of peers until the worker pool stops.
pub(crate) async fn run(node: Arc<InstanceNode>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let limits = node.settings.peer_limits;
        let Some(guard) = node.connections.peers.admit(limits.max_connections) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let node = node.clone();
        node.pool.clone().spawn(async move {
            if let Err(error) = serve(&node, stream).await {
                log::debug!("connection of a peer failed: {error}");
            }
            drop(guard);
        });
    }
}

/// Authenticates a peer, then answers its calls concurrently until the connection ends.
async fn serve(node: &Arc<InstanceNode>, stream: TcpStream) -> io::Result<()> {
    let codec = PeerFrame::codec(node.settings.peer_limits.max_frame_bytes);
    let mut framed = Framed::new(stream.compat(), codec);
    if let Err(error) = authenticate(node, &mut framed).await {
        node.connections
            .unauthenticated
            .fetch_add(1, Ordering::Relaxed);
        return Err(error);
    }
    let (mut sink, mut stream) = futures_util::StreamExt::split(framed);
    let (replies, queued_replies) = async_channel::bounded::<CountedReply>(MAX_QUEUED_REPLIES);
    let running = RunningCalls::default();
    let write = async {
        while let Ok(reply) = queued_replies.recv().await {
            let frame = reply
                .frame
                .with_known_version(node.feed.hints.own_version());
            sink.send(frame.to_bytes()).await?;
        }
        Ok(())
    };
    let read = async {
        while let Some(bytes) = stream.next().await {
            let PeerFrame {
                call,
                body: Some(body),
                known_version,
            } = PeerFrame::from_bytes(&bytes?)?
            else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            node.feed.hints.record_announced(known_version);
            if matches!(body, PeerBody::Cancel(_)) {
                running.cancel(call);
                continue;
            }
            let node = node.clone();
            let replies = replies.clone();
            let guard = running.begin(call);
            let in_flight_guard =
                matches!(body, PeerBody::Forward(_)).then(|| node.count_in_flight());
            node.pool.clone().spawn(async move {
                let reply = async { answer(&node, body).await };
                if let Some(reply) = future::or(reply, guard.cancelled()).await {
                    let reply = CountedReply {
                        frame: PeerFrame::new(call, reply),
                        _in_flight_guard: in_flight_guard,
                    };
                    let _ = replies.send(reply).await;
                }
            });
        }
        Ok(())
    };
    future::or(write, read).await
}

/// Sends a challenge and checks the peer's proof, which must be its first frame.
async fn authenticate(node: &InstanceNode, framed: &mut PeerStream) -> io::Result<()> {
    let challenge = Uuid::new_v4().as_bytes().to_vec();
    let first_frame = PeerFrame::new(0, PeerBody::Challenge(challenge.clone()));
    framed.send(first_frame.to_bytes()).await?;
    let timed_out = async {
        Timer::after(node.settings.peer_limits.proof_timeout).await;
        None
    };
    let reply = future::or(framed.next(), timed_out)
        .await
        .ok_or(io::ErrorKind::UnexpectedEof)??;
    let Some(PeerBody::Proof(proof)) = PeerFrame::from_bytes(&reply)?.body else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    match PeerProof::is_valid(&node.settings.peer_secret, &challenge, &proof) {
        true => Ok(()),
        false => Err(io::ErrorKind::PermissionDenied.into()),
    }
}

/// Returns the reply to a call; none if the frame is not a call.
async fn answer(node: &Arc<InstanceNode>, body: PeerBody) -> Option<PeerBody> {
    match body {
        PeerBody::Forward(wire) => Some(PeerBody::ForwardReply(run_forwarded(node, wire).await)),
        PeerBody::VoteBatch(wire) => Some(PeerBody::VoteBatchReply(election_worker::answer_votes(
            node, wire,
        ))),
        PeerBody::FeedPull(pull) => Some(PeerBody::FeedBatch(
            feed_worker::answer_pull(node, &pull).await,
        )),
        PeerBody::DedupUpdate(wire) => {
            let accepted = node.dedup.accept(wire).unwrap_or(false);
            Some(PeerBody::DedupUpdateReply(DedupUpdateReplyWire {
                accepted,
            }))
        }
        PeerBody::DedupPull(wire) => {
            let page = node.dedup.serve_pull(&wire).unwrap_or_default();
            Some(PeerBody::DedupPage(page))
        }
        PeerBody::Challenge(_)
        | PeerBody::Proof(_)
        | PeerBody::ForwardReply(_)
        | PeerBody::VoteBatchReply(_)
        | PeerBody::FeedBatch(_)
        | PeerBody::DedupUpdateReply(_)
        | PeerBody::DedupPage(_)
        | PeerBody::Cancel(_) => None,
    }
}

/// Runs a request that another instance has forwarded, within its remaining time.
async fn run_forwarded(node: &Arc<InstanceNode>, wire: ForwardWire) -> ForwardReplyWire {
    let deadline = node
        .clock
        .now()
        .after(Duration::from_micros(wire.remaining_us));
    let refuse =
        |reason| ForwardReplyWire::from(&CallerAnswer::Refusal(RefusalNotice::not_run(reason)));
    let Ok(request) = CallerRequest::try_from(wire) else {
        return refuse(RefusalReason::BadRequest);
    };
    let Some(class) = node.tables.find_class(&request.service, &request.class) else {
        return refuse(RefusalReason::UnknownClass);
    };
    (&dispatch_worker::run(node, &request, &class, deadline).await).into()
}
