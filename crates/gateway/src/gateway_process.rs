//! The process around an instance: settings, logs, signals and exit codes.

use crate::{
    caller_listeners, discovery_worker, feed_client, feed_server, leader_worker,
    object_mirror::OBJECT_KINDS, object_watcher, operator_page, peer_worker, prelude::*,
    record_worker,
};
use async_net::{TcpListener, UdpSocket};
use logforth::{append, layout::LogfmtLayout};
use std::{
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

/// Name under which faults are told before logs are.
const PROGRAM: &str = "geraniummastd gateway";

/// Runs an instance with `arguments` until a signal stops it.
pub fn run(arguments: impl IntoIterator<Item = std::ffi::OsString>) -> ExitCode {
    run_process(PROGRAM, |inbox| {
        let request = GatewaySettings::read(arguments, |name| std::env::var_os(name));
        let settings = match request.settle(PROGRAM) {
            Ok(settings) => settings,
            Err(code) => return code,
        };
        let output = append::Stdout::default().with_layout(LogfmtLayout::default());
        run_logged(output, settings.log_level, || {
            serve(settings, inbox).map(|()| ExitCode::SUCCESS)
        })
    })
}

fn serve(settings: GatewaySettings, inbox: &mut SignalInbox) -> eyre::Result<()> {
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_millis() as u64);
    // The calling thread is the one worker: instances have a part of one core.
    let workers = WorkerPool::start("worker", 0)?;
    let node = Arc::new(GatewayNode::new(settings, workers.clone(), incarnation));
    workers.drive(live(node, inbox))
}

async fn live(node: Arc<GatewayNode>, inbox: &mut SignalInbox) -> eyre::Result<()> {
    let metrics = operator_page::install_metrics()?;
    node.peers
        .lock()
        .unwrap()
        .init(&node.settings.name, &node.settings.data_centre, node.now());
    let socket = UdpSocket::bind(node.settings.peer_address).await?;
    let feed = TcpListener::bind(node.settings.feed_address).await?;
    let connections = caller_listeners::start(&node, metrics).await?;
    let workers = &node.workers;
    for kind in OBJECT_KINDS {
        workers.spawn(object_watcher::follow(node.clone(), kind));
    }
    workers.spawn(feed_server::serve(node.clone(), feed));
    workers.spawn(feed_client::poll_peers(node.clone()));
    workers.spawn(feed_client::poll_seeds(node.clone()));
    workers.spawn(discovery_worker::expire_servers(node.clone()));
    workers.spawn(record_worker::announce(node.clone()));
    workers.spawn(leader_worker::run(node.clone()));
    workers.spawn(peer_worker::listen(node.clone(), socket.clone()));
    workers.spawn(peer_worker::send(node.clone(), socket));
    workers.spawn(report_logs(node.clone()));
    log::info!(
        name = node.settings.name.as_str(),
        incarnation = node.own_incarnation.incarnation,
        callers = node.settings.caller_address.to_string().as_str(),
        store = node.settings.store_address.to_string().as_str();
        "started"
    );
    inbox.wait_stop().await;
    stop(&node, &connections, inbox).await;
    Ok(())
}

/// Tells from time to time what the logs leave out.
async fn report_logs(node: Arc<GatewayNode>) {
    /// Time between two reports.
    const INTERVAL: Duration = Duration::from_secs(5);
    loop {
        Timer::after(INTERVAL).await;
        node.log.report();
    }
}

/// Tells of requests that the end of the process leaves without an answer.
fn note_cut_requests(node: &GatewayNode) {
    let now = node.now();
    for call in node.open_calls.all() {
        if node.log.admit("cut", now) {
            log::warn!(
                id = call.facts.id_text(),
                service = call.service.as_str(),
                route = call.route.name.as_str(),
                sends = call.progress.sends.load(Ordering::Relaxed),
                in_flight = call.progress.in_flight.load(Ordering::Relaxed),
                after_ms = now.since(call.arrived).as_millis() as u64;
                "request cut by the end of the process"
            );
        }
    }
}

/// Takes what still comes, finishes what runs, and closes connections as they become idle.
async fn stop(node: &Arc<GatewayNode>, connections: &OpenConnections, inbox: &mut SignalInbox) {
    node.begin_stop();
    connections.retire();
    log::info!(connections = connections.count(); "stopping");
    let end = inbox.watch_stop(finish(node, connections)).await;
    note_cut_requests(node);
    node.log.report();
    log::info!(
        end = end.label(),
        connections = connections.count(),
        requests = node.open_calls.count(),
        took_ms = node.stop_elapsed().unwrap_or_default().as_millis() as u64;
        "stopped"
    );
}

/// Leads a stop to its end.
async fn finish(node: &GatewayNode, connections: &OpenConnections) -> StopOutcome {
    /// Time between two looks.
    const INTERVAL: Duration = Duration::from_millis(20);
    let plan = node.settings.stop_plan();
    let mut answered_at = None;
    loop {
        let now = node.now();
        let progress = StopProgress {
            elapsed: node.stop_elapsed().unwrap_or_default(),
            since_answered: answered_at.map(|at| now.since(at)),
            connections: connections.count(),
            is_accepting: connections.is_accepting(),
            is_leading: node.is_leading(),
        };
        match plan.next_step(progress) {
            StopStep::Wait => {}
            StopStep::CloseIdle => connections.close(),
            StopStep::StopListening => connections.end_accepting(),
            StopStep::AnswerWaiting => {
                connections.end_accepting();
                connections.close();
                node.waits_end.give();
                answered_at = Some(now);
            }
            StopStep::End(end) => return end,
        }
        Timer::after(INTERVAL).await;
    }
}
