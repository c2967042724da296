//! Graceful stop of an instance with requests in flight.

use {
    async_io::Timer,
    bytes::Bytes,
    futures_lite::future::{block_on, zip},
    geraniummast_lab::{ClusterPlan, ServerBehaviour, TestCluster},
    geraniummast_net::{
        ExchangeError, HttpClient, HttpConnection, SteadyClock, TcpDialer, WorkerPool,
    },
    http::{Method, Request, Response},
    http_body_util::Full,
    serde_json::Value,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time limit for an expected outcome.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);

async fn start() -> TestCluster {
    start_with(Duration::from_millis(300), OUTCOME_TIMEOUT).await
}

async fn start_with(run_time: Duration, stop_timeout: Duration) -> TestCluster {
    let behaviour = ServerBehaviour {
        run_time,
        ..ServerBehaviour::default()
    };
    let plan = ClusterPlan {
        behaviour,
        stop_timeout,
        ..ClusterPlan::default()
    };
    TestCluster::start(&plan).await.unwrap()
}

/// Returns the number of the instance that leads the only part.
async fn find_leader(cluster: &TestCluster) -> usize {
    let pool = WorkerPool::start("test", 1).unwrap();
    let mut leaders = Vec::new();
    for (number, instance) in cluster.instances.iter().enumerate() {
        let address = instance.operator_address();
        let client = HttpClient::new(pool.clone(), TcpDialer::direct(), address);
        let request = Request::get("/dump").header("host", "test");
        let request = request.body(Full::default()).unwrap();
        let response = client.exchange(request, OUTCOME_TIMEOUT).await.unwrap();
        let dump: Value = serde_json::from_slice(response.body()).unwrap();
        if dump["parts"][0]["led_here"] == true {
            leaders.push(number);
        }
    }
    pool.stop();
    assert_eq!(leaders.len(), 1);
    leaders[0]
}

/// Stops the instance `stopped` while a filing that was sent to `entry` runs.
///
/// Returns the answer to the filing and whether the stop was complete.
async fn stop_while_filing_runs(
    cluster: &TestCluster,
    entry: usize,
    stopped: usize,
) -> (Response<Bytes>, bool) {
    let before = cluster.ledger.runs().len();
    let body = Bytes::from_static(b"weld 7 passed");
    let filing = cluster.send(entry, Method::POST, "/reports/weld-7/file", body);
    let stop = async {
        let deadline = SteadyClock.now().after(OUTCOME_TIMEOUT);
        while cluster.ledger.runs().len() == before {
            assert!(SteadyClock.now() < deadline, "the filing does not run");
            Timer::after(Duration::from_millis(5)).await;
        }
        cluster.instances[stopped].stop().await
    };
    let (answer, complete) = zip(filing, stop).await;
    (answer.unwrap(), complete)
}

/// Stops the instance `stopped` during a short filing; asserts that both the filing and the stop
/// complete.
async fn assert_filing_completes(cluster: &TestCluster, entry: usize, stopped: usize) {
    let before = cluster.ledger.runs().len();
    let (answer, complete) = stop_while_filing_runs(cluster, entry, stopped).await;
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert_eq!(answer.headers()["geraniummast-ran"], "yes");
    assert!(answer.body().ends_with(b": 13 bytes\n"), "{answer:?}");
    assert!(complete);
    assert_eq!(cluster.ledger.runs().len(), before + 1);
}

#[test]
fn leader_answers_its_own_callers_before_it_stops() {
    block_on(async {
        let cluster = start().await;
        let leader = find_leader(&cluster).await;
        assert_filing_completes(&cluster, leader, leader).await;
    });
}

#[test]
fn leader_answers_forwarded_requests_before_it_stops() {
    block_on(async {
        let cluster = start().await;
        let leader = find_leader(&cluster).await;
        assert_filing_completes(&cluster, 1 - leader, leader).await;
    });
}

#[test]
fn entry_instance_returns_the_answer_before_it_stops() {
    block_on(async {
        let cluster = start().await;
        let entry = 1 - find_leader(&cluster).await;
        assert_filing_completes(&cluster, entry, entry).await;
    });
}

// Guards against a stop that cuts, at its time limit, a request that a server is still running
// (incident inc1).
#[test]
fn request_that_outlasts_the_stop_timeout_is_answered_before_the_stop_ends() {
    block_on(async {
        let cluster = start_with(Duration::from_millis(10), Duration::from_millis(600)).await;
        let leader = find_leader(&cluster).await;
        for server in &cluster.servers {
            server.set_behaviour(|behaviour| behaviour.run_time = Duration::from_secs(4));
        }
        let (answer, complete) = stop_while_filing_runs(&cluster, leader, leader).await;
        assert_eq!(
            answer.headers()["geraniummast-ran"],
            "unknown",
            "{answer:?}"
        );
        assert_eq!(answer.headers()["geraniummast-reason"], "draining");
        assert!(
            !complete,
            "the stop was reported complete although the filing was still running"
        );
    });
}

/// Sends lookups on one connection until it is closed; returns the number of lookups sent.
async fn send_until_closed(pool: Arc<WorkerPool>, address: SocketAddr) -> usize {
    /// More lookups than a stop leaves time for.
    const MAX_LOOKUPS: usize = 1_000;
    let dialer = TcpDialer::direct();
    let opened = HttpConnection::open(&pool, &dialer, address, OUTCOME_TIMEOUT).await;
    let mut connection = opened.unwrap();
    for sent in 0..MAX_LOOKUPS {
        let request = Request::get("/reports/weld-7").header("host", "callers");
        let request = request.body(Full::default()).unwrap();
        match connection.exchange(request, 1 << 20).await {
            Ok(answer) => assert_eq!(answer.status(), 200, "{answer:?}"),
            Err(ExchangeError::NotSent(_)) => return sent,
            Err(error) => panic!("lookup {sent}: {error:?}"),
        }
    }
    panic!("the connection is still open after {MAX_LOOKUPS} lookups");
}

// Guards against a stop that callers on open connections delay until its time limit and that then
// cuts their requests (incident inc1).
#[test]
fn callers_on_open_connections_do_not_delay_a_stop() {
    block_on(async {
        let cluster = start_with(Duration::from_millis(20), Duration::from_secs(3)).await;
        let pool = WorkerPool::start("callers", 2).unwrap();
        let leader = find_leader(&cluster).await;
        let address = cluster.instances[leader].caller_address();
        let send_lookups = || pool.spawn_cancellable(send_until_closed(pool.clone(), address));
        let callers: Vec<_> = (0..6).map(|_| send_lookups()).collect();
        Timer::after(Duration::from_millis(200)).await;
        let complete = cluster.instances[leader].stop().await;
        let mut sent = Vec::new();
        for caller in callers {
            sent.push(caller.await);
        }
        assert!(sent.iter().all(|sent| *sent > 0), "{sent:?}");
        assert!(
            complete,
            "requests were in flight at the time limit: {sent:?}"
        );
        pool.stop();
    });
}
