//! Refusals of requests that may have run, over real sockets.

use {
    async_io::Timer,
    bytes::Bytes,
    geraniummast_lab::{ClusterPlan, ServerBehaviour, TestCluster},
    geraniummast_net::{HttpClient, SteadyClock, TcpDialer, WorkerPool},
    http::Request,
    http_body_util::Full,
    std::time::Duration,
    uuid::Uuid,
};

/// Time limit for an expected outcome.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);
/// Run time beyond all time limits for an answer.
const LONG_RUN: Duration = Duration::from_secs(5);
/// Pause beyond the end of a lease.
const LONG_PAUSE: Duration = Duration::from_millis(450);

/// Sends a lookup; returns the status, the reason and whether it ran, as the answer says.
async fn look_up(client: &HttpClient, id: &str) -> (u16, String, String) {
    let request = Request::get("/reports/weld-7")
        .header("host", "callers")
        .header("geraniummast-request-id", id)
        .body(Full::<Bytes>::default())
        .unwrap();
    let response = client.exchange(request, OUTCOME_TIMEOUT).await.unwrap();
    let field = |name| {
        let value = response.headers().get(name);
        value.map_or(String::new(), |value| value.to_str().unwrap().into())
    };
    let (reason, ran) = (field("geraniummast-reason"), field("geraniummast-ran"));
    (response.status().as_u16(), reason, ran)
}

fn leader_of(cluster: &TestCluster) -> usize {
    let parts = cluster.store.parts();
    let name = &parts.values().next().unwrap().leader.name;
    name.rsplit('-').next().unwrap().parse().unwrap()
}

#[test]
fn request_running_when_its_leader_is_replaced_gets_unknown_outcome() {
    futures_lite::future::block_on(async {
        let plan = ClusterPlan {
            instances: 3,
            servers: 1,
            behaviour: ServerBehaviour::default(),
            ..ClusterPlan::default()
        };
        let cluster = TestCluster::start(&plan).await.unwrap();
        let leader = leader_of(&cluster);
        let entry = (leader + 1) % 3;
        let pool = WorkerPool::start("caller", 1).unwrap();
        let address = cluster.instances[entry].caller_address();
        let client = HttpClient::new(pool.clone(), TcpDialer::direct(), address);
        // On a connection that has been used before, silence is tolerated only briefly.
        for _ in 0..10 {
            let first = look_up(&client, &Uuid::now_v7().to_string()).await;
            assert_eq!(first.0, 200, "{first:?}");
        }
        let server = &cluster.servers[0];
        server.set_behaviour(|behaviour| behaviour.run_time = LONG_RUN);
        let id = Uuid::now_v7().to_string();
        let ran = || cluster.ledger.runs().iter().any(|run| run.id == id);
        let faults = async {
            let deadline = SteadyClock.now().after(OUTCOME_TIMEOUT);
            while !ran() {
                assert!(
                    SteadyClock.now() < deadline,
                    "the lookup does not run in time"
                );
                Timer::after(Duration::from_millis(1)).await;
            }
            server.set_behaviour(|behaviour| behaviour.shed_threshold = Some(0));
            cluster.instances[leader].pause();
            Timer::after(LONG_PAUSE).await;
            cluster.instances[leader].resume();
        };
        let (answer, ()) = futures_lite::future::zip(look_up(&client, &id), faults).await;
        pool.stop();
        assert!(ran());
        assert_eq!(answer.2, "unknown", "{answer:?}");
    });
}
