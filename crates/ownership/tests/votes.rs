//! Rules for votes between candidates and voters.

use {geraniummast_model::*, geraniummast_ownership::*, std::time::Duration};

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name, 1)
}

fn record() -> PartRecord {
    let id = PartId::new(ServiceName::new("reports"), 0);
    let servers = ["s1", "s2"].map(ServerName::new);
    let members = ["a", "b", "c"].map(instance).to_vec();
    let layout = PartLayout::new(&id).servers(servers).members(members);
    layout.record("first").unwrap()
}

fn vote_request(candidate: &str, term: u64, round: u32, edition: u64) -> VoteRequest {
    VoteRequest {
        part: record().id,
        voter: instance("b"),
        candidate: instance(candidate),
        term,
        round,
        edition,
        activated_edition: 1,
        record: None,
    }
}

const READY: MonoTime = MonoTime(1_000_000);

fn voter() -> VoterState {
    VoterState::new(&instance("b"), MonoTime(0), &TimingSettings::default())
}

#[test]
fn new_incarnation_does_not_vote_within_one_lease() {
    let timing = TimingSettings::default();
    let mut voter = voter();
    let early = MonoTime(timing.lease.as_micros() as u64);
    let outcome = voter.vote(&vote_request("a", 1, 0, 1), 1, early, &timing);
    assert_eq!(outcome, VoteOutcome::NotReady);
    let outcome = voter.vote(&vote_request("a", 1, 0, 1), 1, READY, &timing);
    assert_eq!(outcome, VoteOutcome::Granted(timing.lease));
}

#[test]
fn other_incarnation_of_voter_does_not_vote() {
    let other = InstanceId::new("b", 2);
    let mut voter = VoterState::new(&other, MonoTime(0), &TimingSettings::default());
    let outcome = voter.vote(
        &vote_request("a", 1, 0, 1),
        1,
        READY,
        &TimingSettings::default(),
    );
    assert_eq!(outcome, VoteOutcome::NotReady);
}

#[test]
fn vote_goes_to_other_candidate_only_after_it_expired_on_voters_clock() {
    let timing = TimingSettings::default();
    let mut voter = voter();
    voter.vote(&vote_request("a", 1, 0, 1), 1, READY, &timing);
    let expiry = READY.after(timing.lengthened_by_drift(timing.lease));
    let before = expiry.before(Duration::from_micros(1));
    let outcome = voter.vote(&vote_request("c", 1, 1, 1), 1, before, &timing);
    assert_eq!(outcome, VoteOutcome::HeldByOther(Duration::from_micros(1)));
    let outcome = voter.vote(&vote_request("c", 1, 1, 1), 1, expiry, &timing);
    assert_eq!(outcome, VoteOutcome::Granted(timing.lease));
}

#[test]
fn request_with_older_edition_term_or_round_is_stale() {
    let timing = TimingSettings::default();
    let mut voter = voter();
    voter.vote(&vote_request("c", 2, 1, 5), 5, READY, &timing);
    let later = READY.after(Duration::from_secs(1));
    for stale in [
        vote_request("a", 2, 2, 4),
        vote_request("a", 1, 9, 5),
        vote_request("a", 2, 1, 5),
    ] {
        let outcome = voter.vote(&stale, 5, later, &timing);
        assert_eq!(outcome, VoteOutcome::Stale, "{stale:?}");
    }
}

#[test]
fn delayed_copy_of_request_is_stale_after_vote_was_released() {
    let timing = TimingSettings::default();
    let mut voter = voter();
    voter.vote(&vote_request("a", 1, 0, 1), 1, READY, &timing);
    voter.release(&instance("a"), (1, 0));
    let outcome = voter.vote(&vote_request("a", 1, 0, 1), 1, READY, &timing);
    assert_eq!(outcome, VoteOutcome::Stale);
    let outcome = voter.vote(&vote_request("a", 1, 1, 1), 1, READY, &timing);
    assert_eq!(outcome, VoteOutcome::Granted(timing.lease));
}

fn elector(name: &str, record: &PartRecord) -> LeaderElector {
    let timing = TimingSettings::default();
    LeaderElector::new(&instance(name), record.clone(), MonoTime(0), READY, timing)
}

/// Ticks `elector` at `now`, and exchanges its request for the reply of the voter "b".
fn exchange(elector: &mut LeaderElector, voter: &mut LeaderElector, now: MonoTime) {
    let fleet = FleetView::default();
    elector.tick(now, &fleet);
    for step in elector.take_steps() {
        if let ElectionStep::RequestVote(request) = step
            && request.voter == instance("b")
        {
            let reply = voter.handle_request(request.clone(), now);
            elector.handle_reply(&request, reply, now, now, &fleet);
        }
    }
}

#[test]
fn written_record_is_acted_on_only_when_another_member_knows_it() {
    let first = record();
    let (mut leader, mut voter) = (elector("a", &first), elector("b", &first));
    exchange(&mut leader, &mut voter, READY);
    assert_eq!(leader.authority(READY).unwrap().record.edition, 1);
    let next = RecordBuilder::after_activated(&first).build();
    leader.record_written(next, READY);
    let soon = READY.after(Duration::from_millis(10));
    leader.tick(soon, &FleetView::default());
    assert_eq!(leader.authority(soon).unwrap().record.edition, 1);
    leader.take_steps();
    exchange(&mut leader, &mut voter, soon);
    assert_eq!(leader.authority(soon).unwrap().record.edition, 2);
    assert_eq!(voter.record().edition, 2);
}

#[test]
fn leader_without_renewed_vote_stops_before_its_voter_is_free() {
    let timing = TimingSettings::default();
    let first = record();
    let (mut leader, mut voter) = (elector("a", &first), elector("b", &first));
    exchange(&mut leader, &mut voter, READY);
    let expiry = READY.after(timing.lengthened_by_drift(timing.lease));
    assert!(leader.authority(READY.after(timing.lease / 2)).is_some());
    assert!(
        leader
            .authority(READY.after(timing.shortened_by_drift(timing.lease)))
            .is_none()
    );
    assert_eq!(
        voter.voted_for(READY.after(timing.lease)),
        Some(&instance("a"))
    );
    assert_eq!(voter.voted_for(expiry), None);
}
