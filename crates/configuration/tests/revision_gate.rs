//! Randomised test that a configuration in force never reverts to an older revision.

use {
    geraniummast_configuration::{ConfigurationHead, RevisionGate, RevisionVerdict},
    quickcheck::{Arbitrary, Gen},
};

const SEED: u64 = 6;

#[test]
fn offers_in_any_order_leave_newest_revision_in_force() {
    let mut random = Gen::from_size_and_seed(100, SEED);
    for round in 0..500 {
        let mut gate = RevisionGate::default();
        let mut newest = 0;
        for offer in Vec::<u8>::arbitrary(&mut random) {
            let revision = u64::from(offer) + 1;
            let head = ConfigurationHead {
                revision,
                preset: format!("preset-{revision}"),
                ..ConfigurationHead::default()
            };
            let expected = match revision.cmp(&newest) {
                std::cmp::Ordering::Less => RevisionVerdict::Outdated,
                std::cmp::Ordering::Equal => RevisionVerdict::Unchanged,
                std::cmp::Ordering::Greater => RevisionVerdict::Applied,
            };
            let context = format!("seed {SEED}, round {round}, revision {revision}");
            assert_eq!(gate.offer(&head), expected, "{context}");
            newest = newest.max(revision);
            assert_eq!(gate.revision(), newest, "{context}");
            let in_force = gate.head().map(|head| head.preset.clone());
            assert_eq!(in_force, Some(format!("preset-{newest}")), "{context}");
        }
    }
}
