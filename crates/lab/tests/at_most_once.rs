//! Requests that may not be repeated, over real sockets.

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

/// Longest time that a test waits for an outcome.
const PATIENCE: Duration = Duration::from_secs(30);

async fn file(bench: &TestCluster, instance: usize, id: &str, body: &str) -> Response<Bytes> {
    let pool = WorkerPool::start("caller", 1).unwrap();
    let address = bench.instances[instance].caller_address();
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

fn reason(response: &Response<Bytes>) -> (&str, &str) {
    let field = |name| {
        response
            .headers()
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    };
    (field("geraniummast-reason"), field("geraniummast-ran"))
}

#[test]
fn a_repeat_at_another_instance_gets_the_recorded_answer() {
    futures_lite::future::block_on(async {
        let bench = TestCluster::start(&ClusterPlan::default()).await.unwrap();
        let before = bench.ledger.runs().len();
        let id = Uuid::now_v7().to_string();
        let first = file(&bench, 0, &id, "weld 7 passed").await;
        assert_eq!(first.status(), 200, "{first:?}");
        let second = file(&bench, 1, &id, "weld 7 passed").await;
        assert_eq!(second.status(), 200, "{second:?}");
        assert_eq!(first.body(), second.body());
        let reused = file(&bench, 1, &id, "weld 7 failed").await;
        assert_eq!(reason(&reused), ("id-reused", "no"));
        assert_eq!(bench.ledger.runs().len(), before + 1);
    });
}

#[test]
fn ids_that_bound_no_time_or_lie_outside_the_window_never_run() {
    futures_lite::future::block_on(async {
        let bench = TestCluster::start(&ClusterPlan::default()).await.unwrap();
        let before = bench.ledger.runs().len();
        let random = Uuid::new_v4().to_string();
        let response = file(&bench, 0, &random, "").await;
        assert_eq!(reason(&response), ("bad-request", "no"));
        let old = "01700000-0000-7000-8000-000000000000";
        let response = file(&bench, 0, old, "").await;
        assert_eq!(reason(&response), ("outcome-forgotten", "unknown"));
        assert_eq!(bench.ledger.runs().len(), before);
    });
}

/// A bench of one instance, and the id of a filing that ran there.
async fn one_filing() -> (TestCluster, String) {
    let plan = ClusterPlan {
        instances: 1,
        stop_timeout: Duration::from_millis(800),
        ..ClusterPlan::default()
    };
    let bench = TestCluster::start(&plan).await.unwrap();
    let id = Uuid::now_v7().to_string();
    let first = file(&bench, 0, &id, "weld 7 passed").await;
    assert_eq!(first.status(), 200, "{first:?}");
    (bench, id)
}

#[test]
fn a_cut_off_instance_does_not_deny_that_a_request_of_the_id_ran() {
    futures_lite::future::block_on(async {
        let (bench, id) = one_filing().await;
        let runs = bench.ledger.runs().len();
        bench.store.set_fault(StoreFault::Down);
        let deadline = SteadyClock.now().after(PATIENCE);
        while bench.instances[0].is_ready() {
            assert!(SteadyClock.now() < deadline, "not cut off in time");
            Timer::after(Duration::from_millis(20)).await;
        }
        let repeat = file(&bench, 0, &id, "weld 7 passed").await;
        assert_eq!(reason(&repeat), ("not-configured", "unknown"));
        assert_eq!(bench.ledger.runs().len(), runs);
    });
}

#[test]
fn a_preset_that_refuses_a_class_does_not_deny_that_a_request_of_the_id_ran() {
    futures_lite::future::block_on(async {
        let (bench, id) = one_filing().await;
        let runs = bench.ledger.runs().len();
        let change = bench.operator.change(|head| {
            head.presets["maintenance"].refused_classes = vec!["reports/filing".into()];
            head.preset = "maintenance".into();
        });
        change.await.unwrap();
        let deadline = SteadyClock.now().after(PATIENCE);
        let repeat = loop {
            let repeat = file(&bench, 0, &id, "weld 7 passed").await;
            if repeat.status() != 200 {
                break repeat;
            }
            assert!(SteadyClock.now() < deadline, "not refused in time");
            Timer::after(Duration::from_millis(20)).await;
        };
        assert_eq!(reason(&repeat), ("class-refused", "unknown"));
        assert_eq!(bench.ledger.runs().len(), runs);
    });
}

// Guards against a refusal at the end of a stop that denies an earlier run of the same id.
#[test]
fn a_stop_under_an_unread_body_does_not_deny_that_a_request_of_the_id_ran() {
    futures_lite::future::block_on(async {
        let (bench, id) = one_filing().await;
        let mut stream = TcpStream::connect(bench.instances[0].caller_address()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        write!(
            stream,
            "POST /reports/weld-7/file HTTP/1.1\r\nhost: callers\r\n\
             geraniummast-request-id: {id}\r\ncontent-length: 13\r\n\r\nweld 7"
        )
        .unwrap();
        // The head has to be read before the stop begins.
        Timer::after(Duration::from_millis(200)).await;
        bench.instances[0].stop().await;
        let mut text = String::new();
        let read = stream.read_to_string(&mut text);
        assert!(
            text.contains("geraniummast-reason: draining"),
            "{read:?} {text}"
        );
        assert!(text.contains("geraniummast-ran: unknown"), "{text}");
    });
}
