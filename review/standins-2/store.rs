//! The platform's store: objects by kind and name, conditional writes, watches.

use crate::{
    http,
    json::{Json, table, text},
};
use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    create_rev: u64,
    spec: Json,
    status: Json,
}

impl Object {
    fn to_text(&self) -> String {
        let metadata = table([
            ("name", text(&self.name)),
            ("revision", Json::Int(self.revision.into())),
            ("create_rev", Json::Int(self.create_rev.into())),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ])
        .to_text();
        let (spec, status) = (self.spec.to_text(), self.status.to_text());
        format!("{{\"metadata\":{metadata},\"spec\":{spec},\"status\":{status}}}")
    }
}

struct Event {
    kind: String,
    object: Object,
    is_removed: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(host: &str) -> Arc<Self> {
        let listener = TcpListener::bind((host, 0)).expect("store");
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object of the platform's own kinds.
    pub fn put(&self, kind: &str, name: &str, spec: Json, status: Json) {
        self.change(kind, name, Some((spec, status)));
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    /// Leader of a service's keys, as the system's own record names it.
    pub fn leader(&self, service: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let key = ("geraniummast".to_string(), format!("keys.{service}"));
        match state.objects.get(&key)?.spec.get("leader")? {
            Json::List(items) => match items.first()? {
                Json::Text(name) => Some(name.clone()),
                _ => None,
            },
            _ => None,
        }
    }

    fn change(&self, kind: &str, name: &str, value: Option<(Json, Json)>) {
        let mut state = self.state.lock().unwrap();
        Self::change_locked(&mut state, kind, name, value);
        self.changed.notify_all();
    }

    fn change_locked(
        state: &mut State,
        kind: &str,
        name: &str,
        value: Option<(Json, Json)>,
    ) -> Option<Object> {
        let key = (kind.to_string(), name.to_string());
        let known = state.objects.get(&key).cloned();
        let (object, is_removed) = match value {
            Some((spec, status)) => {
                if let Some(known) = &known
                    && known.spec == spec
                    && known.status == status
                {
                    return Some(known.clone());
                }
                state.revision += 1;
                let create_rev = known.map_or(state.revision, |known| known.create_rev);
                let revision = state.revision;
                let object = Object {
                    name: name.into(),
                    revision,
                    create_rev,
                    spec,
                    status,
                };
                state.objects.insert(key, object.clone());
                (object, false)
            }
            None => {
                let mut object = known?;
                state.objects.remove(&key);
                state.revision += 1;
                object.revision = state.revision;
                (object, true)
            }
        };
        state.events.push(Event {
            kind: kind.into(),
            object: object.clone(),
            is_removed,
        });
        Some(object)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (status, body) = self.handle(&request);
            let headers = [("Content-Type", "application/json")];
            if http::answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &http::Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |wanted: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields
                .find(|(name, _)| *name == wanted)
                .map(|(_, value)| value.to_string())
        };
        let mut parts = path.trim_start_matches("/objects/").splitn(3, '/');
        let kind = parts.next().unwrap_or_default().to_string();
        let name = parts.next().map(String::from);
        let is_status = parts.next() == Some("status");
        let body = Json::parse(std::str::from_utf8(&request.body).unwrap_or_default())
            .unwrap_or(Json::Null);
        match (request.word(0), name) {
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind, name)) {
                    Some(object) => (200, object.to_text()),
                    None => (404, String::new()),
                }
            }
            ("GET", None) => match field("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = field("wait_ms")
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0);
                    self.watch(&kind, after, Duration::from_millis(wait))
                }
                None => self.list(&kind, &field("after").unwrap_or_default()),
            },
            ("POST", None) => {
                let name = body
                    .get("metadata")
                    .and_then(|metadata| metadata.text("name"));
                self.write(&kind, name.unwrap_or_default(), &body, None, true, false)
            }
            ("PUT", Some(name)) => {
                let revision = body
                    .get("metadata")
                    .and_then(|metadata| metadata.int("revision"));
                self.write(
                    &kind,
                    &name,
                    &body,
                    revision.map(|value| value as u64),
                    false,
                    is_status,
                )
            }
            ("DELETE", Some(name)) => {
                let revision = field("revision").and_then(|text| text.parse().ok());
                let mut state = self.state.lock().unwrap();
                let known = state.objects.get(&(kind.clone(), name.clone())).cloned();
                match known {
                    None => (404, String::new()),
                    Some(known)
                        if revision.is_some_and(|revision: u64| revision != known.revision) =>
                    {
                        (409, known.to_text())
                    }
                    Some(known) => {
                        Self::change_locked(&mut state, &kind, &name, None);
                        self.changed.notify_all();
                        (200, known.to_text())
                    }
                }
            }
            _ => (404, String::new()),
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        body: &Json,
        revision: Option<u64>,
        is_new: bool,
        is_status: bool,
    ) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let known = state
            .objects
            .get(&(kind.to_string(), name.to_string()))
            .cloned();
        match (&known, is_new) {
            (Some(known), true) => return (409, known.to_text()),
            (None, false) => return (404, String::new()),
            (Some(known), false) if revision.is_some_and(|revision| revision != known.revision) => {
                return (409, known.to_text());
            }
            _ => {}
        }
        let part = |name: &str| body.get(name).cloned().unwrap_or(Json::Null);
        let (spec, status) = match (known, is_status) {
            (Some(known), true) => (known.spec, part("status")),
            (Some(known), false) => (part("spec"), known.status),
            (None, _) => (part("spec"), Json::Null),
        };
        let object = Self::change_locked(&mut state, kind, name, Some((spec, status)));
        self.changed.notify_all();
        (
            200,
            object.map(|object| object.to_text()).unwrap_or_default(),
        )
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        const PAGE: usize = 500;
        let state = self.state.lock().unwrap();
        let found = state.objects.iter();
        let found: Vec<&Object> = found
            .filter(|((known, name), _)| known == kind && name.as_str() > after)
            .map(|(_, object)| object)
            .collect();
        let more = found.len() > PAGE;
        let items: Vec<String> = found
            .iter()
            .take(PAGE)
            .map(|object| object.to_text())
            .collect();
        let items = items.join(",");
        (
            200,
            format!(
                "{{\"items\":[{items}],\"more\":{more},\"as_of\":{}}}",
                state.revision
            ),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events: Vec<String> = events
                .filter(|event| event.kind == kind && event.object.revision > after)
                .map(|event| {
                    let object = event.object.to_text();
                    format!("{{\"removed\":{},\"object\":{object}}}", event.is_removed)
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"as_of\":{}}}", state.revision),
                );
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}
