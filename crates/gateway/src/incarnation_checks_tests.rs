//! Checks of many servers' incarnations at the same time.

use crate::{
    incarnation_checks::IncarnationCheck,
    prelude::*,
    test_node,
    test_store::{self, StoreAnswers},
};

fn server(number: u64, born: u64) -> PlatformObject {
    let entry = ServerEntry {
        incarnation: ServerIncarnation {
            id: format!("s{number}"),
            born,
        },
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        data_centre: "dc1".into(),
        slots: 3,
        state: ServerState::Ready,
        warmup_left: Duration::ZERO,
        sequence: None,
    };
    let (spec, status) = ServerBody::write(&entry);
    PlatformObject {
        name: entry.incarnation.id,
        revision: 1.into(),
        spec,
        status,
    }
}

/// Checks servers `s0` to the last one of `count`, each as born at 1, at the same time.
fn check_all(answers: StoreAnswers, count: u64) -> Vec<IncarnationCheck> {
    let node = Arc::new(test_node::build_with_store(test_store::start(answers)));
    let checks = (0..count).map(|number| {
        let node = node.clone();
        async move {
            let expected = ServerIncarnation {
                id: format!("s{number}"),
                born: 1,
            };
            node.incarnation_checks.check(&node, &expected).await
        }
    });
    let checks = futures_util::future::join_all(checks);
    node.workers.block_on(checks)
}

// Guards against a new leader that asks the store once for each owner of keys: 350 calls at each
// change of the leader.
#[test]
fn many_incarnations_are_checked_by_one_list() {
    let mut objects: Vec<PlatformObject> = (0..60).map(|number| server(number, 1)).collect();
    objects[7] = server(7, 2);
    objects.remove(30);
    let page = ObjectPage {
        objects,
        has_more: false,
        revision: 9.into(),
    };
    let checks = check_all(vec![(200, page.to_value())], 60);
    for (number, check) in checks.into_iter().enumerate() {
        let expected = match number {
            7 => IncarnationCheck::Other,
            30 => IncarnationCheck::Unknown,
            _ => IncarnationCheck::Same,
        };
        assert_eq!(check, expected, "s{number}");
    }
}

#[test]
fn incarnations_are_unknown_without_an_answer_of_the_store() {
    let checks = check_all(vec![(503, serde_json::json!({}))], 20);
    assert!(
        checks
            .iter()
            .all(|check| *check == IncarnationCheck::Unknown)
    );
}

#[test]
fn single_incarnation_is_read() {
    let checks = check_all(vec![(200, server(0, 1).to_value())], 1);
    assert_eq!(checks, [IncarnationCheck::Same]);
}
