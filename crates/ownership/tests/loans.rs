//! Loans between a holder and its lenders, one rule a test.

use {geraniummast_model::*, geraniummast_ownership::*, std::time::Duration};

fn instance(name: &str) -> InstanceId {
    InstanceId::new(name, 1)
}

fn record() -> PartRecord {
    let id = PartId::new(ServiceName::new("reports"), 0);
    let servers = ["s1", "s2"].map(ServerName::new);
    let trio = ["a", "b", "c"].map(instance).to_vec();
    let layout = PartLayout::new(&id).servers(servers).trio(trio);
    layout.record("first").unwrap()
}

fn ask(holder: &str, term: u64, round: u32, edition: u64) -> LoanAsk {
    LoanAsk {
        part: record().id,
        lender: instance("b"),
        holder: instance(holder),
        term,
        round,
        edition,
        sealed: 1,
        record: None,
    }
}

const READY: MonoTime = MonoTime(1_000_000);

fn table() -> LoanTable {
    LoanTable::new(&instance("b"), MonoTime(0), &TimingPlan::default())
}

#[test]
fn a_fresh_run_lends_nothing_for_a_lease() {
    let timing = TimingPlan::default();
    let mut table = table();
    let early = MonoTime(timing.lease.as_micros() as u64);
    let verdict = table.lend(&ask("a", 1, 0, 1), 1, early, &timing);
    assert_eq!(verdict, LoanVerdict::NotReady);
    let verdict = table.lend(&ask("a", 1, 0, 1), 1, READY, &timing);
    assert_eq!(verdict, LoanVerdict::Lent(timing.lease));
}

#[test]
fn another_run_of_a_lender_does_not_lend() {
    let other = InstanceId::new("b", 2);
    let mut table = LoanTable::new(&other, MonoTime(0), &TimingPlan::default());
    let verdict = table.lend(&ask("a", 1, 0, 1), 1, READY, &TimingPlan::default());
    assert_eq!(verdict, LoanVerdict::NotReady);
}

#[test]
fn a_loan_goes_to_another_only_after_it_lapsed_by_the_lenders_clock() {
    let timing = TimingPlan::default();
    let mut table = table();
    table.lend(&ask("a", 1, 0, 1), 1, READY, &timing);
    let lapse = READY.after(timing.lengthened(timing.lease));
    let before = lapse.before(Duration::from_micros(1));
    let verdict = table.lend(&ask("c", 1, 1, 1), 1, before, &timing);
    assert_eq!(verdict, LoanVerdict::Held(Duration::from_micros(1)));
    let verdict = table.lend(&ask("c", 1, 1, 1), 1, lapse, &timing);
    assert_eq!(verdict, LoanVerdict::Lent(timing.lease));
}

#[test]
fn an_older_edition_term_or_round_gets_nothing() {
    let timing = TimingPlan::default();
    let mut table = table();
    table.lend(&ask("c", 2, 1, 5), 5, READY, &timing);
    let later = READY.after(Duration::from_secs(1));
    for behind in [ask("a", 2, 2, 4), ask("a", 1, 9, 5), ask("a", 2, 1, 5)] {
        let verdict = table.lend(&behind, 5, later, &timing);
        assert_eq!(verdict, LoanVerdict::Behind, "{behind:?}");
    }
}

#[test]
fn a_late_copy_of_a_request_gets_nothing_after_the_loan_was_given_back() {
    let timing = TimingPlan::default();
    let mut table = table();
    table.lend(&ask("a", 1, 0, 1), 1, READY, &timing);
    table.returned(&instance("a"), (1, 0));
    let verdict = table.lend(&ask("a", 1, 0, 1), 1, READY, &timing);
    assert_eq!(verdict, LoanVerdict::Behind);
    let verdict = table.lend(&ask("a", 1, 1, 1), 1, READY, &timing);
    assert_eq!(verdict, LoanVerdict::Lent(timing.lease));
}

fn holder(name: &str, record: &PartRecord) -> LeaseHolder {
    let timing = TimingPlan::default();
    LeaseHolder::new(&instance(name), record.clone(), MonoTime(0), READY, timing)
}

/// Lets `holder` ask at `now` and takes in what the lender "b" says.
fn exchange(holder: &mut LeaseHolder, lender: &mut LeaseHolder, now: MonoTime) {
    let fleet = FleetView::default();
    holder.tick(now, &fleet);
    for step in holder.take_steps() {
        if let LeaseStep::Ask(ask) = step
            && ask.lender == instance("b")
        {
            let reply = lender.answer(ask.clone(), now);
            holder.replied(&ask, reply, now, now, &fleet);
        }
    }
}

#[test]
fn a_written_record_is_acted_on_only_when_a_lender_knows_it() {
    let first = record();
    let (mut leader, mut lender) = (holder("a", &first), holder("b", &first));
    exchange(&mut leader, &mut lender, READY);
    assert_eq!(leader.lead(READY).unwrap().record.edition, 1);
    let next = RecordPlan::after(&first).record();
    leader.wrote(next, READY);
    let soon = READY.after(Duration::from_millis(10));
    leader.tick(soon, &FleetView::default());
    assert_eq!(leader.lead(soon).unwrap().record.edition, 1);
    leader.take_steps();
    exchange(&mut leader, &mut lender, soon);
    assert_eq!(leader.lead(soon).unwrap().record.edition, 2);
    assert_eq!(lender.record().edition, 2);
}

#[test]
fn a_holder_without_a_second_loan_stops_before_its_lenders_are_free() {
    let timing = TimingPlan::default();
    let first = record();
    let (mut leader, mut lender) = (holder("a", &first), holder("b", &first));
    exchange(&mut leader, &mut lender, READY);
    let lapse = READY.after(timing.lengthened(timing.lease));
    assert!(leader.lead(READY.after(timing.lease / 2)).is_some());
    assert!(
        leader
            .lead(READY.after(timing.shortened(timing.lease)))
            .is_none()
    );
    assert_eq!(
        lender.lent_to(READY.after(timing.lease)),
        Some(&instance("a"))
    );
    assert_eq!(lender.lent_to(lapse), None);
}
