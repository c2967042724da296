//! Waits that are given up.

use super::*;

fn ask(server: &ServerName) -> SlotRequest<'_> {
    SlotRequest {
        server,
        limit: SlotLimit {
            slots: 1,
            max_queued: 8,
            max_wait: Duration::from_secs(60),
        },
        priority: 0,
        caller: "",
        deadline: SteadyClock.now().after(Duration::from_secs(60)),
    }
}

#[test]
fn a_dropped_wait_leaves_the_queue_and_a_called_one_gives_its_slot_back() {
    future::block_on(async {
        let broker = Arc::new(SlotBroker::default());
        let server = ServerName::new("reports-0");
        let held = broker.acquire(ask(&server)).await.ok().unwrap();
        let mut queued = Box::pin(broker.acquire(ask(&server)));
        let mut called = Box::pin(broker.acquire(ask(&server)));
        assert!(future::poll_once(&mut queued).await.is_none());
        assert!(future::poll_once(&mut called).await.is_none());
        drop(queued);
        assert_eq!(broker.table.lock().unwrap().waiting(&server), 1);
        drop(held);
        assert_eq!(broker.running(&server), 1, "the waiting request was called");
        drop(called);
        assert_eq!(broker.running(&server), 0);
        assert!(broker.waiting.lock().unwrap().is_empty());
        assert!(broker.acquire(ask(&server)).await.is_ok());
    });
}

#[test]
fn a_request_without_a_slot_before_its_deadline_did_not_run() {
    future::block_on(async {
        let broker = Arc::new(SlotBroker::default());
        let server = ServerName::new("reports-0");
        let _held = broker.acquire(ask(&server)).await.ok().unwrap();
        let mut late = ask(&server);
        late.deadline = SteadyClock.now().after(Duration::from_millis(5));
        let notice = broker.acquire(late).await.err().unwrap();
        assert_eq!(notice.outcome, RunOutcome::NotRun);
        assert!(notice.retry_after.is_some());
        assert_eq!(broker.table.lock().unwrap().waiting(&server), 0);
    });
}
