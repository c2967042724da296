//! Non-repeatable requests, over real sockets.

use {
    async_io::Timer,
    bytes::Bytes,
    geraniummast_lab::{ClusterPlan, StoreFault, TestCluster},
    geraniummast_net::{HttpClient, SteadyClock, TcpDialer, WorkerPool},
    http::{Request, Response},
    http_body_util::Full,
    std::{
        io::{Read, Write},
        net::TcpStream,
        time::Duration,
    },
    uuid::Uuid,
};

/// Time limit for an expected outcome.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);

async fn send_filing(
    cluster: &TestCluster,
    instance: usize,
    id: &str,
    body: &str,
) -> Response<Bytes> {
    let pool = WorkerPool::start("caller", 1).unwrap();
    let address = cluster.instances[instance].caller_address();
    let client = HttpClient::new(pool.clone(), TcpDialer::direct(), address);
    let request = Request::builder()
        .method("POST")
        .uri("/reports/weld-7/file")
        .header("host", "callers")
        .header("geraniummast-request-id", id)
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .unwrap();
    let response = client.exchange(request, Duration::from_secs(10)).await;
    pool.stop();
    response.unwrap()
}

fn reason_and_outcome(response: &Response<Bytes>) -> (&str, &str) {
    let field = |name| {
        response
            .headers()
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    };
    (field("geraniummast-reason"), field("geraniummast-ran"))
}

#[test]
fn repeat_at_another_instance_gets_the_recorded_answer() {
    futures_lite::future::block_on(async {
        let cluster = TestCluster::start(&ClusterPlan::default()).await.unwrap();
        let before = cluster.ledger.runs().len();
        let id = Uuid::now_v7().to_string();
        let first = send_filing(&cluster, 0, &id, "weld 7 passed").await;
        assert_eq!(first.status(), 200, "{first:?}");
        let second = send_filing(&cluster, 1, &id, "weld 7 passed").await;
        assert_eq!(second.status(), 200, "{second:?}");
        assert_eq!(first.body(), second.body());
        let reused = send_filing(&cluster, 1, &id, "weld 7 failed").await;
        assert_eq!(reason_and_outcome(&reused), ("id-reused", "no"));
        assert_eq!(cluster.ledger.runs().len(), before + 1);
    });
}

#[test]
fn requests_with_ids_without_time_or_outside_the_window_do_not_run() {
    futures_lite::future::block_on(async {
        let cluster = TestCluster::start(&ClusterPlan::default()).await.unwrap();
        let before = cluster.ledger.runs().len();
        let random = Uuid::new_v4().to_string();
        let response = send_filing(&cluster, 0, &random, "").await;
        assert_eq!(reason_and_outcome(&response), ("bad-request", "no"));
        let old = "01700000-0000-7000-8000-000000000000";
        let response = send_filing(&cluster, 0, old, "").await;
        assert_eq!(
            reason_and_outcome(&response),
            ("outcome-forgotten", "unknown")
        );
        assert_eq!(cluster.ledger.runs().len(), before);
    });
}

/// Starts a cluster of one instance; returns it with the id of a filing that ran there.
async fn start_with_one_filing() -> (TestCluster, String) {
    let plan = ClusterPlan {
        instances: 1,
        stop_timeout: Duration::from_millis(800),
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(&plan).await.unwrap();
    let id = Uuid::now_v7().to_string();
    let first = send_filing(&cluster, 0, &id, "weld 7 passed").await;
    assert_eq!(first.status(), 200, "{first:?}");
    (cluster, id)
}

#[test]
fn cut_off_instance_reports_unknown_outcome_for_a_used_id() {
    futures_lite::future::block_on(async {
        let (cluster, id) = start_with_one_filing().await;
        let runs = cluster.ledger.runs().len();
        cluster.store.set_fault(StoreFault::Down);
        let deadline = SteadyClock.now().after(OUTCOME_TIMEOUT);
        while cluster.instances[0].is_ready() {
            assert!(
                SteadyClock.now() < deadline,
                "the instance is not cut off in time"
            );
            Timer::after(Duration::from_millis(20)).await;
        }
        let repeat = send_filing(&cluster, 0, &id, "weld 7 passed").await;
        assert_eq!(reason_and_outcome(&repeat), ("not-configured", "unknown"));
        assert_eq!(cluster.ledger.runs().len(), runs);
    });
}

#[test]
fn class_refused_by_preset_reports_unknown_outcome_for_a_used_id() {
    futures_lite::future::block_on(async {
        let (cluster, id) = start_with_one_filing().await;
        let runs = cluster.ledger.runs().len();
        let change = cluster.operator.change(|head| {
            head.presets["maintenance"].refused_classes = vec!["reports/filing".into()];
            head.preset = "maintenance".into();
        });
        change.await.unwrap();
        let deadline = SteadyClock.now().after(OUTCOME_TIMEOUT);
        let repeat = loop {
            let repeat = send_filing(&cluster, 0, &id, "weld 7 passed").await;
            if repeat.status() != 200 {
                break repeat;
            }
            assert!(
                SteadyClock.now() < deadline,
                "the repeat is not refused in time"
            );
            Timer::after(Duration::from_millis(20)).await;
        };
        assert_eq!(reason_and_outcome(&repeat), ("class-refused", "unknown"));
        assert_eq!(cluster.ledger.runs().len(), runs);
    });
}

// Guards against a refusal at the end of a stop that says "not run" although an earlier request
// with the same id has run.
#[test]
fn stop_with_incomplete_body_reports_unknown_outcome_for_a_used_id() {
    futures_lite::future::block_on(async {
        let (cluster, id) = start_with_one_filing().await;
        let mut stream = TcpStream::connect(cluster.instances[0].caller_address()).unwrap();
        stream.set_read_timeout(Some(OUTCOME_TIMEOUT)).unwrap();
        write!(
            stream,
            "POST /reports/weld-7/file HTTP/1.1\r\nhost: callers\r\n\
             geraniummast-request-id: {id}\r\ncontent-length: 13\r\n\r\nweld 7"
        )
        .unwrap();
        // The instance must have read the head before the stop begins.
        Timer::after(Duration::from_millis(200)).await;
        cluster.instances[0].stop().await;
        let mut text = String::new();
        let read = stream.read_to_string(&mut text);
        assert!(
            text.contains("geraniummast-reason: draining"),
            "{read:?} {text}"
        );
        assert!(text.contains("geraniummast-ran: unknown"), "{text}");
    });
}
