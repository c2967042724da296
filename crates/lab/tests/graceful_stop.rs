//! A planned stop cuts nothing that is in flight.

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

/// Longest time that any test waits for an outcome.
const PATIENCE: Duration = Duration::from_secs(30);

async fn start() -> TestCluster {
    start_with(Duration::from_millis(300), PATIENCE).await
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

/// Number of the instance that leads the only part.
async fn leader(bench: &TestCluster) -> usize {
    let pool = WorkerPool::start("test", 1).unwrap();
    let mut leaders = Vec::new();
    for (number, instance) in bench.instances.iter().enumerate() {
        let address = instance.operator_address();
        let client = HttpClient::new(pool.clone(), TcpDialer::direct(), address);
        let request = Request::get("/dump").header("host", "test");
        let request = request.body(Full::default()).unwrap();
        let response = client.exchange(request, PATIENCE).await.unwrap();
        let dump: Value = serde_json::from_slice(response.body()).unwrap();
        if dump["parts"][0]["led_here"] == true {
            leaders.push(number);
        }
    }
    pool.stop();
    assert_eq!(leaders.len(), 1);
    leaders[0]
}

/// Stops `stopped` while a filing that came in at `entry` runs; its answer, and whether the stop was
/// whole.
async fn stop_under_filing(
    bench: &TestCluster,
    entry: usize,
    stopped: usize,
) -> (Response<Bytes>, bool) {
    let before = bench.ledger.runs().len();
    let body = Bytes::from_static(b"weld 7 passed");
    let filing = bench.send(entry, Method::POST, "/reports/weld-7/file", body);
    let stop = async {
        let deadline = SteadyClock.now().after(PATIENCE);
        while bench.ledger.runs().len() == before {
            assert!(SteadyClock.now() < deadline, "the filing does not run");
            Timer::after(Duration::from_millis(5)).await;
        }
        bench.instances[stopped].stop().await
    };
    let (answer, whole) = zip(filing, stop).await;
    (answer.unwrap(), whole)
}

/// The same, with a filing that ends in time.
async fn stop_during_filing(bench: &TestCluster, entry: usize, stopped: usize) {
    let before = bench.ledger.runs().len();
    let (answer, whole) = stop_under_filing(bench, entry, stopped).await;
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert_eq!(answer.headers()["geraniummast-ran"], "yes");
    assert!(answer.body().ends_with(b": 13 bytes\n"), "{answer:?}");
    assert!(whole);
    assert_eq!(bench.ledger.runs().len(), before + 1);
}

#[test]
fn a_leader_answers_its_own_callers_before_it_ends() {
    block_on(async {
        let bench = start().await;
        let leader = leader(&bench).await;
        stop_during_filing(&bench, leader, leader).await;
    });
}

#[test]
fn a_leader_answers_requests_of_other_instances_before_it_ends() {
    block_on(async {
        let bench = start().await;
        let leader = leader(&bench).await;
        stop_during_filing(&bench, 1 - leader, leader).await;
    });
}

#[test]
fn an_entry_passes_the_answer_on_before_it_ends() {
    block_on(async {
        let bench = start().await;
        let entry = 1 - leader(&bench).await;
        stop_during_filing(&bench, entry, entry).await;
    });
}

// Guards against the class of inc1: a stop cut at its bound what a server was still at work on.
#[test]
fn what_outlasts_a_stop_is_answered_before_the_stop_ends() {
    block_on(async {
        let bench = start_with(Duration::from_millis(10), Duration::from_millis(600)).await;
        let leader = leader(&bench).await;
        for server in &bench.servers {
            server.set_behaviour(|behaviour| behaviour.run_time = Duration::from_secs(4));
        }
        let (answer, whole) = stop_under_filing(&bench, leader, leader).await;
        assert_eq!(
            answer.headers()["geraniummast-ran"],
            "unknown",
            "{answer:?}"
        );
        assert_eq!(answer.headers()["geraniummast-reason"], "draining");
        assert!(!whole, "the stop did not wait for the filing's own end");
    });
}

/// Sends lookups on one open connection for as long as it is open; how many were sent.
async fn call_while_open(pool: Arc<WorkerPool>, address: SocketAddr) -> usize {
    /// More than fit into a stop.
    const MOST: usize = 1_000;
    let dialer = TcpDialer::direct();
    let opened = HttpConnection::open(&pool, &dialer, address, PATIENCE).await;
    let mut connection = opened.unwrap();
    for sent in 0..MOST {
        let request = Request::get("/reports/weld-7").header("host", "callers");
        let request = request.body(Full::default()).unwrap();
        match connection.exchange(request, 1 << 20).await {
            Ok(answer) => assert_eq!(answer.status(), 200, "{answer:?}"),
            Err(ExchangeError::NotSent(_)) => return sent,
            Err(error) => panic!("lookup {sent}: {error:?}"),
        }
    }
    panic!("the connection is still open after {MOST} lookups");
}

// Guards against the class of inc1: callers that went on using open connections held a stop up to
// its bound, and were cut then.
#[test]
fn callers_that_use_open_connections_do_not_hold_a_stop_up() {
    block_on(async {
        let bench = start_with(Duration::from_millis(20), Duration::from_secs(3)).await;
        let pool = WorkerPool::start("callers", 2).unwrap();
        let leader = leader(&bench).await;
        let address = bench.instances[leader].caller_address();
        let calls = || pool.spawn_cancellable(call_while_open(pool.clone(), address));
        let callers: Vec<_> = (0..6).map(|_| calls()).collect();
        Timer::after(Duration::from_millis(200)).await;
        let whole = bench.instances[leader].stop().await;
        let mut sent = Vec::new();
        for caller in callers {
            sent.push(caller.await);
        }
        assert!(sent.iter().all(|sent| *sent > 0), "{sent:?}");
        assert!(whole, "something was in flight at the bound: {sent:?}");
        pool.stop();
    });
}
