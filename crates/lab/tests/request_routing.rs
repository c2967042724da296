//! Requests from caller to server and back, over real sockets.

use {
    geraniummast_lab::{ClusterPlan, TestCluster},
    http::Method,
};

#[test]
fn all_instances_send_a_key_to_its_only_owner() {
    futures_lite::future::block_on(async {
        let cluster = TestCluster::start(&ClusterPlan::default()).await.unwrap();
        for key in 0..20 {
            let target = format!("/reports/{key}");
            let first = cluster.get(0, &target).await.unwrap();
            let second = cluster.get(1, &target).await.unwrap();
            assert_eq!(first.status(), 200);
            assert_eq!(first.body(), second.body());
        }
        assert_eq!(cluster.ledger.two_owners(), 0);
    });
}

#[test]
fn filing_runs_once_and_is_answered_completely() {
    futures_lite::future::block_on(async {
        let cluster = TestCluster::start(&ClusterPlan::default()).await.unwrap();
        let before = cluster.ledger.runs().len();
        let answer = cluster
            .send(
                1,
                Method::POST,
                "/reports/weld-7/file",
                "weld 7 passed".into(),
            )
            .await;
        let answer = answer.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["geraniummast-ran"], "yes");
        let text = String::from_utf8(answer.body().to_vec()).unwrap();
        assert!(text.ends_with(": 13 bytes\n"), "{text}");
        assert_eq!(cluster.ledger.runs().len(), before + 1);
    });
}

#[test]
fn refused_requests_do_not_run() {
    futures_lite::future::block_on(async {
        let cluster = TestCluster::start(&ClusterPlan::default()).await.unwrap();
        let before = cluster.ledger.runs().len();
        for (target, reason) in [
            ("/unknown/key", "unknown-service"),
            ("/reports/", "bad-request"),
        ] {
            let answer = cluster.get(0, target).await.unwrap();
            assert_eq!(answer.headers()["geraniummast-reason"], reason);
            assert_eq!(answer.headers()["geraniummast-ran"], "no");
        }
        assert_eq!(cluster.ledger.runs().len(), before);
    });
}
