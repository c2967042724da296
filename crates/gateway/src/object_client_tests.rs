//! Calls to a store that comes back from an older copy.

use crate::{prelude::*, test_http, test_node, test_store};
use http::HeaderMap;
use std::io::{BufReader, Write};

const KIND: ObjectKind = ObjectKind::Servers;

fn changes(number: u64) -> (u16, serde_json::Value) {
    let changes = ObjectChanges {
        events: Vec::new(),
        revision: number.into(),
    };
    (200, changes.to_value())
}

fn page(number: u64, has_more: bool) -> (u16, serde_json::Value) {
    let page = ObjectPage {
        objects: vec![object(number)],
        next: has_more.then(|| "s1".into()),
        revision: number.into(),
    };
    (200, page.to_value())
}

fn object(number: u64) -> PlatformObject {
    PlatformObject {
        name: "s1".into(),
        revision: number.into(),
        spec: serde_json::Value::Null,
        status: serde_json::Value::Null,
    }
}

/// An instance whose store gives these answers, each of an era.
fn node_with(answers: Vec<(u64, (u16, serde_json::Value))>) -> GatewayNode {
    test_node::build_with_store(test_store::start_with_eras(answers))
}

fn list(node: &GatewayNode) -> Result<StoreRevision, StoreCallError> {
    let page = node.workers.block_on(node.store.list(KIND))?;
    Ok(page.revision)
}

fn watch(node: &GatewayNode, after: StoreRevision) -> Result<StoreRevision, StoreCallError> {
    let watch = node.store.watch(KIND, after, Duration::ZERO);
    Ok(node.workers.block_on(watch)?.revision)
}

// Guards against changes that nobody ever sees: the restored store has given out the numbers after
// the one that is known, and the changes before it are others.
#[test]
fn watch_from_an_earlier_era_lists_again() {
    let node = node_with(vec![(1, page(100, false)), (2, changes(105))]);
    let known = list(&node).unwrap();
    assert_eq!(known, StoreRevision::new(1, 100));
    let answered = watch(&node, known);
    assert!(
        matches!(answered, Err(StoreCallError::Compacted)),
        "{answered:?}"
    );
    assert_eq!(node.store.era().number, 2);
    let next = watch(&node, known);
    assert!(matches!(next, Err(StoreCallError::Compacted)), "{next:?}");
}

// Guards against a conditional write that succeeds by a number which the restored store has given
// out again.
#[test]
fn write_under_a_revision_of_an_earlier_era_is_a_conflict() {
    let written = (200, object(101).to_value());
    let node = node_with(vec![(1, page(100, false)), (2, written), (2, changes(105))]);
    let known = list(&node).unwrap();
    let value = serde_json::Value::Null;
    let replace = || {
        let replaced = node.store.replace(KIND, "s1", known, &value);
        node.workers.block_on(replaced).unwrap()
    };
    let overtaken = replace();
    assert!(matches!(overtaken, WriteAnswer::Conflict), "{overtaken:?}");
    let later = replace();
    assert!(matches!(later, WriteAnswer::Conflict), "{later:?}");
    let unsent = watch(&node, StoreRevision::new(2, 101));
    assert_eq!(unsent.unwrap(), StoreRevision::new(2, 105));
}

// Guards against pages of two eras that are taken for one list.
#[test]
fn list_with_pages_of_two_eras_fails() {
    let node = node_with(vec![
        (1, page(100, true)),
        (2, page(90, false)),
        (2, page(91, false)),
    ]);
    let mixed = list(&node);
    assert!(
        matches!(mixed, Err(StoreCallError::Unavailable(_))),
        "{mixed:?}"
    );
    assert_eq!(list(&node).unwrap(), StoreRevision::new(2, 91));
}

// Guards against an answer that the restore has overtaken and that brings back what it has undone.
#[test]
fn answer_of_the_era_before_that_another_instance_told_is_left_out() {
    let node = node_with(vec![(1, page(100, false)), (1, page(101, false))]);
    list(&node).unwrap();
    node.store.learn_era(StoreEra {
        number: 2,
        stated: 2,
    });
    let overtaken = list(&node);
    assert!(
        matches!(overtaken, Err(StoreCallError::Unclear(_))),
        "{overtaken:?}"
    );
}

// Guards against a large configuration that a narrow link never delivers, since each call for it is
// given up before the answer is complete.
#[test]
fn answer_that_takes_longer_than_the_timeout_is_read_while_it_goes_on() {
    /// Time between two pieces, which are as many as make the answer late.
    const INTERVAL: Duration = Duration::from_millis(100);
    let (_, body) = page(100, false);
    let answer = test_http::answer(200, &HeaderMap::new(), &body.to_string());
    let address = test_http::accept_each(move |mut stream| {
        let answer = answer.clone();
        std::thread::spawn(move || {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            if test_http::read_head(&mut reader).is_none() {
                return;
            }
            let pieces = answer.len() as u32;
            let late = (ObjectClient::TIMEOUT + INTERVAL * 5).as_millis() / INTERVAL.as_millis();
            for piece in answer.as_bytes().chunks((pieces / late as u32) as usize) {
                std::thread::sleep(INTERVAL);
                if stream.write_all(piece).is_err() {
                    return;
                }
            }
        });
    });
    let node = test_node::build_with_store(address);
    assert_eq!(list(&node).unwrap().number, 100);
}
