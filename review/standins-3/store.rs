//! The platform's store: objects, conditional writes and watches, as PROTOCOL.md tells them.

use crate::http::{Conn, Message};
use crate::json::{self, J};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), (u64, J)>,
    /// Revision, kind, name, spec, and whether the object was removed.
    changes: Vec<(u64, String, String, J, bool)>,
    revision: u64,
    /// When each server last wrote its entry.
    beats: BTreeMap<String, Instant>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// The callers that are turned away with 503, by the index of their address.
    pub away: Mutex<Vec<bool>>,
}

fn object(name: &str, revision: u64, spec: &J) -> J {
    let num = |n: u64| J::Num(n.to_string());
    J::Obj(vec![
        (
            "metadata".into(),
            J::Obj(vec![
                ("name".into(), J::Str(name.into())),
                ("revision".into(), num(revision)),
                ("created".into(), num(1)),
                ("finalizers".into(), J::Arr(vec![])),
                ("deleting".into(), J::Bool(false)),
            ]),
        ),
        ("spec".into(), spec.clone()),
        ("status".into(), J::Null),
    ])
}

impl Store {
    /// Starts the store with one address for each caller, so that some can be turned away.
    pub fn start(callers: usize) -> (Arc<Self>, Vec<SocketAddr>) {
        let state = State { revision: 10, ..State::default() };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            away: Mutex::new(vec![false; callers]),
        });
        let mut addresses = Vec::new();
        for caller in 0..callers {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            addresses.push(listener.local_addr().expect("an address"));
            let store = Arc::clone(&store);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = Arc::clone(&store);
                    thread::spawn(move || store.serve(Conn::new(stream), caller));
                }
            });
        }
        (store, addresses)
    }

    pub fn put(&self, kind: &str, name: &str, spec: J) {
        let mut state = self.state.lock().unwrap();
        write(&mut state, kind, name, spec);
        drop(state);
        self.changed.notify_all();
    }

    /// Writes the entry of a server.
    pub fn beat(&self, id: &str, spec: J) {
        self.state.lock().unwrap().beats.insert(id.into(), Instant::now());
        self.put("servers", id, spec);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some((_, spec)) = state.objects.remove(&(kind.into(), name.into())) {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push((revision, kind.into(), name.into(), spec, true));
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Removes the entries of servers that were silent for three heartbeats.
    pub fn expire(&self, after: Duration) {
        let silent: Vec<String> = {
            let mut state = self.state.lock().unwrap();
            let silent = state.beats.iter().filter(|(_, at)| at.elapsed() > after);
            let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
            for id in &silent {
                state.beats.remove(id);
            }
            silent
        };
        for id in silent {
            self.remove("servers", &id);
        }
    }

    pub fn spec(&self, kind: &str, name: &str) -> Option<J> {
        let state = self.state.lock().unwrap();
        state.objects.get(&(kind.into(), name.into())).map(|(_, spec)| spec.clone())
    }

    fn is_away(&self, caller: usize) -> bool {
        self.away.lock().unwrap()[caller]
    }

    fn serve(&self, mut conn: Conn, caller: usize) {
        while let Ok(req) = conn.read() {
            let (status, body) = self.answer(&req, caller);
            let headers = [
                ("content-type", "application/json".to_owned()),
                ("store-era", "0".to_owned()),
            ];
            if conn.write(&format!("HTTP/1.1 {status} X"), &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message, caller: usize) -> (u16, String) {
        if self.is_away(caller) {
            return (503, "{}".into());
        }
        let mut words = req.first.split(' ');
        let method = words.next().unwrap_or("");
        let target = words.next().unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let param = |key: &str| {
            let pair = query.split('&').filter_map(|pair| pair.split_once('='));
            pair.filter(|(k, _)| *k == key).map(|(_, v)| v.to_owned()).next()
        };
        match (method, name) {
            ("GET", None) => match param("watch") {
                Some(after) => {
                    let wait = param("waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    self.watch(&kind, after.parse().unwrap_or(0), wait, caller)
                }
                None => self.list(&kind),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some((revision, spec)) => (200, object(&name, *revision, spec).dump()),
                    None => (404, "{}".into()),
                }
            }
            ("POST" | "PUT", name) => self.write(&kind, name, req),
            _ => (400, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let items = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items = items.map(|((_, name), (revision, spec))| object(name, *revision, spec));
        let page = J::Obj(vec![
            ("items".into(), J::Arr(items.collect())),
            ("truncated".into(), J::Bool(false)),
            ("storeRevision".into(), J::Num(state.revision.to_string())),
        ]);
        (200, page.dump())
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64, caller: usize) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<J> = state
                .changes
                .iter()
                .filter(|(revision, of, ..)| *revision > after && of == kind)
                .map(|(revision, _, name, spec, removed)| {
                    J::Obj(vec![
                        ("object".into(), object(name, *revision, spec)),
                        ("removed".into(), J::Bool(*removed)),
                    ])
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = J::Obj(vec![
                    ("events".into(), J::Arr(events)),
                    ("storeRevision".into(), J::Num(state.revision.to_string())),
                ]);
                return (200, body.dump());
            }
            if self.is_away(caller) {
                return (503, "{}".into());
            }
            let slice = (until - now).min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, slice).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<String>, req: &Message) -> (u16, String) {
        let Some(body) = json::parse(&String::from_utf8_lossy(&req.body)) else {
            return (400, "{}".into());
        };
        let metadata = body.get("metadata");
        let is_new = name.is_none();
        let name = name.or_else(|| Some(metadata?.text("name")?.to_owned())).unwrap_or_default();
        let expected = metadata.and_then(|metadata| metadata.number("revision"));
        let spec = body.get("spec").cloned().unwrap_or(J::Null);
        let mut state = self.state.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.clone())) {
            Some((revision, found)) => {
                if is_new || expected.is_some_and(|expected| expected != *revision) {
                    return (409, object(&name, *revision, found).dump());
                }
            }
            None if !is_new => return (404, "{}".into()),
            None => {}
        }
        let revision = write(&mut state, kind, &name, spec.clone());
        drop(state);
        self.changed.notify_all();
        (200, object(&name, revision, &spec).dump())
    }
}

fn write(state: &mut State, kind: &str, name: &str, spec: J) -> u64 {
    let key = (kind.to_owned(), name.to_owned());
    if let Some((revision, found)) = state.objects.get(&key) {
        if *found == spec {
            return *revision;
        }
    }
    state.revision += 1;
    let revision = state.revision;
    state.objects.insert(key, (revision, spec.clone()));
    state.changes.push((revision, kind.into(), name.into(), spec, false));
    revision
}
