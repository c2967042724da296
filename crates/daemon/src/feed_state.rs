//! What an instance knows of the store's objects, and when it last heard.

use crate::{feed_worker::FeedPosition, prelude::*};
use event_listener::Event;

/// Cache of objects with its listeners.
pub(crate) struct FeedState {
    /// Taken before all other tables.
    cache: Mutex<ObjectCache>,
    changed: Event,
    heard: Mutex<ContactTimes>,
    silent: Mutex<IndexMap<String, MonoTime>>,
    revisions: Mutex<IndexMap<String, u64>>,
    /// Place in the tree, as last worked out.
    pub(crate) position: Mutex<Option<FeedPosition>>,
    started: AtomicBool,
    pub(crate) hints: Arc<FeedHints>,
    pub(crate) bytes_in: AtomicU64,
    pub(crate) bytes_out: AtomicU64,
}

/// When the store and a peer were last heard.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ContactTimes {
    pub(crate) store: MonoTime,
    pub(crate) peer: MonoTime,
}

impl ContactTimes {
    /// When either was last heard.
    pub(crate) fn latest(self) -> MonoTime {
        self.store.max(self.peer)
    }
}

impl FeedState {
    /// Time for which a silent peer is passed over.
    const SILENT_SPAN: Duration = Duration::from_secs(5);
    /// Most peers whose revision is remembered.
    const MAX_REVISIONS: usize = 4_096;

    /// An empty state of an instance that starts at `now`.
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            cache: Mutex::default(),
            changed: Event::new(),
            heard: Mutex::new(ContactTimes {
                store: now,
                peer: now,
            }),
            silent: Mutex::default(),
            revisions: Mutex::default(),
            position: Mutex::default(),
            started: AtomicBool::new(false),
            hints: Arc::default(),
            bytes_in: AtomicU64::new(0),
            bytes_out: AtomicU64::new(0),
        }
    }

    /// How far the cache has come.
    pub(crate) fn progress(&self) -> CacheProgress {
        self.cache.lock().unwrap().progress()
    }

    /// Whether the head was confirmed by the store or several peers since the start.
    pub(crate) fn is_started(&self) -> bool {
        self.started.load(Ordering::SeqCst)
    }

    /// Notes that the head is confirmed.
    pub(crate) fn set_started(&self) {
        self.started.store(true, Ordering::SeqCst);
    }

    /// When store and peers were last heard.
    pub(crate) fn contact_times(&self) -> ContactTimes {
        *self.heard.lock().unwrap()
    }

    /// Notes an answer of the store to a call sent at `sent`.
    pub(crate) fn heard_store(&self, sent: MonoTime) {
        let mut heard = self.heard.lock().unwrap();
        heard.store = heard.store.max(sent);
    }

    /// Notes an answer of the peer `name` to a call sent at `sent`.
    pub(crate) fn heard_peer(&self, name: &str, sent: MonoTime) {
        self.silent.lock().unwrap().swap_remove(name);
        let mut heard = self.heard.lock().unwrap();
        heard.peer = heard.peer.max(sent);
    }

    /// Passes the peer `name` over for a while.
    pub(crate) fn silent_peer(&self, name: &str, now: MonoTime) {
        let until = now.after(Self::SILENT_SPAN);
        self.silent.lock().unwrap().insert(name.into(), until);
    }

    /// Peers to pass over now.
    pub(crate) fn silent_peers(&self, now: MonoTime) -> Vec<String> {
        let mut silent = self.silent.lock().unwrap();
        silent.retain(|_, until| *until > now);
        silent.keys().cloned().collect()
    }

    /// Notes the revision in force at a peer.
    pub(crate) fn note_revision(&self, name: &str, revision: u64) {
        let mut revisions = self.revisions.lock().unwrap();
        if revisions.len() < Self::MAX_REVISIONS || revisions.contains_key(name) {
            revisions.insert(name.into(), revision);
        }
    }

    /// Revision in force at a peer, as last heard.
    pub(crate) fn peer_revision(&self, name: &str) -> Option<u64> {
        self.revisions.lock().unwrap().get(name).copied()
    }

    /// Takes in changes; each new one passes to `apply` before a later one can.
    pub(crate) fn take_in(
        &self,
        batch: WatchBatch,
        snapshot: bool,
        mut apply: impl FnMut(WatchEvent),
    ) {
        let mut cache = self.cache.lock().unwrap();
        let before = cache.progress();
        let fresh = match snapshot {
            true => cache.apply_snapshot(batch),
            false => cache.apply_batch(batch),
        };
        fresh.into_iter().for_each(&mut apply);
        let after = cache.progress();
        drop(cache);
        self.hints.set_own(after.newest.0);
        if before.is_behind(&after) {
            self.changed.notify(usize::MAX);
        }
    }

    /// Changes since a pull's mark, once there are some or its wait is over.
    pub(crate) async fn answer(&self, pull: &FeedPull, revision: impl Fn() -> u64) -> FeedBatch {
        let theirs = CacheProgress {
            complete: ObjectVersion(pull.complete),
            newest: ObjectVersion(pull.newest),
        };
        let wait = Duration::from_millis(pull.wait_ms).min(Self::MAX_WAIT);
        let change = async {
            loop {
                let changed = self.changed.listen();
                if theirs.is_behind(&self.progress()) {
                    return;
                }
                changed.await;
            }
        };
        let late = async {
            Timer::after(wait).await;
        };
        future::or(change, late).await;
        let cache = self.cache.lock().unwrap();
        let after = if theirs.is_behind(&cache.progress()) {
            theirs.complete
        } else {
            theirs.complete.max(cache.progress().newest)
        };
        let batch = FeedBatch::since(&cache, after, 0);
        drop(cache);
        FeedBatch {
            revision: revision(),
            ..batch
        }
    }

    /// Longest wait of a pull.
    const MAX_WAIT: Duration = Duration::from_secs(5);
}
