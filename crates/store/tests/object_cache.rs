//! The cache of the store's objects.

use {
    geraniummast_model::ObjectPath,
    geraniummast_store::{ObjectCache, ObjectVersion, WatchBatch, WatchEvent},
    quickcheck::{Arbitrary, Gen},
    serde_json::json,
    std::collections::BTreeMap,
};

const SEED: u64 = 0x6d61_7374;
const HISTORIES: u64 = 300;

fn event(path: u8, version: u64, value: Option<u64>) -> WatchEvent {
    WatchEvent {
        path: ObjectPath::new(&format!("objects/{path}")),
        version: ObjectVersion(version),
        value: value.map(|value| json!(value)),
    }
}

/// Changes in the order of their versions.
fn history(random: &mut Gen) -> Vec<WatchEvent> {
    (1..=40)
        .map(|version| {
            let value = bool::arbitrary(random).then_some(version);
            event(u8::arbitrary(random) % 6, version, value)
        })
        .collect()
}

fn latest(changes: &[WatchEvent]) -> BTreeMap<String, u64> {
    let pairs = changes.iter();
    pairs
        .map(|event| (event.path.to_string(), event.version.0))
        .collect()
}

#[test]
fn no_object_goes_back_whatever_the_order_of_arrival() {
    for run in 0..HISTORIES {
        let mut random = Gen::from_size_and_seed(40, SEED + run);
        let changes = history(&mut random);
        let mut cache = ObjectCache::default();
        let mut seen: BTreeMap<String, u64> = BTreeMap::new();
        for _ in 0..200 {
            let pick = usize::arbitrary(&mut random) % changes.len();
            let chosen = &changes[pick];
            let known = seen.get(chosen.path.as_str()).copied().unwrap_or(0);
            let fresh = cache.apply(chosen);
            assert_eq!(fresh, chosen.version.0 > known, "seed {}", SEED + run);
            seen.insert(chosen.path.to_string(), known.max(chosen.version.0));
        }
    }
}

#[test]
fn a_chain_of_caches_ends_with_the_stores_own_state() {
    for run in 0..HISTORIES {
        let mut random = Gen::from_size_and_seed(40, SEED + run);
        let changes = history(&mut random);
        let mut caches: Vec<ObjectCache> = (0..4).map(|_| ObjectCache::default()).collect();
        let mut written = 0;
        for step in 0..400 {
            let at = usize::arbitrary(&mut random) % caches.len();
            if at == 0 || step >= 396 {
                written = (written + 1 + usize::arbitrary(&mut random) % 3).min(changes.len());
                let after = caches[0].progress().complete.0 as usize;
                let batch = WatchBatch {
                    version: ObjectVersion(written as u64),
                    events: changes[after..written].to_vec(),
                };
                caches[0].apply_batch(batch);
                continue;
            }
            pull(&mut caches, at, usize::arbitrary(&mut random) % 4);
        }
        for at in 1..caches.len() {
            pull(&mut caches, at, at - 1);
        }
        for cache in &caches {
            let state = cache.changes_since(ObjectVersion::default()).events;
            assert_eq!(
                latest(&state),
                latest(&changes[..written]),
                "seed {}",
                SEED + run
            );
        }
    }
}

fn pull(caches: &mut [ObjectCache], to: usize, from: usize) {
    let batch = caches[from].changes_since(caches[to].progress().complete);
    caches[to].apply_batch(batch);
}

#[test]
fn removals_are_remembered_up_to_a_bound() {
    let mut cache = ObjectCache::default();
    for version in 1..=5_000 {
        let path = ObjectPath::new(&format!("instances/{version}"));
        let removal = WatchEvent {
            path,
            ..event(0, version, None)
        };
        assert!(cache.apply(&removal));
    }
    let kept = cache.changes_since(ObjectVersion::default()).events.len();
    assert!(kept <= ObjectCache::MAX_REMOVALS, "{kept}");
    assert!(cache.has_discarded_removals(ObjectVersion(1)));
    assert!(!cache.has_discarded_removals(ObjectVersion(4_999)));
}
