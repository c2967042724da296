//! What discovery's reads and events make of the roster, in whichever order they come.

use geraniummast_model::MonoTime;
use geraniummast_routing::*;
use std::time::Duration;

fn entry(id: &str, born: u64, state: ServerState) -> ServerEntry {
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
    }
}

fn put(roster: &mut ServerRoster, id: &str, state: ServerState, revision: u64) -> bool {
    let change = RosterChange::Updated(Box::new(entry(id, 1, state)), revision);
    roster.apply(change, MonoTime(0), Duration::ZERO)
}

fn ids(roster: &ServerRoster) -> Vec<String> {
    roster
        .entries()
        .map(|entry| entry.incarnation.id.clone())
        .collect()
}

fn ready_count(roster: &ServerRoster) -> usize {
    let is_ready = |entry: &&ServerEntry| entry.state == ServerState::Ready;
    roster.entries().filter(is_ready).count()
}

#[test]
fn an_older_entry_never_replaces_a_newer_one() {
    let mut roster = ServerRoster::default();
    put(&mut roster, "s1", ServerState::Draining, 7);
    assert!(!put(&mut roster, "s1", ServerState::Ready, 6));
    assert_eq!(ready_count(&roster), 0);
}

#[test]
fn a_stale_list_does_not_bring_a_removed_server_back() {
    let mut roster = ServerRoster::default();
    put(&mut roster, "s1", ServerState::Ready, 5);
    roster.apply(
        RosterChange::Removed("s1".into(), 9),
        MonoTime(0),
        Duration::ZERO,
    );
    let stale = vec![(entry("s1", 1, ServerState::Ready), 5)];
    roster.replace_all(stale, 8, MonoTime(0), Duration::ZERO);
    assert!(ids(&roster).is_empty());
}

#[test]
fn a_list_does_not_drop_what_is_newer_than_it() {
    let mut roster = ServerRoster::default();
    put(&mut roster, "s1", ServerState::Ready, 12);
    roster.replace_all(Vec::new(), 10, MonoTime(0), Duration::ZERO);
    assert_eq!(ids(&roster), ["s1"]);
}

#[test]
fn an_entry_that_lapsed_around_an_outage_stays_for_its_hold_and_not_longer() {
    let mut roster = ServerRoster::default();
    put(&mut roster, "s1", ServerState::Ready, 5);
    let hold = Duration::from_secs(2);
    let change = RosterChange::Removed("s1".into(), 5);
    roster.apply(change, MonoTime(1_000_000), hold);
    assert!(!roster.remove_expired(MonoTime(2_900_000)));
    assert_eq!(ready_count(&roster), 1);
    assert!(roster.remove_expired(MonoTime(3_000_000)));
    assert!(ids(&roster).is_empty());
}

#[test]
fn an_entry_that_is_written_again_within_its_hold_stays() {
    let mut roster = ServerRoster::default();
    put(&mut roster, "s1", ServerState::Ready, 5);
    let hold = Duration::from_secs(2);
    roster.apply(RosterChange::Removed("s1".into(), 5), MonoTime(0), hold);
    put(&mut roster, "s1", ServerState::Ready, 8);
    assert!(!roster.remove_expired(MonoTime(9_000_000)));
    assert_eq!(ids(&roster), ["s1"]);
}

#[test]
fn a_draining_server_that_vanishes_is_gone_at_once() {
    let mut roster = ServerRoster::default();
    put(&mut roster, "s1", ServerState::Draining, 5);
    let hold = Duration::from_secs(2);
    roster.apply(RosterChange::Removed("s1".into(), 5), MonoTime(0), hold);
    assert!(ids(&roster).is_empty());
}

#[test]
fn a_later_life_at_the_same_address_succeeds_the_one_before() {
    let mut roster = ServerRoster::default();
    let change = RosterChange::Updated(Box::new(entry("s1", 5, ServerState::Ready)), 3);
    roster.apply(change, MonoTime(0), Duration::ZERO);
    let mark = |id: &str, born| ServerIncarnation {
        id: id.into(),
        born,
    };
    let here = "127.0.0.1:9".parse().ok();
    let elsewhere = "127.0.0.1:8".parse().ok();
    assert_eq!(
        roster.incarnation_status(&mark("s1", 5), here),
        IncarnationStatus::Alive
    );
    assert_eq!(
        roster.incarnation_status(&mark("s1", 4), here),
        IncarnationStatus::Replaced
    );
    assert_eq!(
        roster.incarnation_status(&mark("s1", 4), elsewhere),
        IncarnationStatus::Dead
    );
    assert_eq!(
        roster.incarnation_status(&mark("s2", 4), here),
        IncarnationStatus::Dead
    );
    assert_eq!(
        roster.incarnation_status(&mark("s2", 4), elsewhere),
        IncarnationStatus::Alive
    );
}
