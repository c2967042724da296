//! Object store with the objects of one small site, without faults.

use crate::http_server::{Reply, reply_with};
use event_listener::Event;
use futures_lite::future;
use geraniummast_platform::{
    EraHeader, ObjectChanges, ObjectEvent, ObjectKind, ObjectPage, PlatformObject, StoreOperation,
};
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde_json::Value;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

/// Store that keeps all objects and the history of their changes in memory.
#[derive(Default)]
pub(crate) struct SmallStore {
    objects: Mutex<StoredObjects>,
    changed: Event,
}

/// Objects by kind and name, with all changes.
#[derive(Default)]
struct StoredObjects {
    revision: u64,
    objects: IndexMap<(&'static str, String), PlatformObject>,
    history: Vec<(&'static str, ObjectEvent)>,
}

impl SmallStore {
    /// Creates or overwrites an object.
    pub(crate) fn put(&self, kind: ObjectKind, name: &str, spec: Value, status: Value) {
        self.objects.lock().unwrap().put(kind, name, spec, status);
        self.changed.notify(usize::MAX);
    }

    /// Answers a request of an instance.
    pub(crate) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes());
        let operation = body
            .ok()
            .and_then(|body| StoreOperation::read(&head.method, &head.uri, &body));
        let (status, value) = match operation {
            Some(StoreOperation::Watch(kind, after, wait)) => {
                self.wait_changed(kind, after, wait).await;
                let changes = self.objects.lock().unwrap().changes(kind, after);
                (StatusCode::OK, changes.to_value())
            }
            Some(operation) => {
                let result = self.objects.lock().unwrap().run(operation);
                self.changed.notify(usize::MAX);
                result
            }
            None => (StatusCode::NOT_FOUND, Value::Null),
        };
        let mut reply = reply_with(status, value.to_string());
        EraHeader::set(reply.headers_mut(), 1);
        reply
    }

    /// Waits until an object of a kind has changed after a revision, for a limited time.
    async fn wait_changed(&self, kind: ObjectKind, after: u64, wait: Duration) {
        let changed = async {
            loop {
                let changed = self.changed.listen();
                if !self
                    .objects
                    .lock()
                    .unwrap()
                    .changes(kind, after)
                    .events
                    .is_empty()
                {
                    return;
                }
                changed.await;
            }
        };
        let timed_out = async {
            async_io::Timer::after(wait).await;
        };
        future::or(changed, timed_out).await;
    }
}

impl StoredObjects {
    fn run(&mut self, operation: StoreOperation) -> (StatusCode, Value) {
        let found = |object: Option<&PlatformObject>| match object {
            Some(object) => (StatusCode::OK, object.to_value()),
            None => (StatusCode::NOT_FOUND, Value::Null),
        };
        let conflict = (StatusCode::CONFLICT, Value::Null);
        match operation {
            StoreOperation::List(kind, _) => (StatusCode::OK, self.list(kind).to_value()),
            StoreOperation::Read(kind, name) => found(self.objects.get(&(kind.label(), name))),
            StoreOperation::Create(kind, name, spec) => {
                match self.objects.contains_key(&(kind.label(), name.clone())) {
                    true => conflict,
                    false => found(Some(&self.put(kind, &name, spec, Value::Null))),
                }
            }
            StoreOperation::Replace(kind, name, revision, spec) => {
                match self.objects.get(&(kind.label(), name.clone())) {
                    Some(object) if revision.is_some_and(|at| at != object.revision.number) => {
                        conflict
                    }
                    Some(object) => {
                        let status = object.status.clone();
                        found(Some(&self.put(kind, &name, spec, status)))
                    }
                    None => found(None),
                }
            }
            StoreOperation::Remove(kind, name, _) => found(self.remove(kind, &name).as_ref()),
            StoreOperation::Watch(..) => found(None),
        }
    }

    fn list(&self, kind: ObjectKind) -> ObjectPage {
        let own = self
            .objects
            .iter()
            .filter(|((label, _), _)| *label == kind.label());
        ObjectPage {
            objects: own.map(|(_, object)| object.clone()).collect(),
            has_more: false,
            revision: self.revision.into(),
        }
    }

    fn changes(&self, kind: ObjectKind, after: u64) -> ObjectChanges {
        let is_new = |(label, event): &&(&str, ObjectEvent)| {
            *label == kind.label() && event.object.revision.number > after
        };
        let events = self.history.iter().filter(is_new);
        ObjectChanges {
            events: events.map(|(_, event)| event.clone()).collect(),
            revision: self.revision.into(),
        }
    }

    fn put(&mut self, kind: ObjectKind, name: &str, spec: Value, status: Value) -> PlatformObject {
        self.revision += 1;
        let object = PlatformObject {
            name: name.into(),
            revision: self.revision.into(),
            spec,
            status,
        };
        self.objects
            .insert((kind.label(), name.into()), object.clone());
        self.record(kind, object.clone(), false);
        object
    }

    fn remove(&mut self, kind: ObjectKind, name: &str) -> Option<PlatformObject> {
        let mut object = self
            .objects
            .shift_remove(&(kind.label(), name.to_string()))?;
        self.revision += 1;
        object.revision = self.revision.into();
        self.record(kind, object.clone(), true);
        Some(object)
    }

    fn record(&mut self, kind: ObjectKind, object: PlatformObject, is_removed: bool) {
        self.history
            .push((kind.label(), ObjectEvent { object, is_removed }));
    }
}
