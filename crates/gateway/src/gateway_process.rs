//! The process of a gateway instance: settings, logging, signals and exit codes.

use crate::{
    announcement_worker, caller_listeners, discovery_worker, feed_client, feed_server,
    knowledge_worker, leader_worker, object_mirror::OBJECT_KINDS, object_watcher, operator_page,
    peer_worker, prelude::*, quarantine_writer, relay_server,
};
use async_net::{TcpListener, UdpSocket};
use logforth::{append, layout::LogfmtLayout};
use std::{
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

/// Program name in messages that are printed before logging is set up.
const PROGRAM: &str = "geraniummastd gateway";

/// Runs a gateway instance with `arguments` until a signal stops it.
pub fn run(arguments: impl IntoIterator<Item = std::ffi::OsString>) -> ExitCode {
    run_process(PROGRAM, |receiver| {
        let request = GatewaySettings::read(arguments, |name| std::env::var_os(name));
        let settings = match request.resolve(PROGRAM) {
            Ok(settings) => settings,
            Err(code) => return code,
        };
        let output = append::Stdout::default().with_layout(LogfmtLayout::default());
        run_logged(output, settings.log_level, || {
            serve(settings, receiver).map(|()| ExitCode::SUCCESS)
        })
    })
}

fn serve(settings: GatewaySettings, receiver: &mut SignalReceiver) -> eyre::Result<()> {
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_millis() as u64);
    // No additional worker threads: an instance is given a share of a single core.
    let workers = WorkerPool::start("worker", 0)?;
    let node = Arc::new(GatewayNode::new(settings, workers.clone(), incarnation));
    workers.block_on(run_instance(node, receiver))
}

async fn run_instance(node: Arc<GatewayNode>, receiver: &mut SignalReceiver) -> eyre::Result<()> {
    let metrics = operator_page::install_metrics()?;
    node.peers
        .lock()
        .init(&node.settings.name, &node.settings.data_centre, node.now());
    let socket = UdpSocket::bind(node.settings.peer_address).await?;
    let _ = node.peer_socket.set(socket.clone());
    let feed = TcpListener::bind(node.settings.feed_address).await?;
    let connections = caller_listeners::start(&node, metrics).await?;
    relay_server::start(&node).await?;
    let workers = &node.workers;
    for kind in OBJECT_KINDS.into_iter().filter(|kind| node.follows(*kind)) {
        spawn(&node, kind.label(), move |node| {
            object_watcher::follow(node, kind)
        });
    }
    workers.spawn(feed_server::serve(node.clone(), feed));
    spawn(&node, "feed-peers", feed_client::poll_peers);
    spawn(&node, "feed-seeds", feed_client::poll_seeds);
    spawn(&node, "knowledge", knowledge_worker::run);
    spawn(&node, "eras", era_worker::follow);
    spawn(&node, "discovery", discovery_worker::expire_servers);
    spawn(&node, "announcement", announcement_worker::announce);
    spawn(&node, "leaders", leader_worker::run);
    spawn(&node, "quarantine", quarantine_writer::keep_record);
    let receiving_socket = socket.clone();
    spawn(&node, "heartbeats-in", move |node| {
        peer_worker::listen(node, receiving_socket.clone())
    });
    spawn(&node, "heartbeats-out", move |node| {
        peer_worker::send(node, socket.clone())
    });
    spawn(&node, "log-report", report_suppressed_logs);
    log::info!(
        name = node.settings.name.as_str(),
        incarnation = node.own_incarnation.incarnation,
        callers = node.settings.caller_address.to_string().as_str(),
        store = node.settings.store_address.to_string().as_str();
        "started"
    );
    receiver.wait_for_stop().await;
    stop(&node, &connections, receiver).await;
    Ok(())
}

/// Starts a worker that runs until the process ends; after a panic it is started again.
fn spawn<W>(
    node: &Arc<GatewayNode>,
    name: &'static str,
    work: impl Fn(Arc<GatewayNode>) -> W + Send + 'static,
) where
    W: Future<Output = ()> + Send + 'static,
{
    let worker_node = node.clone();
    node.workers
        .spawn_restarting(name, move || work(worker_node.clone()));
}

/// Periodically logs how many lines the rate limit has suppressed.
async fn report_suppressed_logs(node: Arc<GatewayNode>) {
    /// Time between reports.
    const INTERVAL: Duration = Duration::from_secs(5);
    loop {
        Timer::after(INTERVAL).await;
        node.log.log_suppressed();
    }
}

/// Logs each request that the process exits without having answered.
fn log_cut_requests(node: &GatewayNode) {
    let now = node.now();
    for call in node.open_calls.all() {
        if node.log.allow("cut", now) {
            log::warn!(
                id = call.headers.id_text(),
                service = call.service.as_str(),
                route = call.route.name.as_str(),
                sends = call.progress.attempts_sent.load(Ordering::Relaxed),
                in_flight = call.progress.in_flight.load(Ordering::Relaxed),
                after_ms = now.since(call.arrived_at).as_millis() as u64;
                "request cut by the end of the process"
            );
        }
    }
}

/// Stops gracefully: keeps accepting requests for a while, finishes those in flight and closes
/// connections as they become idle.
async fn stop(
    node: &Arc<GatewayNode>,
    connections: &OpenConnections,
    receiver: &mut SignalReceiver,
) {
    node.begin_stop();
    connections.disable_keep_alive();
    log::info!(connections = connections.count(); "stopping");
    let outcome = receiver.run_stop(run_stop(node, connections)).await;
    log_cut_requests(node);
    node.log.log_suppressed();
    log::info!(
        end = outcome.label(),
        connections = connections.count(),
        requests = node.open_calls.count(),
        took_ms = node.stop_elapsed().unwrap_or_default().as_millis() as u64;
        "stopped"
    );
}

/// Carries out the steps of the stop plan until it ends.
async fn run_stop(node: &GatewayNode, connections: &OpenConnections) -> StopOutcome {
    /// Time between checks of the stop's progress.
    const INTERVAL: Duration = Duration::from_millis(20);
    let plan = node.settings.stop_plan();
    let mut answered_at = None;
    loop {
        let now = node.now();
        let progress = StopProgress {
            elapsed: node.stop_elapsed().unwrap_or_default(),
            since_answered: answered_at.map(|at| now.since(at)),
            // Requests of other instances come on connections that are not counted.
            connections: connections.count().max(node.open_calls.count()),
            is_accepting: connections.is_accepting(),
            is_leading: node.is_leading(),
        };
        match plan.next_step(progress) {
            StopStep::Wait => {}
            StopStep::CloseIdle => connections.close(),
            StopStep::StopListening => connections.stop_accepting(),
            StopStep::AnswerPending => {
                connections.stop_accepting();
                connections.close();
                node.cancel_pending.set();
                answered_at = Some(now);
            }
            StopStep::End(outcome) => return outcome,
        }
        Timer::after(INTERVAL).await;
    }
}
