//! Admission over seeded histories, against plain counting.

use {
    geraniummast_model::{MonoTime, ServerName},
    geraniummast_requests::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::HashMap, time::Duration},
};

const LIMIT: SlotLimit = SlotLimit {
    slots: 3,
    max_queued: 8,
    max_wait: Duration::from_secs(1),
};

fn request(ticket: u64, priority: u8, caller: &str) -> WaitingRequest {
    WaitingRequest {
        ticket,
        priority,
        caller: caller.into(),
        deadline: MonoTime(u64::MAX),
    }
}

fn server() -> ServerName {
    ServerName::new("reports-0")
}

#[test]
fn slots_are_never_exceeded_and_every_request_ends_once() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut table = AdmissionTable::default();
        let (mut running, mut waiting) = (Vec::new(), Vec::new());
        let mut now = MonoTime(1_000_000);
        for ticket in 0..600_u64 {
            now = now.after(Duration::from_micros(random.random_range(0..2_000)));
            let mut asked = request(ticket, random.random_range(0..4), "");
            asked.caller = random.random_range(0..3).to_string();
            asked.deadline = now.after(Duration::from_millis(random.random_range(1..50)));
            match random.random_range(0..4) {
                0 | 1 => match table.admit(&server(), asked, LIMIT, now) {
                    AdmissionStep::Start => running.push(ticket),
                    AdmissionStep::Wait => waiting.push(ticket),
                    AdmissionStep::Refuse { retry_after, .. } => assert!(!retry_after.is_zero()),
                },
                2 if !running.is_empty() => {
                    running.swap_remove(random.random_range(0..running.len()));
                    let end = match random.random_range(0..4) {
                        0 => SlotEnd::Shed,
                        1 => SlotEnd::Failed,
                        _ => SlotEnd::Answered(Duration::from_millis(2)),
                    };
                    table.finish(&server(), end, LIMIT, now);
                }
                _ if !waiting.is_empty() => {
                    let ticket = waiting.swap_remove(random.random_range(0..waiting.len()));
                    assert!(
                        table.cancel(&server(), ticket),
                        "seed {seed}: {ticket} lost"
                    );
                    assert!(!table.cancel(&server(), ticket), "seed {seed}");
                }
                _ => {}
            }
            while let Some(step) = table.dequeue(&server(), LIMIT, now) {
                let (DequeueStep::Start(called) | DequeueStep::Expire(called)) = step;
                let place = waiting.iter().position(|ticket| *ticket == called);
                waiting.swap_remove(place.unwrap_or_else(|| panic!("seed {seed}: {called}")));
                if matches!(step, DequeueStep::Start(_)) {
                    running.push(called);
                }
            }
            assert_eq!(
                table.running(&server()) as usize,
                running.len(),
                "seed {seed}"
            );
            assert_eq!(table.waiting(&server()), waiting.len(), "seed {seed}");
            assert!(running.len() <= LIMIT.slots as usize, "seed {seed}");
            assert!(
                !running.is_empty() || waiting.is_empty(),
                "seed {seed}: idle"
            );
        }
    }
}

#[test]
fn no_priority_starves_and_the_first_goes_before() {
    let mut queue = ServerQueue::default();
    for ticket in 0..200 {
        queue.push(request(ticket, u8::from(ticket >= 100) * 3, "a"));
    }
    let starts: Vec<_> = (0..80).map(|_| queue.pop().unwrap().priority).collect();
    for window in starts.chunks(ServerQueue::STARVATION_STARTS as usize) {
        assert_eq!(window.iter().filter(|priority| **priority == 3).count(), 1);
    }
}

#[test]
fn callers_of_one_priority_take_turns() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut queue = ServerQueue::default();
        for ticket in 0..100 {
            queue.push(request(ticket, 1, "greedy"));
        }
        let modest = random.random_range(1..10);
        for ticket in 100..100 + modest {
            queue.push(request(ticket, 1, "modest"));
        }
        let mut starts: HashMap<String, u64> = HashMap::new();
        for _ in 0..2 * modest {
            *starts.entry(queue.pop().unwrap().caller).or_default() += 1;
        }
        assert_eq!(starts["modest"], modest, "seed {seed}");
    }
}

#[test]
fn a_greedy_caller_leaves_room_and_turns_to_the_others() {
    let mut table = AdmissionTable::default();
    let now = MonoTime(0);
    for ticket in 0..LIMIT.slots.into() {
        table.admit(&server(), request(ticket, 1, "greedy"), LIMIT, now);
    }
    let steps: Vec<_> = (10..20)
        .map(|ticket| table.admit(&server(), request(ticket, 1, "greedy"), LIMIT, now))
        .collect();
    let waits = steps.iter().filter(|step| **step == AdmissionStep::Wait);
    assert_eq!(
        waits.count(),
        LIMIT.max_queued / AdmissionTable::CALLER_SHARE
    );
    let refused = |step: &AdmissionStep| {
        matches!(
            step,
            AdmissionStep::Refuse {
                reason: RefusalReason::CallerLimit,
                ..
            }
        )
    };
    assert!(refused(steps.last().unwrap()));
    let modest = table.admit(&server(), request(99, 1, "modest"), LIMIT, now);
    assert_eq!(modest, AdmissionStep::Wait);
    let called: Vec<_> = (0..2)
        .map(|_| {
            table.finish(&server(), SlotEnd::Failed, LIMIT, now);
            table.dequeue(&server(), LIMIT, now)
        })
        .collect();
    assert!(called.contains(&Some(DequeueStep::Start(99))), "{called:?}");
}

#[test]
fn each_refusal_is_told_to_come_back_after_those_before_it() {
    let mut table = AdmissionTable::default();
    let now = MonoTime(1_000_000);
    let took = SlotEnd::Answered(Duration::from_millis(30));
    table.admit(&server(), request(0, 0, "a"), LIMIT, now);
    table.finish(&server(), took, LIMIT, now);
    let mut refuse = |ticket: u64, now| {
        let caller = (ticket % 4).to_string();
        match table.admit(&server(), request(ticket, 0, &caller), LIMIT, now) {
            AdmissionStep::Refuse { retry_after, .. } => Some(retry_after),
            AdmissionStep::Start | AdmissionStep::Wait => None,
        }
    };
    let told: Vec<_> = (0..30).filter_map(|ticket| refuse(ticket, now)).collect();
    assert!(told.len() > 10 && told.is_sorted_by(|first, next| first < next));
    let later = refuse(99, now.after(Duration::from_secs(1))).unwrap();
    assert!(
        later <= told[0],
        "{later:?} after the refused had their time"
    );
}

#[test]
fn requests_that_any_server_may_answer_spread_evenly() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut table = AdmissionTable::default();
        let names: Vec<_> = (0..10)
            .map(|index| ServerName::new(&format!("archives-{index}")))
            .collect();
        let mut busy: HashMap<&ServerName, u64> = HashMap::new();
        let mut ends: Vec<(u64, &ServerName, u64)> = Vec::new();
        for step in 0..4_000_u64 {
            let now = step * 1_000;
            ends.retain(|(end, server, took)| {
                let over = *end <= now;
                if over {
                    let took = SlotEnd::Answered(Duration::from_micros(*took));
                    table.finish(server, took, LIMIT, MonoTime(now));
                }
                !over
            });
            let least = |name: &&ServerName| table.load_score(name, MonoTime(now));
            let server = names.iter().min_by_key(least).unwrap();
            if table.admit(server, request(step, 1, ""), LIMIT, MonoTime(now))
                == AdmissionStep::Start
            {
                let took = random.random_range(5_000..35_000);
                ends.push((now + took, server, took));
                *busy.entry(server).or_default() += took;
            }
        }
        let (most, sum) = (busy.values().max().unwrap(), busy.values().sum::<u64>());
        assert!(most * 10 * 100 <= sum * 110, "seed {seed}: {busy:?}");
    }
}

#[test]
fn low_priorities_take_no_place_from_high_ones() {
    let mut table = AdmissionTable::default();
    for ticket in 0..40 {
        table.admit(&server(), request(ticket, 3, "a"), LIMIT, MonoTime(0));
    }
    let step = table.admit(&server(), request(99, 0, "b"), LIMIT, MonoTime(0));
    assert_eq!(step, AdmissionStep::Wait);
    table.finish(&server(), SlotEnd::Failed, LIMIT, MonoTime(0));
    let called = table.dequeue(&server(), LIMIT, MonoTime(0));
    assert_eq!(called, Some(DequeueStep::Start(99)));
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut table = AdmissionTable::default();
    let now = MonoTime(1_000_000);
    let took = SlotEnd::Answered(Duration::from_millis(30));
    table.admit(&server(), request(0, 0, "a"), LIMIT, now);
    table.finish(&server(), took, LIMIT, now);
    for ticket in 1..=3 {
        table.admit(&server(), request(ticket, 0, "a"), LIMIT, now);
    }
    let mut late = request(4, 0, "a");
    late.deadline = now.after(Duration::from_millis(35));
    let step = table.admit(&server(), late, LIMIT, now);
    let AdmissionStep::Refuse {
        reason,
        retry_after,
    } = step
    else {
        panic!("{step:?}");
    };
    assert_eq!(reason, RefusalReason::DeadlineBeforeSend);
    assert!(retry_after >= Duration::from_millis(10));
}

#[test]
fn a_shedding_server_gets_less_until_it_answers_again() {
    let mut limit = ShedLimit::default();
    limit.refused(3, 3, MonoTime(1_000_000));
    limit.refused(3, 3, MonoTime(1_000_001));
    assert_eq!(limit.of(3), 2, "refusals at one moment count once");
    limit.refused(2, 3, MonoTime(2_000_000));
    limit.refused(1, 3, MonoTime(3_000_000));
    assert_eq!(limit.of(3), 1, "one slot stays to find out");
    for _ in 0..20 {
        limit.answered(3);
    }
    assert_eq!(limit.of(3), 3);
}
