//! Grants to servers, one rule a test.

use {geraniummast_model::*, geraniummast_ownership::*, std::time::Duration};

const NOW: MonoTime = MonoTime(1_000_000);

fn led(until: MonoTime) -> LedPart {
    let id = PartId::new(ServiceName::new("reports"), 0);
    let servers = ["s1", "s2"].map(ServerName::new);
    let layout = PartLayout::new(&id).servers(servers);
    let authority = LeaderAuthority {
        record: layout
            .members(vec![InstanceId::new("a", 1)])
            .record("first")
            .unwrap(),
        round: 0,
        valid_until: until,
        frozen: false,
    };
    let mut led = LedPart::new(&authority, NOW, &TimingSettings::default());
    for server in ["s1", "s2"].map(ServerName::new) {
        led.grants
            .record_clock(&server, ServerClock::new(NOW, NOW), NOW);
    }
    led
}

#[test]
fn a_grant_ends_before_its_senders_authority() {
    let until = NOW.after(Duration::from_millis(100));
    let step = led(until).next_grant_step(&ServerName::new("s1"), NOW, &TimingSettings::default());
    let GrantStep::Send { not_after, .. } = step else {
        panic!("{step:?}");
    };
    assert!(not_after <= until && not_after > NOW);
}

#[test]
fn a_grant_stands_through_the_move_of_another_slice() {
    let timing = TimingSettings::default();
    let mut led = led(NOW.after(timing.lease));
    let server = ServerName::new("s1");
    let GrantStep::Send { number, .. } = led.next_grant_step(&server, NOW, &timing) else {
        panic!("no grant");
    };
    led.grants.record_answer(&server, number, true, NOW);
    let kept = KeyHash(led.record.slices[0].start);
    let mut next = led.record.clone();
    next.edition += 1;
    let change = SliceChange::Move {
        start: next.slices[1].start,
        to: server.clone(),
    };
    SliceAssigner::apply(&mut next, &[change]);
    let authority = LeaderAuthority {
        record: next,
        round: 0,
        valid_until: led.lease_until,
        frozen: false,
    };
    led.renew(&authority, NOW, &timing);
    assert!(matches!(led.route(kept, NOW), RouteDecision::Send { .. }));
    let moved = KeyHash(led.record.slices[1].start);
    assert_eq!(led.route(moved, NOW), RouteDecision::Wait);
}

#[test]
fn a_lost_servers_slices_alone_are_dealt_out() {
    let record = led(NOW).record;
    let serving = vec![ServerName::new("s2")];
    let changes = SliceAssigner::reassign_unavailable(&record, &serving, |_| false);
    assert_eq!(
        changes.len(),
        record.ranges_of(&ServerName::new("s1")).len()
    );
}
