//! The platform's store: objects with conditional writes, lists and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::json::Json;
use crate::record::Record;

type Name = (String, String);
type Hook = Box<dyn FnOnce(&Json) + Send>;

struct Object {
    revision: u64,
    spec: Json,
    written: Instant,
}

struct Change {
    revision: u64,
    name: Name,
    spec: Json,
    removed: bool,
}

struct State {
    objects: BTreeMap<Name, Object>,
    revision: u64,
    changes: Vec<Change>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    /// Called once, with its `spec`, when an object of this kind has been replaced, before the answer.
    hook: Arc<Mutex<Option<(String, Hook)>>>,
    /// While the store is silent: until when.
    silent_until: Arc<Mutex<Option<Instant>>>,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

fn metadata(name: &str, revision: u64) -> Json {
    let number = |value: u64| Json::Number(value.to_string());
    Json::Object(vec![
        ("name".into(), Json::Text(name.into())),
        ("revision".into(), number(revision)),
        ("created".into(), number(1)),
        ("finalizers".into(), Json::List(Vec::new())),
        ("deleting".into(), Json::Bool(false)),
    ])
}

fn object_json(name: &str, revision: u64, spec: &Json) -> Json {
    Json::Object(vec![
        ("metadata".into(), metadata(name, revision)),
        ("spec".into(), spec.clone()),
        ("status".into(), Json::Null),
    ])
}

impl Store {
    /// Starts the store. It removes the entry of a server after `entry_ttl` without a write.
    pub fn start(entry_ttl: Duration, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            hook: Arc::default(),
            silent_until: Arc::default(),
            state: Arc::new((
                Mutex::new(State {
                    objects: BTreeMap::new(),
                    revision: 10,
                    changes: Vec::new(),
                }),
                Condvar::new(),
            )),
            record: record.clone(),
        };
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(100));
            expiring.expire(entry_ttl);
        });
        Ok(store)
    }

    fn expire(&self, ttl: Duration) {
        let silent: Vec<Name> = {
            let state = self.state.0.lock().unwrap();
            let objects = state.objects.iter();
            objects
                .filter(|((kind, _), object)| kind == "servers" && object.written.elapsed() > ttl)
                .map(|(name, _)| name.clone())
                .collect()
        };
        for name in silent {
            self.record
                .line(&format!("store: entry of {} removed, no beat", name.1));
            self.remove(&name.0, &name.1);
        }
    }

    /// Writes an object without a condition, and returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &Json) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        write(&mut state, (kind.into(), name.into()), spec, &self.state.1)
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push(Change {
                revision,
                name: key,
                spec: object.spec,
                removed: true,
            });
            self.state.1.notify_all();
        }
    }

    pub fn spec(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.state.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map(|object| object.spec.clone())
    }

    /// Calls `hook` when an object of `kind` has been replaced next, before the answer is sent.
    pub fn on_replaced(&self, kind: &str, hook: impl FnOnce(&Json) + Send + 'static) {
        *self.hook.lock().unwrap() = Some((kind.into(), Box::new(hook)));
    }

    /// Neither executes nor answers calls for `time`. Those that still wait at the end are handled then.
    pub fn be_silent(&self, time: Duration) {
        *self.silent_until.lock().unwrap() = Some(Instant::now() + time);
        self.record
            .line(&format!("store: silent for {} ms", time.as_millis()));
    }

    /// Returns whether the caller still waits for the answer when the store is no longer silent.
    fn wait_while_silent(&self, connection: &mut Connection) -> bool {
        let silent_until = *self.silent_until.lock().unwrap();
        let Some(until) = silent_until.filter(|until| Instant::now() < *until) else {
            return true;
        };
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        !connection.is_closed()
    }

    fn run_hook(&self, kind: &str, spec: &Json) {
        let taken = {
            let mut hook = self.hook.lock().unwrap();
            let is_due = hook.as_ref().is_some_and(|(wanted, _)| wanted == kind);
            if is_due { hook.take() } else { None }
        };
        if let Some((_, hook)) = taken {
            hook(spec);
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(req) = connection.read(Duration::from_secs(600), false, &|| true) {
            if !self.wait_while_silent(&mut connection) {
                return;
            }
            let (status, body) = self.answer(&req);
            let head = "Content-Type: application/json\r\n";
            if !connection.respond(status, head, body.write().as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (&'static str, Json) {
        let error = |text: &str| Json::Object(vec![("error".into(), Json::Text(text.into()))]);
        let parts: Vec<&str> = req.path().trim_start_matches('/').split('/').collect();
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        match (req.method(), parts.as_slice()) {
            ("GET", ["objects", kind]) => match req.query("watch") {
                Some(after) => {
                    let wait = req.query("waitMs").and_then(|wait| wait.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or(0));
                    self.watch(kind, after.parse().unwrap_or(0), wait)
                }
                None => ("200 OK", self.list(kind)),
            },
            ("GET", ["objects", kind, name]) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&((*kind).into(), (*name).into())) {
                    Some(object) => ("200 OK", object_json(name, object.revision, &object.spec)),
                    None => ("404 Not Found", error("no such object")),
                }
            }
            ("POST", ["objects", kind]) => {
                let name = body.get("metadata").and_then(|m| m.get("name")?.text());
                let Some(name) = name else {
                    return ("400 Bad Request", error("no name"));
                };
                let key = ((*kind).to_owned(), name.to_owned());
                let mut state = self.state.0.lock().unwrap();
                if let Some(found) = state.objects.get(&key) {
                    return ("409 Conflict", object_json(name, found.revision, &found.spec));
                }
                let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                let revision = write(&mut state, key, &spec, &self.state.1);
                ("201 Created", object_json(name, revision, &spec))
            }
            ("PUT", ["objects", kind, name]) => {
                let key = ((*kind).to_owned(), (*name).to_owned());
                let mut state = self.state.0.lock().unwrap();
                let Some(found) = state.objects.get(&key) else {
                    return ("404 Not Found", error("no such object"));
                };
                let wanted = body.get("metadata").and_then(|m| m.get("revision")?.number());
                if wanted.is_some_and(|wanted| wanted != found.revision) {
                    return ("409 Conflict", object_json(name, found.revision, &found.spec));
                }
                let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                let revision = write(&mut state, key, &spec, &self.state.1);
                drop(state);
                self.run_hook(kind, &spec);
                ("200 OK", object_json(name, revision, &spec))
            }
            _ => ("404 Not Found", error("no such call")),
        }
    }

    fn list(&self, kind: &str) -> Json {
        let state = self.state.0.lock().unwrap();
        let items = state
            .objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .map(|((_, name), object)| object_json(name, object.revision, &object.spec))
            .collect();
        Json::Object(vec![
            ("items".into(), Json::List(items)),
            ("truncated".into(), Json::Bool(false)),
            (
                "storeRevision".into(),
                Json::Number(state.revision.to_string()),
            ),
        ])
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (&'static str, Json) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let silent_until = *self.silent_until.lock().unwrap();
            if let Some(until) = silent_until.filter(|until| Instant::now() < *until) {
                drop(state);
                std::thread::sleep(until.saturating_duration_since(Instant::now()));
                state = self.state.0.lock().unwrap();
            }
            if after > state.revision {
                return ("410 Gone", Json::Object(Vec::new()));
            }
            let events: Vec<Json> = state
                .changes
                .iter()
                .filter(|change| change.revision > after && change.name.0 == kind)
                .map(|change| {
                    let object = object_json(&change.name.1, change.revision, &change.spec);
                    Json::Object(vec![
                        ("removed".into(), Json::Bool(change.removed)),
                        ("object".into(), object),
                    ])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = Json::Number(state.revision.to_string());
                let body = Json::Object(vec![
                    ("events".into(), Json::List(events)),
                    ("storeRevision".into(), revision),
                ]);
                return ("200 OK", body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn write(state: &mut State, name: Name, spec: &Json, changed: &Condvar) -> u64 {
    if let Some(object) = state.objects.get_mut(&name)
        && object.spec == *spec
    {
        object.written = Instant::now();
        return object.revision;
    }
    state.revision += 1;
    let revision = state.revision;
    state.objects.insert(
        name.clone(),
        Object {
            revision,
            spec: spec.clone(),
            written: Instant::now(),
        },
    );
    state.changes.push(Change {
        revision,
        name,
        spec: spec.clone(),
        removed: false,
    });
    changed.notify_all();
    revision
}
