//! Decisions of one request, over the number of servers, waiting requests and remembered ids.

use {
    divan::{Bencher, black_box},
    geraniummast_model::{MonoTime, ServerName},
    geraniummast_requests::*,
    std::time::Duration,
    uuid::Uuid,
};

const LIMIT: SlotLimit = SlotLimit {
    slots: 3,
    max_queued: 1_024,
    max_wait: Duration::from_secs(1),
};
const MADE_AT_MS: u64 = 1_700_000_000_000;

fn main() {
    divan::main();
}

fn request(ticket: u64) -> WaitingRequest {
    WaitingRequest {
        ticket,
        priority: 1,
        caller: (ticket % 16).to_string(),
        deadline: MonoTime(u64::MAX),
    }
}

/// Admission to a free slot and its return, with this many servers known.
#[divan::bench(args = [1, 10, 100, 1_000])]
fn start_and_finish(bencher: Bencher, servers: u64) {
    let mut table = AdmissionTable::default();
    let names: Vec<_> = (0..servers)
        .map(|index| ServerName::new(&format!("server-{index}")))
        .collect();
    for name in &names {
        table.admit(name, request(0), LIMIT, MonoTime(0));
    }
    let asked = request(1);
    bencher.bench_local(|| {
        let name = &names[names.len() / 2];
        black_box(table.admit(name, asked.clone(), LIMIT, MonoTime(1)));
        table.finish(name, SlotEnd::Failed, LIMIT, MonoTime(2));
        black_box(table.dequeue(name, LIMIT, MonoTime(2)));
    });
}

/// Return of a slot that goes to one of this many waiting requests, which then waits again.
#[divan::bench(args = [1, 10, 100, 1_000])]
fn wait_and_call(bencher: Bencher, waiting: u64) {
    let mut table = AdmissionTable::default();
    let server = ServerName::new("server");
    for ticket in 0..waiting + u64::from(LIMIT.slots) {
        table.admit(&server, request(ticket), LIMIT, MonoTime(0));
    }
    let mut ticket = waiting + u64::from(LIMIT.slots);
    bencher.bench_local(|| {
        ticket += 1;
        table.finish(&server, SlotEnd::Failed, LIMIT, MonoTime(2));
        black_box(table.dequeue(&server, LIMIT, MonoTime(2)));
        table.admit(&server, request(ticket), LIMIT, MonoTime(1));
    });
}

/// First sight and end of an id, with this many remembered.
#[divan::bench(args = [10, 1_000, 60_000])]
fn remember_id(bencher: Bencher, remembered: u64) {
    let mut memory = DedupTable::<u64>::new(DedupLimits::default());
    let mut begin = |tail: u64| {
        let id = Uuid::from_u128(
            u128::from(MADE_AT_MS) << 80 | 0x7 << 76 | 0x8000_0000_0000_0000 | u128::from(tail),
        );
        let query = DedupQuery {
            id,
            digest: 1,
            is_first_attempt: false,
        };
        if let DedupStep::Run { attempt } = memory.begin(query, MADE_AT_MS) {
            memory.finish(id, attempt, RunStage::Ran(None));
        }
    };
    (0..remembered).for_each(&mut begin);
    let mut tail = remembered;
    bencher.bench_local(|| {
        tail += 1;
        begin(tail);
    });
}
