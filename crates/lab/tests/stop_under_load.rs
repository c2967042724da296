//! A planned stop under callers that go on sending on their open connections.

use {
    async_io::Timer,
    bytes::Bytes,
    futures_lite::future::{block_on, zip},
    geraniummast_lab::{ClusterPlan, ServerBehaviour, TestCluster},
    geraniummast_net::{HttpClient, TcpDialer, WorkerPool},
    http::Request,
    http_body_util::Full,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Longest time that one exchange may take.
const PATIENCE: Duration = Duration::from_secs(30);
/// Callers, each with one connection and one request at a time.
const CALLERS: u64 = 4;

/// Sends requests on one connection until it is told to close or breaks; gives the break.
async fn call(client: HttpClient, number: u64, stopped: &AtomicBool) -> Option<String> {
    Timer::after(Duration::from_millis(80 * number)).await;
    while !stopped.load(Ordering::SeqCst) {
        let request = Request::post(format!("/reports/weld-{number}/file"))
            .header("host", "callers")
            .body(Full::new(Bytes::from_static(b"weld passed")))
            .unwrap();
        match client.exchange(request, PATIENCE).await {
            Ok(answer) if answer.headers().contains_key("connection") => return None,
            Ok(_) => {}
            Err(error) => return Some(format!("caller {number}: {error:?}")),
        }
    }
    None
}

// Guards against the class of inc1: under load a stop ran to its bound, and cut what was in flight.
#[test]
fn a_stop_ends_in_time_and_cuts_nothing_while_callers_go_on_sending() {
    block_on(async {
        let behaviour = ServerBehaviour {
            run_time: Duration::from_millis(300),
            ..ServerBehaviour::default()
        };
        let plan = ClusterPlan {
            behaviour,
            ..ClusterPlan::default()
        };
        let bench = TestCluster::start(&plan).await.unwrap();
        let address = bench.instances[0].caller_address();
        let pool = WorkerPool::start("test", 2).unwrap();
        let stopped = Arc::new(AtomicBool::new(false));
        let breaks = Arc::new(Mutex::new(Vec::new()));
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let client = HttpClient::new(pool.clone(), TcpDialer::direct(), address);
                let (stopped, breaks) = (stopped.clone(), breaks.clone());
                pool.spawn_cancellable(async move {
                    let broken = call(client, number, &stopped).await;
                    breaks.lock().unwrap().extend(broken);
                })
            })
            .collect();
        Timer::after(Duration::from_secs(1)).await;
        let stop = async {
            let whole = bench.instances[0].stop().await;
            stopped.store(true, Ordering::SeqCst);
            whole
        };
        let finish = async {
            for caller in callers {
                caller.await;
            }
        };
        let (whole, ()) = zip(stop, finish).await;
        let breaks = breaks.lock().unwrap().clone();
        pool.stop();
        assert!(
            whole && breaks.is_empty(),
            "whole: {whole}, cut: {breaks:?}"
        );
    });
}
