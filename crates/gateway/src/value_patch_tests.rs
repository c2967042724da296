//! Patches rebuild what they were made from, and are as long as what differs.

use crate::{
    value_patch::{ArrayStep, ValuePatch},
    value_patch_wire::ValuePatchWire,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde_json::{Map, Value, json};

/// A value of at most `depth` levels.
fn draw(rng: &mut StdRng, depth: usize) -> Value {
    match rng.random_range(0..if depth == 0 { 4 } else { 7 }) {
        0 => Value::Null,
        1 => json!(rng.random_range(0..3)),
        2 => json!(f64::from(rng.random_range(0..1_000)) / 7.0),
        3 => json!(["a", "ü", "\"\\"].choose(rng)),
        4 => {
            let fields = (0..rng.random_range(0..4)).map(|number| {
                let name = format!("f{number}");
                (name, draw(rng, depth - 1))
            });
            Value::Object(fields.collect())
        }
        _ => {
            let count = rng.random_range(0..6);
            (0..count).map(|_| draw(rng, depth - 1)).collect()
        }
    }
}

/// The value with some parts replaced, moved, added or removed.
fn disturb(rng: &mut StdRng, value: &Value, depth: usize) -> Value {
    if rng.random_bool(0.1) {
        return draw(rng, depth);
    }
    match value {
        Value::Array(elements) => {
            let mut elements: Vec<Value> = elements
                .iter()
                .map(|element| match rng.random_bool(0.7) {
                    true => element.clone(),
                    false => disturb(rng, element, depth.saturating_sub(1)),
                })
                .collect();
            if rng.random_bool(0.5) {
                let position = rng.random_range(0..=elements.len());
                elements.insert(position, draw(rng, depth.saturating_sub(1)));
            }
            if rng.random_bool(0.3) && !elements.is_empty() {
                elements.rotate_left(1);
            }
            if rng.random_bool(0.3) {
                elements.pop();
            }
            Value::Array(elements)
        }
        Value::Object(fields) => {
            let mut kept = Map::new();
            for (name, value) in fields {
                if rng.random_bool(0.9) {
                    let value = disturb(rng, value, depth.saturating_sub(1));
                    kept.insert(name.clone(), value);
                }
            }
            Value::Object(kept)
        }
        _ => value.clone(),
    }
}

fn over_the_wire(patch: &ValuePatch) -> Option<ValuePatch> {
    let bytes = prost::Message::encode_to_vec(&ValuePatchWire::from(patch));
    let wire = <ValuePatchWire as prost::Message>::decode(&bytes[..]).unwrap();
    wire.try_into().ok()
}

// Guards against a configuration that other instances build differently from what the store has.
#[test]
fn patches_rebuild_the_value_that_they_lead_to() {
    for seed in 0..20_000 {
        let rng = &mut StdRng::seed_from_u64(seed);
        let base = draw(rng, 4);
        let target = disturb(rng, &base, 4);
        let Some(patch) = ValuePatch::between(&base, &target) else {
            assert_eq!(base, target, "seed {seed}");
            continue;
        };
        assert_eq!(patch.apply(&base).as_ref(), Some(&target), "seed {seed}");
        let received = over_the_wire(&patch);
        assert_eq!(received.as_ref(), Some(&patch), "seed {seed}");
    }
}

fn routes(count: usize) -> Vec<Value> {
    let route = |number: usize| json!({ "name": format!("r{number}"), "service": "viewer" });
    (0..count).map(route).collect()
}

// Guards against a patch that contains the elements behind one that was added or removed.
#[test]
fn patch_of_an_added_a_changed_and_a_removed_element_contains_no_other() {
    let base = json!({ "version": 1, "hosts": [{ "paths": routes(100) }, { "paths": [] }] });
    let mut target = base.clone();
    target["version"] = json!(2);
    let paths = target["hosts"][0]["paths"].as_array_mut().unwrap();
    paths.remove(70);
    paths[40]["service"] = json!("records");
    paths.insert(10, json!({ "name": "new" }));
    let patch = ValuePatch::between(&base, &target).unwrap();
    assert_eq!(patch.apply(&base), Some(target));
    let length = prost::Message::encoded_len(&ValuePatchWire::from(&patch));
    assert!(length < 200, "{length} bytes");
}

// Guards against a panic for a patch that was made for another value.
#[test]
fn patch_for_another_value_is_refused() {
    let keep = |from, count| ValuePatch::Array(vec![ArrayStep::Keep { from, count }]);
    for patch in [keep(1, 2), keep(usize::MAX, 2), keep(3, usize::MAX)] {
        assert_eq!(patch.apply(&json!([1, 2])), None);
        assert_eq!(patch.apply(&json!({})), None);
    }
    assert_eq!(keep(0, 2).apply(&json!([1, 2])), Some(json!([1, 2])));
}
