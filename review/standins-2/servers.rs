//! Servers with keys, and the checks of the rule OWNER on what they see.

use crate::{
    http,
    json::{Json, table, text},
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    io::{BufReader, ErrorKind, Read},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const KEYS: usize = 1 << 16;
/// Interval at which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time for which two servers may hold the same keys, by the rule OWNER.
const MAX_SHARED: Duration = Duration::from_millis(500);

pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Keys of one life of a server.
struct Keys {
    max_fence: Vec<u64>,
    /// End of the hold.
    until: Vec<Instant>,
    /// End of the last accepted grant; a release does not change it.
    granted_until: Vec<Instant>,
    running: Vec<u32>,
    /// When a request on the key last began.
    began: Vec<Option<Instant>>,
}

/// A key that two servers hold.
#[derive(Clone, Copy)]
struct Shared {
    since: Instant,
    is_reported: bool,
}

/// What all servers with keys see together.
pub struct Ledger {
    start: Instant,
    pub record: Arc<Record>,
    lives: Mutex<HashMap<usize, Keys>>,
    /// Highest fence with which any life has had a key, and that life.
    had: Mutex<Vec<(u64, usize)>>,
    /// Since when a key has been held by two servers.
    shared_since: Mutex<Vec<Option<Shared>>>,
    next_life: AtomicUsize,
}

impl Ledger {
    pub fn start(record: Arc<Record>) -> Arc<Self> {
        let ledger = Arc::new(Self {
            start: Instant::now(),
            record,
            lives: Mutex::default(),
            had: Mutex::new(vec![(0, usize::MAX); KEYS]),
            shared_since: Mutex::new(vec![None; KEYS]),
            next_life: AtomicUsize::new(0),
        });
        let shared = ledger.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(25));
                shared.find_shared_keys();
            }
        });
        ledger
    }

    fn new_life(&self) -> usize {
        let life = self.next_life.fetch_add(1, Ordering::SeqCst);
        let keys = Keys {
            max_fence: vec![0; KEYS],
            until: vec![self.start; KEYS],
            granted_until: vec![self.start; KEYS],
            running: vec![0; KEYS],
            began: vec![None; KEYS],
        };
        self.lives.lock().unwrap().insert(life, keys);
        life
    }

    /// Finds keys that two servers that are up hold for more than half a second.
    fn find_shared_keys(&self) {
        let now = Instant::now();
        let lives = self.lives.lock().unwrap();
        let mut since = self.shared_since.lock().unwrap();
        let mut broken: Vec<(usize, Vec<usize>, bool)> = Vec::new();
        for key in 0..KEYS {
            let mut holders = lives.iter().filter(|(_, keys)| keys.until[key] > now);
            let (Some(first), Some(second)) = (holders.next(), holders.next()) else {
                since[key] = None;
                continue;
            };
            let shared = since[key].get_or_insert(Shared {
                since: now,
                is_reported: false,
            });
            let from = shared.since;
            let both = [first, second];
            let began = |(_, keys): &(&usize, &Keys)| keys.began[key].is_some_and(|at| at > from);
            let both_began = both.iter().all(began);
            if !shared.is_reported && (now - from > MAX_SHARED || both_began) {
                shared.is_reported = true;
                broken.push((
                    key,
                    both.iter().map(|(life, _)| **life).collect(),
                    both_began,
                ));
            }
        }
        drop(lives);
        if let Some((key, holders, both_began)) = broken.first() {
            let what = match both_began {
                true => {
                    "two servers that are up hold the same keys, and both began requests on them"
                }
                false => "two servers that are up hold the same keys for over half a second",
            };
            let count = broken.len();
            let line = format!("OWNER {what}: {count} keys, the first {key}, lives {holders:?}");
            self.record.violation("shared", &line);
        }
    }

    fn grant(&self, life: usize, order: &Json) -> Option<u16> {
        let now = Instant::now();
        let (first, last) = (order.int("from")? as usize, order.int("to")? as usize);
        let fence = order.int("fence")? as u64;
        let hold = Duration::from_secs_f64(order.number("hold_s")?);
        let mut lives = self.lives.lock().unwrap();
        let own = lives.get(&life)?;
        if (first..=last).any(|key| own.max_fence[key] > fence) {
            return Some(409);
        }
        let is_new = |key: usize| own.until[key] <= now;
        let mut at_work: Vec<(usize, usize, Duration)> = Vec::new();
        for key in (first..=last).filter(|key| is_new(*key)) {
            for (other, keys) in lives.iter().filter(|(other, _)| **other != life) {
                if keys.running[key] > 0 && keys.granted_until[key] > now {
                    at_work.push((key, *other, keys.granted_until[key] - now));
                }
            }
        }
        let mut had = self.had.lock().unwrap();
        let mut low: Vec<(usize, u64, usize)> = Vec::new();
        for key in first..=last {
            let (known, holder) = had[key];
            if holder != life && holder != usize::MAX && known >= fence {
                low.push((key, known, holder));
            }
            if fence >= known {
                had[key] = (fence, life);
            }
        }
        drop(had);
        let own = lives.get_mut(&life)?;
        for key in first..=last {
            own.max_fence[key] = fence;
            own.until[key] = now + hold;
            own.granted_until[key] = now + hold;
        }
        drop(lives);
        if let Some((key, other, left)) = at_work.first() {
            let count = at_work.len();
            let line = format!(
                "OWNER life {life} is granted {first}-{last} under {fence} while life {other} is at work \
                 on {count} of these keys, the first {key}, and its hold lasts {} ms more",
                left.as_millis()
            );
            self.record.violation("at-work", &line);
        }
        if let Some((key, known, other)) = low.first() {
            let line = format!(
                "OWNER life {life} takes key {key} under {fence}; life {other} had it under {known}"
            );
            self.record.violation("fence", &line);
        }
        self.record.line(&format!(
            "life {life} is granted {first}-{last} under {fence}"
        ));
        Some(200)
    }
}

/// A server: an address, an identifier and its present life.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born: AtomicU64,
    pub work: Duration,
    keyed: bool,
    store: Arc<Store>,
    ledger: Arc<Ledger>,
    life: AtomicUsize,
    /// Connections of the present life.
    streams: Mutex<Vec<TcpStream>>,
    /// Whether no life runs now, and whether the present one writes no entry yet.
    is_down: AtomicBool,
    is_unlisted: AtomicBool,
    running: AtomicUsize,
    runs: AtomicUsize,
}

impl Server {
    const SLOTS: usize = 3;

    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        keyed: bool,
        work: Duration,
        store: &Arc<Store>,
        ledger: &Arc<Ledger>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("server");
        let server = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().unwrap(),
            born: AtomicU64::new(now_ms()),
            work,
            keyed,
            store: store.clone(),
            ledger: ledger.clone(),
            life: AtomicUsize::new(ledger.new_life()),
            streams: Mutex::default(),
            is_down: AtomicBool::new(false),
            is_unlisted: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            runs: AtomicUsize::new(0),
        });
        let life = server.life.load(Ordering::SeqCst);
        let line = format!(
            "server {id} of {service} at {}: life {life}",
            server.address
        );
        ledger.record.line(&line);
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                let _ = stream.set_nodelay(true);
                thread::spawn(move || server.serve(stream));
            }
        });
        let beating = server.clone();
        thread::spawn(move || {
            for sequence in 1.. {
                if !beating.is_unlisted.load(Ordering::SeqCst) {
                    let (spec, status) = beating.entry(sequence);
                    beating.store.put("servers", &beating.id, spec, status);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    /// Ranges of neighbouring keys that the server holds now under one fence.
    pub fn held_ranges(&self) -> Vec<(u16, u16)> {
        let life = self.life.load(Ordering::SeqCst);
        let now = Instant::now();
        let lives = self.ledger.lives.lock().unwrap();
        let keys = &lives[&life];
        let mut ranges: Vec<(u16, u16)> = Vec::new();
        for key in (0..KEYS).filter(|key| keys.until[*key] > now) {
            match ranges.last_mut() {
                Some((_, last))
                    if usize::from(*last) + 1 == key
                        && keys.max_fence[key - 1] == keys.max_fence[key] =>
                {
                    *last = key as u16;
                }
                _ => ranges.push((key as u16, key as u16)),
            }
        }
        ranges
    }

    fn entry(&self, sequence: i128) -> (Json, Json) {
        let info = table([
            ("service", text(&self.service)),
            ("version", text("v1")),
            ("zone", text(&self.zone)),
            ("capacity", Json::Int(Self::SLOTS as i128)),
        ]);
        let status = table([
            ("state", text("ready")),
            ("sequence", Json::Int(sequence)),
            ("warmup_left_s", Json::Int(0)),
        ]);
        let spec = table([
            ("address", text(&self.address.to_string())),
            ("born", Json::Int(self.born.load(Ordering::SeqCst).into())),
            ("info", info),
        ]);
        (spec, status)
    }

    fn serve(&self, stream: TcpStream) {
        if self.is_down.load(Ordering::SeqCst) {
            return;
        }
        let life = self.life.load(Ordering::SeqCst);
        if let Ok(copy) = stream.try_clone() {
            self.streams.lock().unwrap().push(copy);
        }
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if !request.is_whole || self.handle(life, &request, &mut writer).is_err() {
                return;
            }
        }
        let _ = reader.read(&mut [0; 1]);
    }

    fn handle(
        &self,
        life: usize,
        request: &http::Message,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let expected = request.header("X-Geraniummast-Expected-Instance");
        let attempt = request
            .header("X-Geraniummast-Request-Attempt-Id")
            .unwrap_or("");
        let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), Self::SLOTS);
        let path = request.word(1);
        if expected.is_some_and(|expected| expected != self.id) {
            self.ledger.record.line(&format!(
                "server {} answers 421 to {path}, which names {}",
                self.id,
                expected.unwrap_or("")
            ));
            let headers = [
                ("X-Geraniummast-Request-Attempt-Id", attempt),
                ("X-Geraniummast-Instance-Id", &self.id),
                ("X-Geraniummast-Not-Executed", "1"),
            ];
            return http::answer(writer, 421, &headers, b"");
        }
        let body = || Json::parse(std::str::from_utf8(&request.body).ok()?);
        match path {
            "/health" => {
                let headers = [
                    ("X-Geraniummast-Instance-Id", self.id.as_str()),
                    ("X-Geraniummast-Server-Load", &load),
                ];
                http::answer(writer, 200, &headers, b"")
            }
            "/grant" => {
                let status = body()
                    .and_then(|order| self.ledger.grant(life, &order))
                    .unwrap_or(400);
                http::answer(writer, status, &[], b"")
            }
            "/release" => {
                let Some((first, last, fence)) = body().and_then(|order| {
                    Some((
                        order.int("from")? as usize,
                        order.int("to")? as usize,
                        order.int("fence")? as u64,
                    ))
                }) else {
                    return http::answer(writer, 400, &[], b"");
                };
                if !self.release(life, first, last, fence) {
                    return Err(ErrorKind::ConnectionReset.into());
                }
                let handover = format!("{}-{}", self.id, self.runs.fetch_add(1, Ordering::SeqCst));
                http::answer(writer, 200, &[("X-Geraniummast-Handover", &handover)], b"")
            }
            _ => self.run(life, request, writer, attempt),
        }
    }

    /// Releases keys and waits for the work on them; false if the life ends meanwhile.
    fn release(&self, life: usize, first: usize, last: usize, fence: u64) -> bool {
        let now = Instant::now();
        if let Some(keys) = self.ledger.lives.lock().unwrap().get_mut(&life) {
            for key in first..=last {
                keys.max_fence[key] = keys.max_fence[key].max(fence);
                keys.until[key] = keys.until[key].min(now);
            }
        }
        loop {
            let lives = self.ledger.lives.lock().unwrap();
            let Some(keys) = lives.get(&life) else {
                return false;
            };
            if (first..=last).all(|key| keys.running[key] == 0) {
                return true;
            }
            drop(lives);
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Ends the present life and starts the next one after `pause`, which writes its entry `unlisted`
    /// after its start.
    pub fn restart(&self, pause: Duration, unlisted: Duration) {
        self.is_down.store(true, Ordering::SeqCst);
        self.is_unlisted.store(true, Ordering::SeqCst);
        let ended = self.life.load(Ordering::SeqCst);
        self.ledger.lives.lock().unwrap().remove(&ended);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        thread::sleep(pause);
        let life = self.ledger.new_life();
        self.life.store(life, Ordering::SeqCst);
        self.born.store(now_ms(), Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
        let line = format!(
            "server {} has crashed (life {ended}) and started again: life {life}",
            self.id
        );
        self.ledger.record.line(&line);
        thread::sleep(unlisted);
        self.is_unlisted.store(false, Ordering::SeqCst);
        let (spec, status) = self.entry(0);
        self.store.put("servers", &self.id, spec, status);
        self.ledger
            .record
            .line(&format!("server {} has written its entry", self.id));
    }

    fn run(
        &self,
        life: usize,
        request: &http::Message,
        writer: &mut TcpStream,
        attempt: &str,
    ) -> std::io::Result<()> {
        let key = request
            .header("X-Geraniummast-Shard-Key")
            .and_then(|text| text.parse::<usize>().ok());
        let key = key.filter(|_| self.keyed);
        let refuse = |writer: &mut TcpStream, status| {
            let headers = [
                ("X-Geraniummast-Request-Attempt-Id", attempt),
                ("X-Geraniummast-Not-Executed", "1"),
                ("X-Geraniummast-Instance-Id", &self.id),
            ];
            http::answer(writer, status, &headers, b"")
        };
        if self.running.fetch_add(1, Ordering::SeqCst) >= Self::SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return refuse(writer, 503);
        }
        if let Some(key) = key {
            let now = Instant::now();
            let mut lives = self.ledger.lives.lock().unwrap();
            let Some(keys) = lives.get_mut(&life) else {
                return Err(ErrorKind::ConnectionReset.into());
            };
            if keys.until[key] <= now {
                drop(lives);
                self.running.fetch_sub(1, Ordering::SeqCst);
                return refuse(writer, 421);
            }
            keys.running[key] += 1;
            keys.began[key] = Some(now);
        }
        self.ledger.record.run(attempt, &self.id, request);
        thread::sleep(self.work);
        if let Some(key) = key {
            let mut lives = self.ledger.lives.lock().unwrap();
            if let Some(keys) = lives.get_mut(&life) {
                keys.running[key] -= 1;
            }
        }
        let load = format!(
            "{},0,{}",
            self.running.fetch_sub(1, Ordering::SeqCst),
            Self::SLOTS
        );
        let signature = format!("{}.{}", self.id, self.runs.fetch_add(1, Ordering::SeqCst));
        let headers = [
            ("X-Geraniummast-Request-Attempt-Id", attempt),
            ("X-Geraniummast-Server-Signature", &signature),
            ("X-Geraniummast-Server-Load", &load),
            ("Keep-Alive", "timeout=10"),
        ];
        let body = format!("{attempt} at {}", self.id);
        http::answer(writer, 200, &headers, body.as_bytes())
    }
}
