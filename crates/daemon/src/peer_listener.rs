//! Serving of other instances' calls.

use crate::{instance_node::FlightGuard, prelude::*};
use async_net::{TcpListener, TcpStream};
use futures_lite::StreamExt;
use futures_util::SinkExt;
use tokio_util::{
    codec::Framed,
    compat::{Compat, FuturesAsyncReadCompatExt},
};

/// Replies of one connection that may wait to be written.
const MAX_WAITING_REPLIES: usize = 1_024;

/// Connection of a peer.
type PeerStream = Framed<Compat<TcpStream>, tokio_util::codec::LengthDelimitedCodec>;

/// A reply, counted as in flight until it is written.
struct CountedReply {
    frame: PeerFrame,
    _flight: Option<FlightGuard>,
}

/// Accepts peers until the pool stops.
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
                log::debug!("peer connection ended: {error}");
            }
            drop(guard);
        });
    }
}

async fn serve(node: &Arc<InstanceNode>, stream: TcpStream) -> io::Result<()> {
    let codec = PeerFrame::codec(node.settings.peer_limits.max_frame_bytes);
    let mut framed = Framed::new(stream.compat(), codec);
    if let Err(error) = prove(node, &mut framed).await {
        node.connections.unproved.fetch_add(1, Ordering::Relaxed);
        return Err(error);
    }
    let (mut sink, mut stream) = futures_util::StreamExt::split(framed);
    let (replies, to_send) = async_channel::bounded::<CountedReply>(MAX_WAITING_REPLIES);
    let running = RunningCalls::default();
    let write = async {
        while let Ok(reply) = to_send.recv().await {
            let frame = reply.frame.knowing(node.feed.hints.own());
            sink.send(frame.encoded()).await?;
        }
        Ok(())
    };
    let read = async {
        while let Some(bytes) = stream.next().await {
            let PeerFrame {
                call,
                body: Some(body),
                known,
            } = PeerFrame::decoded(&bytes?)?
            else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            node.feed.hints.hear(known);
            if matches!(body, PeerBody::Cancel(_)) {
                running.cancel(call);
                continue;
            }
            let node = node.clone();
            let replies = replies.clone();
            let guard = running.begin(call);
            let flight = matches!(body, PeerBody::Forward(_)).then(|| node.count_in_flight());
            node.pool.clone().spawn(async move {
                let reply = async { answer(&node, body).await };
                if let Some(reply) = future::or(reply, guard.cancelled()).await {
                    let reply = CountedReply {
                        frame: PeerFrame::new(call, reply),
                        _flight: flight,
                    };
                    let _ = replies.send(reply).await;
                }
            });
        }
        Ok(())
    };
    future::or(write, read).await
}

/// Lets the peer prove the secret before any other frame.
async fn prove(node: &InstanceNode, framed: &mut PeerStream) -> io::Result<()> {
    let challenge = Uuid::new_v4().as_bytes().to_vec();
    let first = PeerFrame::new(0, PeerBody::Challenge(challenge.clone()));
    framed.send(first.encoded()).await?;
    let late = async {
        Timer::after(node.settings.peer_limits.proof_timeout).await;
        None
    };
    let reply = future::or(framed.next(), late)
        .await
        .ok_or(io::ErrorKind::UnexpectedEof)??;
    let Some(PeerBody::Proof(proof)) = PeerFrame::decoded(&reply)?.body else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    match PeerProof::holds(&node.settings.peer_secret, &challenge, &proof) {
        true => Ok(()),
        false => Err(io::ErrorKind::PermissionDenied.into()),
    }
}

async fn answer(node: &Arc<InstanceNode>, body: PeerBody) -> Option<PeerBody> {
    match body {
        PeerBody::Forward(wire) => Some(PeerBody::ForwardReply(run_forwarded(node, wire).await)),
        PeerBody::Lease(wire) => Some(PeerBody::LeaseReply(election_worker::answer(node, wire))),
        PeerBody::FeedPull(pull) => {
            Some(PeerBody::FeedBatch(feed_worker::answer(node, &pull).await))
        }
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
        | PeerBody::LeaseReply(_)
        | PeerBody::FeedBatch(_)
        | PeerBody::DedupUpdateReply(_)
        | PeerBody::DedupPage(_)
        | PeerBody::Cancel(_) => None,
    }
}

async fn run_forwarded(node: &Arc<InstanceNode>, wire: ForwardWire) -> ForwardReplyWire {
    let deadline = node
        .clock
        .now()
        .after(Duration::from_micros(wire.remaining_us));
    let refused =
        |reason| ForwardReplyWire::from(&CallerAnswer::Refusal(RefusalNotice::not_run(reason)));
    let Ok(request) = CallerRequest::try_from(wire) else {
        return refused(RefusalReason::BadRequest);
    };
    let Some(class) = node.tables.find_class(&request.service, &request.class) else {
        return refused(RefusalReason::UnknownClass);
    };
    (&dispatch_worker::run(node, &request, &class, deadline).await).into()
}
