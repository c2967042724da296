//! Graceful stop while callers keep sending requests on open connections.

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

/// Time limit of one request.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of callers, each with one connection and one request at a time.
const CALLERS: u64 = 4;

/// Sends requests on one connection until the instance closes it, the stop ends or a request fails;
/// returns the failure.
async fn send_requests(client: HttpClient, number: u64, stopped: &AtomicBool) -> Option<String> {
    Timer::after(Duration::from_millis(80 * number)).await;
    while !stopped.load(Ordering::SeqCst) {
        let request = Request::post(format!("/reports/weld-{number}/file"))
            .header("host", "callers")
            .body(Full::new(Bytes::from_static(b"weld passed")))
            .unwrap();
        match client.exchange(request, EXCHANGE_TIMEOUT).await {
            Ok(answer) if answer.headers().contains_key("connection") => return None,
            Ok(_) => {}
            Err(error) => return Some(format!("caller {number}: {error:?}")),
        }
    }
    None
}

// Guards against a stop under load that runs to its time limit and then cuts requests in flight
// (incident inc1).
#[test]
fn stop_under_load_completes_in_time_and_cuts_no_request() {
    block_on(async {
        let behaviour = ServerBehaviour {
            run_time: Duration::from_millis(300),
            ..ServerBehaviour::default()
        };
        let plan = ClusterPlan {
            behaviour,
            ..ClusterPlan::default()
        };
        let cluster = TestCluster::start(&plan).await.unwrap();
        let address = cluster.instances[0].caller_address();
        let pool = WorkerPool::start("test", 2).unwrap();
        let stopped = Arc::new(AtomicBool::new(false));
        let failures = Arc::new(Mutex::new(Vec::new()));
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let client = HttpClient::new(pool.clone(), TcpDialer::direct(), address);
                let (stopped, failures) = (stopped.clone(), failures.clone());
                pool.spawn_cancellable(async move {
                    let failure = send_requests(client, number, &stopped).await;
                    failures.lock().unwrap().extend(failure);
                })
            })
            .collect();
        Timer::after(Duration::from_secs(1)).await;
        let stop = async {
            let complete = cluster.instances[0].stop().await;
            stopped.store(true, Ordering::SeqCst);
            complete
        };
        let finish = async {
            for caller in callers {
                caller.await;
            }
        };
        let (complete, ()) = zip(stop, finish).await;
        let failures = failures.lock().unwrap().clone();
        pool.stop();
        assert!(
            complete && failures.is_empty(),
            "complete: {complete}, failures: {failures:?}"
        );
    });
}
