//! Entries of servers while the store is restored from older copies: single cases, and seeded
//! histories against a model of what was acknowledged when.

mod restored_store;
mod roster_simulation;

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use roster_simulation::RosterSimulation;
use std::time::Duration;

fn at(millis: u64) -> MonoTime {
    MonoTime(1_000_000_000 + millis * 1_000)
}

fn entry(id: &str, born: u64, state: ServerState, sequence: u64) -> ServerEntry {
    ServerEntry {
        incarnation: ServerIncarnation {
            id: id.into(),
            born,
        },
        service: "reports".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "a".into(),
        slots: 3,
        state,
        warmup_left: Duration::ZERO,
        sequence: Some(sequence),
    }
}

/// Entry without a count.
fn uncounted(state: ServerState) -> ServerEntry {
    ServerEntry {
        sequence: None,
        ..entry("s1", 1, state, 0)
    }
}

fn put(roster: &mut ServerRoster, entry: ServerEntry, revision: (u64, u64), millis: u64) {
    let revision = StoreRevision::new(revision.0, revision.1);
    let change = RosterChange::Updated(Box::new(entry), revision);
    roster.apply(change, at(millis), Duration::ZERO);
}

fn remove(roster: &mut ServerRoster, id: &str, revision: (u64, u64), millis: u64) {
    let revision = StoreRevision::new(revision.0, revision.1);
    let change = RosterChange::Removed(id.into(), revision);
    roster.apply(change, at(millis), Duration::ZERO);
}

/// Applies a list of an era, in which each entry changed last at revision 1.
fn list(roster: &mut ServerRoster, entries: Vec<ServerEntry>, revision: (u64, u64), millis: u64) {
    let (era, number) = revision;
    let entries = entries
        .into_iter()
        .map(|entry| (entry, StoreRevision::new(era, 1)));
    let revision = StoreRevision::new(era, number);
    roster.replace_all(entries.collect(), revision, at(millis), Duration::ZERO);
}

/// Identifiers and start times of servers that get new requests, at a time.
fn ready(roster: &mut ServerRoster, millis: u64) -> Vec<(String, u64)> {
    roster.remove_expired(at(millis));
    let is_ready = |entry: &&ServerEntry| entry.state == ServerState::Ready;
    let ready = roster.entries().filter(is_ready);
    ready
        .map(|entry| (entry.incarnation.id.clone(), entry.incarnation.born))
        .collect()
}

fn only(born: u64) -> Vec<(String, u64)> {
    vec![("s1".into(), born)]
}

// Guards against a draining server that gets requests again because the copy lists it as ready.
#[test]
fn draining_server_stays_draining_when_the_copy_lists_it_as_ready() {
    let mut roster = ServerRoster::default();
    put(
        &mut roster,
        entry("s1", 1, ServerState::Ready, 3),
        (1, 5),
        0,
    );
    let draining = entry("s1", 1, ServerState::Draining, 6);
    put(&mut roster, draining, (1, 90), 100);
    let copied = entry("s1", 1, ServerState::Ready, 5);
    list(&mut roster, vec![copied], (2, 80), 1_000);
    assert_eq!(ready(&mut roster, 1_000), []);
    assert_eq!(roster.entries().count(), 1, "it is still known to drain");
    remove(&mut roster, "s1", (2, 85), 3_700);
    assert_eq!(ready(&mut roster, 10_000), []);
}

// Guards against a server that is left out for good because of what an earlier era said of it.
#[test]
fn later_word_of_a_draining_server_counts_at_once_and_a_repeated_one_after_the_settle_time() {
    for (later, settled) in [
        (entry("s1", 1, ServerState::Ready, 7), false),
        (entry("s1", 1, ServerState::Ready, 6), true),
        (uncounted(ServerState::Ready), true),
    ] {
        let mut roster = ServerRoster::default();
        let draining = entry("s1", 1, ServerState::Draining, 6);
        put(&mut roster, draining, (1, 90), 100);
        list(&mut roster, vec![later.clone()], (2, 80), 1_000);
        let expected = if settled { Vec::new() } else { only(1) };
        assert_eq!(ready(&mut roster, 4_100), expected, "{later:?}");
        assert_eq!(ready(&mut roster, 4_300), only(1), "{later:?}");
    }
}

// Guards against a server that has left and is used again until its restored entry lapses.
#[test]
fn removed_server_is_not_used_before_its_own_later_entry() {
    let mut roster = ServerRoster::default();
    put(
        &mut roster,
        entry("s1", 1, ServerState::Ready, 3),
        (1, 5),
        0,
    );
    remove(&mut roster, "s1", (1, 90), 100);
    // Its count has grown without a change of the entry.
    let copied = entry("s1", 1, ServerState::Ready, 8);
    list(&mut roster, vec![copied.clone()], (2, 80), 1_000);
    assert_eq!(ready(&mut roster, 1_000), []);
    put(&mut roster, copied, (2, 81), 1_100);
    assert_eq!(ready(&mut roster, 1_100), [], "it says nothing later");
    let later = entry("s1", 1, ServerState::Ready, 9);
    put(&mut roster, later, (2, 82), 1_200);
    assert_eq!(ready(&mut roster, 1_200), only(1));
}

// Guards against a live server, gone by an entry that had lapsed, which is never used again.
#[test]
fn removed_server_that_is_still_listed_after_the_settle_time_is_used() {
    let mut roster = ServerRoster::default();
    put(
        &mut roster,
        entry("s1", 1, ServerState::Ready, 3),
        (1, 5),
        0,
    );
    remove(&mut roster, "s1", (1, 90), 100);
    let copied = entry("s1", 1, ServerState::Ready, 3);
    list(&mut roster, vec![copied], (2, 80), 1_000);
    assert_eq!(ready(&mut roster, 4_100), []);
    assert_eq!(ready(&mut roster, 4_300), only(1));
}

// Guards against a later start of a server that gives way to an earlier one.
#[test]
fn earlier_incarnation_does_not_replace_a_later_one() {
    let mut roster = ServerRoster::default();
    put(
        &mut roster,
        entry("s1", 7, ServerState::Ready, 0),
        (1, 90),
        0,
    );
    let copied = entry("s1", 3, ServerState::Ready, 55);
    list(&mut roster, vec![copied], (2, 80), 1_000);
    assert_eq!(ready(&mut roster, 2_900), only(7));
    put(
        &mut roster,
        entry("s1", 7, ServerState::Ready, 2),
        (2, 81),
        2_950,
    );
    assert_eq!(ready(&mut roster, 9_000), only(7));
}

// Guards against live servers that are lost because the copy lacks them, and against ended ones that
// stay in use.
#[test]
fn server_that_the_copy_lacks_stays_until_it_had_time_to_write_again() {
    let mut roster = ServerRoster::default();
    for id in ["s1", "s2", "s3"] {
        let state = match id {
            "s3" => ServerState::Draining,
            _ => ServerState::Ready,
        };
        put(&mut roster, entry(id, 1, state, 0), (1, 90), 0);
    }
    list(&mut roster, Vec::new(), (2, 80), 1_000);
    assert_eq!(ready(&mut roster, 1_000).len(), 2);
    assert_eq!(roster.entries().count(), 2, "the draining one is gone");
    put(
        &mut roster,
        entry("s1", 1, ServerState::Ready, 1),
        (2, 81),
        2_900,
    );
    assert_eq!(ready(&mut roster, 3_200).len(), 2);
    assert_eq!(ready(&mut roster, 3_400), only(1));
    // The same news by changes, as from another instance.
    remove(&mut roster, "s1", (3, 70), 9_000);
    assert_eq!(ready(&mut roster, 11_200), only(1));
    assert_eq!(ready(&mut roster, 11_400), []);
}

// Guards against a second restore that ends the time which live servers have to write again.
#[test]
fn second_restore_in_a_row_begins_the_settle_time_again() {
    let mut roster = ServerRoster::default();
    put(
        &mut roster,
        entry("s1", 1, ServerState::Ready, 0),
        (1, 90),
        0,
    );
    put(
        &mut roster,
        entry("s2", 1, ServerState::Ready, 0),
        (1, 91),
        0,
    );
    put(
        &mut roster,
        entry("s2", 1, ServerState::Draining, 4),
        (1, 92),
        0,
    );
    let copied = entry("s2", 1, ServerState::Ready, 3);
    list(&mut roster, vec![copied.clone()], (2, 80), 1_000);
    list(&mut roster, vec![copied], (3, 75), 3_000);
    assert_eq!(ready(&mut roster, 5_200), only(1));
    assert_eq!(ready(&mut roster, 5_400), []);
    remove(&mut roster, "s2", (3, 80), 5_700);
    assert_eq!(ready(&mut roster, 9_000), []);
}

// Guards against a removal within the new era that waits for the end of the settle time.
#[test]
fn removal_within_the_new_era_counts_at_once() {
    let mut roster = ServerRoster::default();
    put(
        &mut roster,
        entry("s1", 1, ServerState::Ready, 0),
        (1, 5),
        0,
    );
    let copied = entry("s1", 1, ServerState::Ready, 1);
    list(&mut roster, vec![copied.clone()], (2, 80), 1_000);
    assert_eq!(ready(&mut roster, 1_000), only(1));
    remove(&mut roster, "s1", (2, 81), 1_200);
    assert_eq!(ready(&mut roster, 1_200), []);
    // A list of the era before that arrives late.
    list(&mut roster, vec![copied], (1, 99), 1_300);
    assert_eq!(ready(&mut roster, 9_000), []);
}

// Guards against a server that was known as leaving or gone and is used again without a later word
// of its own, and against live servers that are lost, in any order of the events around restores.
#[test]
fn no_history_of_restores_uses_a_server_that_left_or_loses_a_live_one() {
    let seed = std::env::var("RESTORE_SEED").ok();
    let seeds = match seed.and_then(|seed| seed.parse().ok()) {
        Some(seed) => seed..seed + 1,
        None => 0..2_000,
    };
    let mut restores = 0;
    let mut held = 0;
    for seed in seeds {
        let mut simulation = RosterSimulation::new(seed);
        simulation.run(Duration::from_secs(40));
        restores += simulation.restores;
        held += simulation.contradictions;
    }
    assert!(restores > 0 && held > 0, "{restores} {held}");
    println!("{restores} restores, {held} entries that contradict what is known");
}
