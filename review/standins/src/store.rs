//! A stand-in for the platform's metadata store: objects by kind and name, conditional writes, and
//! watches on the history of changes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::read_message;
use crate::http::write_response;
use crate::json::Json;
use crate::json::quote;

type Key = (String, String);

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    spec: Json,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<Key, Object>,
    revision: u64,
    /// The revision, the key, the object and whether it was removed.
    changes: Vec<(u64, Key, Object, bool)>,
}

/// A running store.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        quote(name),
        object.revision,
        object.spec.write()
    )
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 10;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("JSON");
        let mut state = self.state.0.lock().unwrap();
        write(&mut state, (kind.into(), name.into()), spec);
        self.state.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push((revision, key, object, true));
        }
        self.state.1.notify_all();
    }

    /// Returns the spec of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        state.objects.get(&key).map(|object| object.spec.clone())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().expect("a socket");
        let mut input = BufReader::new(stream);
        while let Ok(request) = read_message(&mut input) {
            let (status, body) = self.answer(&request);
            let head = "content-type: application/json\r\n";
            if write_response(&mut out, status, head, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = match request.target().split_once('?') {
            Some((path, query)) => (path, query),
            None => (request.target(), ""),
        };
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), parts.as_slice()) {
            ("GET", ["objects", kind]) => self.list_or_watch(kind, query),
            ("GET", ["objects", kind, name]) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&((*kind).into(), (*name).into())) {
                    Some(object) => ("200 OK", object_text(name, object)),
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("POST", ["objects", kind]) => self.write_checked(kind, None, &body),
            ("PUT", ["objects", kind, name]) => self.write_checked(kind, Some(name), &body),
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn list_or_watch(&self, kind: &str, query: &str) -> (&'static str, String) {
        let number = |name: &str| {
            query.split('&').find_map(|pair| {
                let (key, value) = pair.split_once('=')?;
                (key == name).then(|| value.parse::<u64>().ok())?
            })
        };
        let mut state = self.state.0.lock().unwrap();
        let Some(after) = number("watch") else {
            let items: Vec<String> = state
                .objects
                .iter()
                .filter(|((of, _), _)| of == kind)
                .map(|((_, name), object)| object_text(name, object))
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"truncated\":false,\"storeRevision\":{}}}",
                items.join(","),
                state.revision
            );
            return ("200 OK", body);
        };
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        loop {
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|(revision, (of, _), _, _)| *revision > after && of == kind)
                .map(|(_, (_, name), object, removed)| {
                    let object = object_text(name, object);
                    format!("{{\"object\":{object},\"removed\":{removed}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write_checked(&self, kind: &str, name: Option<&str>, body: &str) -> (&'static str, String) {
        let Some(body) = Json::parse(body) else {
            return ("400 Bad Request", "{}".into());
        };
        let metadata = body.get("metadata");
        let named = metadata.and_then(|data| data.get("name")?.text().map(str::to_owned));
        let condition = metadata.and_then(|data| data.get("revision")?.number());
        let Some(object_name) = name.map(str::to_owned).or(named) else {
            return ("400 Bad Request", "{}".into());
        };
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let key = (kind.to_owned(), object_name.clone());
        let mut state = self.state.0.lock().unwrap();
        match state.objects.get(&key) {
            None if name.is_some() => return ("404 Not Found", "{}".into()),
            Some(found) if name.is_none() => {
                return ("409 Conflict", object_text(&object_name, found));
            }
            Some(found) if condition.is_some_and(|revision| revision != found.revision) => {
                return ("409 Conflict", object_text(&object_name, found));
            }
            _ => {}
        }
        write(&mut state, key.clone(), spec);
        self.state.1.notify_all();
        ("200 OK", object_text(&object_name, &state.objects[&key]))
    }
}

/// Writes an object. One that stays the same does not raise the revision.
fn write(state: &mut State, key: Key, spec: Json) {
    if state.objects.get(&key).is_some_and(|found| found.spec == spec) {
        return;
    }
    state.revision += 1;
    let object = Object {
        revision: state.revision,
        spec,
    };
    state.changes.push((state.revision, key.clone(), object.clone(), false));
    state.objects.insert(key, object);
}
