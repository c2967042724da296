//! A configuration in force never reverts.

use {
    geraniummast_configuration::{ConfigurationHead, RevisionGate, RevisionVerdict},
    quickcheck::{Arbitrary, Gen},
};

const SEED: u64 = 6;

#[test]
fn no_order_of_offers_reverts_and_the_newest_offer_is_in_force() {
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
                std::cmp::Ordering::Less => RevisionVerdict::Older,
                std::cmp::Ordering::Equal => RevisionVerdict::Same,
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
