//! Effects of discovery's reads and events on the roster, in any order of arrival.

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
        sequence: None,
    }
}

fn put_entry(roster: &mut ServerRoster, id: &str, state: ServerState, revision: u64) -> bool {
    let change = RosterChange::Updated(Box::new(entry(id, 1, state)), revision.into());
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
fn older_entry_does_not_replace_a_newer_one() {
    let mut roster = ServerRoster::default();
    put_entry(&mut roster, "s1", ServerState::Draining, 7);
    assert!(!put_entry(&mut roster, "s1", ServerState::Ready, 6));
    assert_eq!(ready_count(&roster), 0);
}

#[test]
fn stale_list_does_not_restore_a_removed_server() {
    let mut roster = ServerRoster::default();
    put_entry(&mut roster, "s1", ServerState::Ready, 5);
    roster.apply(
        RosterChange::Removed("s1".into(), 9.into()),
        MonoTime(0),
        Duration::ZERO,
    );
    let stale = vec![(entry("s1", 1, ServerState::Ready), 5.into())];
    roster.replace_all(stale, 8.into(), MonoTime(0), Duration::ZERO);
    assert!(ids(&roster).is_empty());
}

#[test]
fn list_does_not_remove_newer_entries() {
    let mut roster = ServerRoster::default();
    put_entry(&mut roster, "s1", ServerState::Ready, 12);
    roster.replace_all(Vec::new(), 10.into(), MonoTime(0), Duration::ZERO);
    assert_eq!(ids(&roster), ["s1"]);
}

#[test]
fn expired_entry_stays_until_the_grace_period_ends() {
    let mut roster = ServerRoster::default();
    put_entry(&mut roster, "s1", ServerState::Ready, 5);
    let grace_period = Duration::from_secs(2);
    let change = RosterChange::Removed("s1".into(), 5.into());
    roster.apply(change, MonoTime(1_000_000), grace_period);
    assert!(!roster.remove_expired(MonoTime(2_900_000)));
    assert_eq!(ready_count(&roster), 1);
    assert!(roster.remove_expired(MonoTime(3_000_000)));
    assert!(ids(&roster).is_empty());
}

#[test]
fn entry_written_again_within_the_grace_period_stays() {
    let mut roster = ServerRoster::default();
    put_entry(&mut roster, "s1", ServerState::Ready, 5);
    let grace_period = Duration::from_secs(2);
    roster.apply(
        RosterChange::Removed("s1".into(), 5.into()),
        MonoTime(0),
        grace_period,
    );
    put_entry(&mut roster, "s1", ServerState::Ready, 8);
    assert!(!roster.remove_expired(MonoTime(9_000_000)));
    assert_eq!(ids(&roster), ["s1"]);
}

#[test]
fn expired_entry_of_a_draining_server_is_removed_at_once() {
    let mut roster = ServerRoster::default();
    put_entry(&mut roster, "s1", ServerState::Draining, 5);
    let grace_period = Duration::from_secs(2);
    roster.apply(
        RosterChange::Removed("s1".into(), 5.into()),
        MonoTime(0),
        grace_period,
    );
    assert!(ids(&roster).is_empty());
}

#[test]
fn incarnation_status_follows_later_entries() {
    let mut roster = ServerRoster::default();
    let change = RosterChange::Updated(Box::new(entry("s1", 5, ServerState::Ready)), 3.into());
    roster.apply(change, MonoTime(0), Duration::ZERO);
    let incarnation = |id: &str, born| ServerIncarnation {
        id: id.into(),
        born,
    };
    let here = "127.0.0.1:9".parse().ok();
    let elsewhere = "127.0.0.1:8".parse().ok();
    assert_eq!(
        roster.incarnation_status(&incarnation("s1", 5), here, |_| true),
        IncarnationStatus::Alive
    );
    assert_eq!(
        roster.incarnation_status(&incarnation("s1", 4), here, |_| true),
        IncarnationStatus::Replaced
    );
    assert_eq!(
        roster.incarnation_status(&incarnation("s1", 4), elsewhere, |_| true),
        IncarnationStatus::Dead
    );
    assert_eq!(
        roster.incarnation_status(&incarnation("s2", 4), here, |_| true),
        IncarnationStatus::Dead
    );
    assert_eq!(
        roster.incarnation_status(&incarnation("s2", 4), elsewhere, |_| true),
        IncarnationStatus::Alive
    );
}

// Guards against two holders of the same keys: a leader that has never known the address of an
// incarnation takes a later one for a proof that none is in its place.
#[test]
fn later_incarnation_of_one_without_a_known_address_may_be_in_its_place() {
    let mut roster = ServerRoster::default();
    let change = RosterChange::Updated(Box::new(entry("s1", 5, ServerState::Ready)), 3.into());
    roster.apply(change, MonoTime(0), Duration::ZERO);
    let status = |id: &str, born| {
        let incarnation = ServerIncarnation {
            id: id.into(),
            born,
        };
        roster.incarnation_status(&incarnation, None, |_| true)
    };
    assert_eq!(status("s1", 4), IncarnationStatus::Replaced);
    assert_eq!(status("s1", 5), IncarnationStatus::Alive);
    assert_eq!(status("s2", 4), IncarnationStatus::Alive);
}
