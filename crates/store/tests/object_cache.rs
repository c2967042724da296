//! Randomised tests of the object cache.

use {
    geraniummast_model::ObjectPath,
    geraniummast_store::{ObjectCache, ObjectVersion, WatchBatch, WatchEvent},
    quickcheck::{Arbitrary, Gen},
    serde_json::json,
    std::collections::BTreeMap,
};

const SEED: u64 = 0x6d61_7374;
/// Number of random histories that each test runs.
const HISTORY_COUNT: u64 = 300;

fn event(path: u8, version: u64, value: Option<u64>) -> WatchEvent {
    WatchEvent {
        path: ObjectPath::new(&format!("objects/{path}")),
        version: ObjectVersion(version),
        value: value.map(|value| json!(value)),
    }
}

/// Random changes in the order of their versions.
fn history(random: &mut Gen) -> Vec<WatchEvent> {
    (1..=40)
        .map(|version| {
            let value = bool::arbitrary(random).then_some(version);
            event(u8::arbitrary(random) % 6, version, value)
        })
        .collect()
}

/// Latest version of each object by path.
fn latest_versions(changes: &[WatchEvent]) -> BTreeMap<String, u64> {
    let pairs = changes.iter();
    pairs
        .map(|event| (event.path.to_string(), event.version.0))
        .collect()
}

#[test]
fn object_version_with_changes_in_any_order_never_decreases() {
    for run in 0..HISTORY_COUNT {
        let mut random = Gen::from_size_and_seed(40, SEED + run);
        let changes = history(&mut random);
        let mut cache = ObjectCache::default();
        let mut latest: BTreeMap<String, u64> = BTreeMap::new();
        for _ in 0..200 {
            let index = usize::arbitrary(&mut random) % changes.len();
            let chosen = &changes[index];
            let known = latest.get(chosen.path.as_str()).copied().unwrap_or(0);
            let is_new = cache.apply(chosen);
            assert_eq!(is_new, chosen.version.0 > known, "seed {}", SEED + run);
            latest.insert(chosen.path.to_string(), known.max(chosen.version.0));
        }
    }
}

#[test]
fn caches_that_pull_from_each_other_converge_to_store_state() {
    for run in 0..HISTORY_COUNT {
        let mut random = Gen::from_size_and_seed(40, SEED + run);
        let changes = history(&mut random);
        let mut caches: Vec<ObjectCache> = (0..4).map(|_| ObjectCache::default()).collect();
        let mut written = 0;
        for step in 0..400 {
            let index = usize::arbitrary(&mut random) % caches.len();
            if index == 0 || step >= 396 {
                written = (written + 1 + usize::arbitrary(&mut random) % 3).min(changes.len());
                let after = caches[0].progress().complete.0 as usize;
                let batch = WatchBatch {
                    version: ObjectVersion(written as u64),
                    events: changes[after..written].to_vec(),
                };
                caches[0].apply_batch(batch);
                continue;
            }
            pull(&mut caches, index, usize::arbitrary(&mut random) % 4);
        }
        for index in 1..caches.len() {
            pull(&mut caches, index, index - 1);
        }
        for cache in &caches {
            let state = cache.changes_since(ObjectVersion::default()).events;
            assert_eq!(
                latest_versions(&state),
                latest_versions(&changes[..written]),
                "seed {}",
                SEED + run
            );
        }
    }
}

/// Copies the changes that the cache `to` lacks from the cache `from`.
fn pull(caches: &mut [ObjectCache], to: usize, from: usize) {
    let batch = caches[from].changes_since(caches[to].progress().complete);
    caches[to].apply_batch(batch);
}

#[test]
fn removals_over_the_limit_are_discarded() {
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
