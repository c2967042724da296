//! Rules for the grants that a leader sends to servers.

use {geraniummast_model::*, geraniummast_ownership::*, std::time::Duration};

const NOW: MonoTime = MonoTime(1_000_000);

fn led_part(valid_until: MonoTime) -> LedPart {
    let id = PartId::new(ServiceName::new("reports"), 0);
    let servers = ["s1", "s2"].map(ServerName::new);
    let layout = PartLayout::new(&id).servers(servers);
    let authority = LeaderAuthority {
        record: layout
            .members(vec![InstanceId::new("a", 1)])
            .record("first")
            .unwrap(),
        round: 0,
        valid_until,
        frozen: false,
    };
    let mut part = LedPart::new(&authority, NOW, &TimingSettings::default());
    for server in ["s1", "s2"].map(ServerName::new) {
        part.grants
            .record_clock(&server, ServerClock::new(NOW, NOW), NOW);
    }
    part
}

#[test]
fn grant_ends_before_authority_of_its_sender() {
    let until = NOW.after(Duration::from_millis(100));
    let step =
        led_part(until).next_grant_step(&ServerName::new("s1"), NOW, &TimingSettings::default());
    let GrantStep::Send { not_after, .. } = step else {
        panic!("{step:?}");
    };
    assert!(not_after <= until && not_after > NOW);
}

#[test]
fn grant_stays_valid_while_another_slice_moves() {
    let timing = TimingSettings::default();
    let mut part = led_part(NOW.after(timing.lease));
    let server = ServerName::new("s1");
    let GrantStep::Send { number, .. } = part.next_grant_step(&server, NOW, &timing) else {
        panic!("no grant");
    };
    part.grants.record_answer(&server, number, true, NOW);
    let unmoved = KeyHash(part.record.slices[0].start);
    let mut next_record = part.record.clone();
    next_record.edition += 1;
    let change = SliceChange::Move {
        start: next_record.slices[1].start,
        to: server.clone(),
    };
    SliceAssigner::apply(&mut next_record, &[change]);
    let authority = LeaderAuthority {
        record: next_record,
        round: 0,
        valid_until: part.lease_until,
        frozen: false,
    };
    part.renew(&authority, NOW, &timing);
    assert!(matches!(
        part.route(unmoved, NOW),
        RouteDecision::Send { .. }
    ));
    let moved = KeyHash(part.record.slices[1].start);
    assert_eq!(part.route(moved, NOW), RouteDecision::Wait);
}

#[test]
fn only_slices_of_lost_server_are_reassigned() {
    let record = led_part(NOW).record;
    let serving = vec![ServerName::new("s2")];
    let changes = SliceAssigner::reassign_unavailable(&record, &serving, |_| false);
    assert_eq!(
        changes.len(),
        record.ranges_of(&ServerName::new("s1")).len()
    );
}
