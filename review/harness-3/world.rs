//! Stand-ins of the platform's store and of servers, and the processes of gateway instances.

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Head and body of an HTTP message.
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        )
    }

    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or_default()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut first_line = String::new();
    reader
        .read_line(&mut first_line)
        .ok()
        .filter(|length| *length > 0)?;
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|length| *length > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    Some(Message {
        first_line: first_line.trim_end().to_string(),
        headers,
        body: Vec::new(),
    })
}

/// Reads a complete message with a length or in chunks.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let mut line = String::new();
            reader
                .read_line(&mut line)
                .ok()
                .filter(|length| *length > 0)?;
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

/// Members of a JSON object by name, each with the text of its value.
pub fn members(text: &str) -> BTreeMap<String, String> {
    let bytes = text.trim().as_bytes();
    let mut found = BTreeMap::new();
    let (mut depth, mut quoted, mut escaped, mut start) = (0, false, false, 1);
    for (position, byte) in bytes.iter().enumerate() {
        if quoted {
            match (escaped, byte) {
                (true, _) => escaped = false,
                (false, b'\\') => escaped = true,
                (false, b'"') => quoted = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => quoted = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            _ => {}
        }
        let is_end = depth == 1 && *byte == b',' || depth == 0 && position > 0;
        if is_end {
            let part = String::from_utf8_lossy(&bytes[start..position]).to_string();
            if let Some((name, value)) = part.split_once(':') {
                let name = name.trim().trim_matches('"').to_string();
                found.insert(name, value.trim().to_string());
            }
            start = position + 1;
        }
        if depth == 0 {
            break;
        }
    }
    found
}

struct StoredObject {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl StoredObject {
    fn text(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"create_rev\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            self.revision, self.created, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    events: Vec<(u64, String, String)>,
}

/// The platform's store: linearizable, loses nothing, answers at once.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 100;
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str, status: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_string(), name.to_string());
        let created = state
            .objects
            .get(&key)
            .map_or(revision, |known| known.created);
        let object = StoredObject {
            revision,
            created,
            spec: spec.into(),
            status: status.into(),
        };
        let event = format!("{{\"removed\":false,\"object\":{}}}", object.text(name));
        state.events.push((revision, kind.into(), event));
        state.objects.insert(key, object);
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_string())
        };
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_string();
        let name = parts.next().map(String::from);
        let body = String::from_utf8_lossy(&request.body).to_string();
        match (method, name) {
            ("GET", None) => match parameter("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = parameter("wait_ms").and_then(|text| text.parse().ok());
                    self.watch(&kind, after, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(&kind),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some(object) => (200, object.text(&name)),
                    None => (404, "{}".into()),
                }
            }
            ("POST", _) => {
                let fields = members(&body);
                let metadata = members(fields.get("metadata").map_or("", String::as_str));
                let name = metadata
                    .get("name")
                    .map_or("", String::as_str)
                    .trim_matches('"');
                self.write(&kind, name, None, fields.get("spec"))
            }
            ("PUT", Some(name)) => {
                let fields = members(&body);
                let metadata = members(fields.get("metadata").map_or("", String::as_str));
                let revision = metadata.get("revision").and_then(|text| text.parse().ok());
                self.write(
                    &kind,
                    &name,
                    Some(revision.unwrap_or(0)),
                    fields.get("spec"),
                )
            }
            _ => (400, "{}".into()),
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        spec: Option<&String>,
    ) -> (u16, String) {
        let key = (kind.to_string(), name.to_string());
        {
            let state = self.state.lock().unwrap();
            match (revision, state.objects.get(&key)) {
                (None, Some(known)) => return (409, known.text(name)),
                (Some(_), None) => return (404, "{}".into()),
                (Some(revision), Some(known)) if revision != 0 && revision != known.revision => {
                    return (409, known.text(name));
                }
                _ => {}
            }
        }
        self.put(kind, name, spec.map_or("null", String::as_str), "null");
        let state = self.state.lock().unwrap();
        (200, state.objects[&key].text(name))
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let listed = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = listed
            .map(|((_, name), object)| object.text(name))
            .collect();
        let revision = state.revision;
        let body = format!(
            "{{\"items\":[{}],\"more\":false,\"as_of\":{revision}}}",
            items.join(",")
        );
        (200, body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, of, _)| *revision > after && of == kind)
                .map(|(_, _, event)| event.clone())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let body = format!("{{\"events\":[{}],\"as_of\":{revision}}}", events.join(","));
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// What the stand-ins and clients have seen, with times in milliseconds from the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: PathBuf) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).unwrap()),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>6} ms  {text}");
    }
}

/// A request that reached a server.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub at_ms: u64,
}

/// A server: runs each request for the time in its query (`work`, in milliseconds) and answers with a
/// body of `size` bytes; one of a service with keys only if it holds the request's key.
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub keys: Arc<Keys>,
}

/// Keys that a server holds, and the orders about them.
#[derive(Default)]
pub struct Keys {
    pub is_keyed: bool,
    held: Mutex<Vec<Grant>>,
    /// Highest fences seen, each with its first and last key.
    seen: Mutex<Vec<(u64, u64, u64)>>,
    handovers: AtomicU32,
    /// Whether two of seven orders get no answer and are carried out late.
    pub is_late: AtomicBool,
    late_orders: AtomicU32,
}

struct Grant {
    first: u64,
    last: u64,
    fence: u64,
    until: Instant,
}

/// What a server does with an order.
enum OrderAnswer {
    Status(u16, String),
    None,
}

impl Keys {
    /// Time after which an order without an answer is carried out.
    const LATE_BY: Duration = Duration::from_secs(3);

    /// Whether a key is held now.
    fn holds(&self, key: u64) -> bool {
        let now = Instant::now();
        let held = self.held.lock().unwrap();
        held.iter()
            .any(|grant| grant.first <= key && key <= grant.last && now < grant.until)
    }

    /// Takes an order. Of the grants that come while `is_late` is set, five are answered, then two not,
    /// and so on.
    fn take(self: &Arc<Self>, path: &str, body: &str) -> OrderAnswer {
        let fields = members(body);
        let number = |name: &str| fields.get(name).and_then(|text| text.parse::<f64>().ok());
        let (Some(first), Some(last), Some(fence)) =
            (number("from"), number("to"), number("fence"))
        else {
            return OrderAnswer::Status(400, String::new());
        };
        let (first, last, fence) = (first as u64, last as u64, fence as u64);
        if path == "/release" {
            let mut held = self.held.lock().unwrap();
            let mut rest = Vec::new();
            for grant in held.drain(..) {
                if grant.last < first || last < grant.first {
                    rest.push(grant);
                    continue;
                }
                if grant.first < first {
                    rest.push(Grant {
                        last: first - 1,
                        ..grant
                    });
                }
                if last < grant.last {
                    rest.push(Grant {
                        first: last + 1,
                        ..grant
                    });
                }
            }
            *held = rest;
            self.seen.lock().unwrap().push((first, last, fence));
            let count = self.handovers.fetch_add(1, Ordering::SeqCst);
            return OrderAnswer::Status(200, format!("X-Geraniummast-Handover: {count:016x}\r\n"));
        }
        let until = Instant::now() + Duration::from_secs_f64(number("hold_s").unwrap_or(0.0));
        let is_late = self.is_late.load(Ordering::SeqCst)
            && self.late_orders.fetch_add(1, Ordering::SeqCst) % 7 >= 5;
        if is_late {
            let keys = self.clone();
            thread::spawn(move || {
                thread::sleep(Self::LATE_BY);
                keys.grant(first, last, fence, until);
            });
            return OrderAnswer::None;
        }
        match self.grant(first, last, fence, until) {
            true => OrderAnswer::Status(200, String::new()),
            false => OrderAnswer::Status(409, String::new()),
        }
    }

    /// Takes keys; false if a higher fence was seen on one of them.
    fn grant(&self, first: u64, last: u64, fence: u64, until: Instant) -> bool {
        let mut seen = self.seen.lock().unwrap();
        let overlaps = |from: u64, to: u64| from <= last && first <= to;
        if seen
            .iter()
            .any(|(from, to, known)| overlaps(*from, *to) && *known > fence)
        {
            return false;
        }
        seen.push((first, last, fence));
        let mut held = self.held.lock().unwrap();
        held.retain(|grant| !(first <= grant.first && grant.last <= last && grant.fence <= fence));
        held.push(Grant {
            first,
            last,
            fence,
            until,
        });
        true
    }
}

impl Server {
    pub fn start(id: &str, service: &'static str, record: Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Arc::new(Mutex::new(Vec::new()));
        let keys = Arc::new(Keys {
            is_keyed: service == "keyed",
            ..Keys::default()
        });
        let (shared, id_text, shared_keys) = (runs.clone(), id.to_string(), keys.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runs, id, record) = (shared.clone(), id_text.clone(), record.clone());
                let keys = shared_keys.clone();
                thread::spawn(move || serve_requests(stream, &id, &runs, &keys, &record));
            }
        });
        Self {
            id: id.into(),
            service,
            address,
            runs,
            keys,
        }
    }

    /// Writes the server's entry in the store, as its heartbeats do.
    pub fn register(&self, store: &Store, sequence: u64) {
        let service = self.service;
        let spec = format!(
            "{{\"address\":\"{}\",\"born\":1700000000000,\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"z1\",\"capacity\":64}}}}",
            self.address
        );
        let status = format!("{{\"state\":\"ready\",\"sequence\":{sequence},\"warmup_left_s\":0}}");
        store.put("servers", &self.id, &spec, &status);
    }
}

fn serve_requests(
    mut stream: TcpStream,
    own_id: &str,
    runs: &Mutex<Vec<Run>>,
    keys: &Arc<Keys>,
    record: &Record,
) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_message(&mut reader) {
        let (method, target) = request.target();
        let id = request
            .header("x-geraniummast-request-attempt-id")
            .to_string();
        if target.starts_with("/health") {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Geraniummast-Instance-Id: {own_id}\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if request.header("x-geraniummast-expected-instance") != own_id {
            let answer = format!(
                "HTTP/1.1 421 X\r\nX-Geraniummast-Request-Attempt-Id: {id}\r\nX-Geraniummast-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if keys.is_keyed && (target == "/grant" || target == "/release") {
            let body = String::from_utf8_lossy(&request.body);
            match keys.take(target, &body) {
                OrderAnswer::Status(status, headers) => {
                    record.line(&format!(
                        "server {own_id} answers {status} to {target} {body}"
                    ));
                    let answer =
                        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: 0\r\n\r\n");
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                    continue;
                }
                OrderAnswer::None => {
                    record.line(&format!(
                        "server {own_id} leaves unanswered {target} {body}"
                    ));
                    while read_message(&mut reader).is_some() {}
                    return;
                }
            }
        }
        let key = request
            .header("x-geraniummast-shard-key")
            .parse()
            .unwrap_or(u64::MAX);
        if keys.is_keyed && !keys.holds(key) {
            let answer = format!(
                "HTTP/1.1 421 X\r\nX-Geraniummast-Request-Attempt-Id: {id}\r\nX-Geraniummast-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let number = |name: &str| {
            let query = target.split_once('?').map_or("", |(_, query)| query);
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
            value
                .and_then(|value| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let at_ms = record.now_ms();
        runs.lock().unwrap().push(Run {
            id: id.clone(),
            at_ms,
        });
        record.line(&format!("server {own_id} begins {id} ({method})"));
        thread::sleep(Duration::from_millis(number("work")));
        let size = number("size") as usize;
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Geraniummast-Request-Attempt-Id: {id}\r\nX-Geraniummast-Server-Signature: s.{id}\r\nContent-Length: {size}\r\n\r\n"
        );
        let body = vec![b'x'; size];
        let sent = stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(&body));
        record.line(&format!("server {own_id} has run {id}"));
        if sent.is_err() {
            return;
        }
    }
}

/// Process of a gateway instance.
pub struct Gateway {
    pub caller: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

/// Addresses of one instance on loopback.
#[derive(Clone, Copy)]
pub struct Ports {
    caller: u16,
    readiness: u16,
    operator: u16,
    peer: u16,
    pub feed: u16,
    relay: u16,
}

/// First and last port that instances get: below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 12_000..30_000;
/// Next port to try, counted from one that differs between processes.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

fn free_port() -> u16 {
    let count = u32::from(PORTS.end - PORTS.start);
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let offset = (std::process::id().wrapping_mul(61) + number) % count;
        let port = PORTS.start + offset as u16;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            return port;
        }
    }
}

impl Ports {
    /// Ports that are free now.
    pub fn free() -> Self {
        Self {
            caller: free_port(),
            readiness: free_port(),
            operator: free_port(),
            peer: free_port(),
            feed: free_port(),
            relay: free_port(),
        }
    }
}

impl Gateway {
    /// Starts an instance with the command of `deploy/system.toml` and the settings of a small site.
    pub fn start(number: usize, ports: Ports, seeds: &str, store: SocketAddr, logs: &str) -> Self {
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let log = File::create(format!("{logs}/gateway-{number}.log")).unwrap();
        let arguments = [
            ("--name", format!("front-z1-{number}")),
            ("--data-centre", "z1".into()),
            ("--caller-address", at(ports.caller).to_string()),
            ("--readiness-address", at(ports.readiness).to_string()),
            ("--operator-address", at(ports.operator).to_string()),
            ("--peer-address", at(ports.peer).to_string()),
            ("--feed-address", at(ports.feed).to_string()),
            ("--relay-address", at(ports.relay).to_string()),
            ("--store-address", store.to_string()),
            ("--stop-timeout-s", "6".into()),
            ("--drain-s", "2".into()),
            ("--max-hold-s", "10".into()),
            ("--retry-ratio", "0.2".into()),
            ("--retry-slack", "56".into()),
            ("--retry-window-s", "10".into()),
            ("--processor-share", "0.2".into()),
            ("--max-descriptors", "4100".into()),
            ("--memory-mb", "260".into()),
        ];
        let mut command = Command::new("target/release/geraniummastd");
        command.arg("gateway");
        for (name, value) in arguments {
            command.arg(name).arg(value);
        }
        command
            .arg(format!("--seed-addresses={seeds}"))
            .arg("--evacuate-s=")
            .arg("--warmup-overage=")
            .arg("--warmup-slack=")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        Self {
            caller: at(ports.caller),
            readiness: at(ports.readiness),
            child: command
                .spawn()
                .expect("gateway does not start; build it first"),
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ =
            stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: lb\r\nConnection: close\r\n\r\n");
        let head = read_head(&mut BufReader::new(stream));
        head.is_some_and(|head| head.status() == 200)
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id)
            .status();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A store, servers, and ready gateway instances.
pub struct World {
    logs: String,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub servers: Arc<Vec<Server>>,
    pub gateways: Vec<Gateway>,
}

impl Drop for World {
    fn drop(&mut self) {
        // Ends the instances before their logs are removed.
        self.gateways.clear();
        let _ = std::fs::remove_dir_all(&self.logs);
    }
}

pub const HOST: &str = "files.example";

impl World {
    /// Starts everything; `None` if the instances do not become ready in time.
    pub fn start(folder: &str, servers: &[&'static str], gateways: usize) -> Option<Self> {
        let record = Record::create(PathBuf::from(folder).join("record.txt"));
        let logs = std::env::temp_dir().join(format!("geraniummast-review-{}", std::process::id()));
        std::fs::create_dir_all(&logs).ok()?;
        let logs = logs.to_string_lossy().to_string();
        let (store, store_address) = Store::start();
        let servers: Vec<Server> = servers
            .iter()
            .enumerate()
            .map(|(number, service)| Server::start(&format!("i-{number}"), service, record.clone()))
            .collect();
        let servers = Arc::new(servers);
        store.put("config", "main", &configuration(7, ""), "null");
        let (beating, beaten) = (store.clone(), servers.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                for server in beaten.iter() {
                    server.register(&beating, sequence);
                }
                thread::sleep(Duration::from_millis(870));
            }
        });
        let ports: Vec<Ports> = (0..gateways).map(|_| Ports::free()).collect();
        let seeds: Vec<String> = ports
            .iter()
            .take(3)
            .map(|ports| format!("127.0.0.1:{}", ports.feed))
            .collect();
        let seeds = seeds.join(",");
        let gateways: Vec<Gateway> = ports
            .iter()
            .enumerate()
            .map(|(number, ports)| Gateway::start(number + 1, *ports, &seeds, store_address, &logs))
            .collect();
        let until = Instant::now() + Duration::from_secs(15);
        while !gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > until {
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(3));
        record.line("instances are ready");
        Some(Self {
            logs,
            store,
            record,
            servers,
            gateways,
        })
    }

    /// All requests that reached servers.
    pub fn runs(&self) -> Vec<Run> {
        let runs = self
            .servers
            .iter()
            .map(|server| server.runs.lock().unwrap().clone());
        runs.flatten().collect()
    }
}

/// Configuration of a version, with further routes.
pub fn configuration(version: u64, further_routes: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","path_prefix":"{prefix}","type":"{kind}","timeout_s":4,"target_latency_s":1,"priority":1,"service":"{service}","max_attempts":2}}"#
        )
    };
    let mut routes = vec![
        route("r-safe", "/safe/", "safe", "files"),
        route("r-unsafe", "/unsafe/", "unsafe", "files"),
        route("r-keyed", "/keyed/", "safe", "keyed"),
    ];
    let further = further_routes.split_whitespace();
    routes.extend(further.map(|prefix| route("r-further", prefix, "safe", "keyed")));
    let service = |name: &str, keyed: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_connections":110,"protocol":"h1","tls":false{keyed}}}"#
        )
    };
    let services = [
        service("files", ""),
        service("keyed", r#","sharded":true,"warm_s":2.0,"grants":"call""#),
    ];
    format!(
        r#"{{"version":{version},"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"hosts":[{{"host":"{HOST}","paths":[{}]}}]}}"#,
        services.join(","),
        routes.join(",")
    )
}
