//! Selection of the supporters of a leader.

use geraniummast_routing::*;

fn instance(name: &str, incarnation: u64) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: name.into(),
        incarnation,
    }
}

#[test]
fn supporters_are_kept_while_they_are_there_and_spread_over_data_centres() {
    let instances: Vec<InstanceIncarnation> = (1..=6)
        .map(|number| instance(&format!("i{number}"), 1))
        .collect();
    let centres = ["a", "a", "a", "b", "c", "c"];
    let candidates: Vec<SupporterCandidate<'_>> = instances
        .iter()
        .zip(centres)
        .map(|(instance, data_centre)| SupporterCandidate {
            instance,
            data_centre,
        })
        .collect();
    let names = |supporters: Vec<InstanceIncarnation>| -> Vec<String> {
        supporters
            .into_iter()
            .map(|supporter| supporter.instance)
            .collect()
    };
    assert_eq!(
        names(SupporterSelection::select(&[], &candidates)),
        ["i1", "i2", "i4", "i5"]
    );
    let current = [
        instances[2].clone(),
        instances[5].clone(),
        instance("i9", 1),
    ];
    assert_eq!(
        names(SupporterSelection::select(&current, &candidates)),
        ["i1", "i3", "i4", "i6"]
    );
    assert_eq!(
        names(SupporterSelection::select(&[], &candidates[..3])),
        ["i1", "i2"]
    );
    assert!(SupporterSelection::select(&[], &candidates[..1]).is_empty());
}
