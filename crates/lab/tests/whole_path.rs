//! A request's whole path, over real sockets.

use {
    geraniummast_lab::{ClusterPlan, TestCluster},
    http::Method,
};

#[test]
fn every_instance_reaches_the_one_owner_of_a_key() {
    futures_lite::future::block_on(async {
        let bench = TestCluster::start(&ClusterPlan::default()).await.unwrap();
        for key in 0..20 {
            let target = format!("/reports/{key}");
            let first = bench.get(0, &target).await.unwrap();
            let second = bench.get(1, &target).await.unwrap();
            assert_eq!(first.status(), 200);
            assert_eq!(first.body(), second.body());
        }
        assert_eq!(bench.ledger.two_owners(), 0);
    });
}

#[test]
fn a_filing_runs_once_and_its_answer_is_whole() {
    futures_lite::future::block_on(async {
        let bench = TestCluster::start(&ClusterPlan::default()).await.unwrap();
        let before = bench.ledger.runs().len();
        let answer = bench
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
        assert_eq!(bench.ledger.runs().len(), before + 1);
    });
}

#[test]
fn refusals_say_that_nothing_ran() {
    futures_lite::future::block_on(async {
        let bench = TestCluster::start(&ClusterPlan::default()).await.unwrap();
        let before = bench.ledger.runs().len();
        for (target, reason) in [
            ("/unknown/key", "unknown-service"),
            ("/reports/", "bad-request"),
        ] {
            let answer = bench.get(0, target).await.unwrap();
            assert_eq!(answer.headers()["geraniummast-reason"], reason);
            assert_eq!(answer.headers()["geraniummast-ran"], "no");
        }
        assert_eq!(bench.ledger.runs().len(), before);
    });
}
