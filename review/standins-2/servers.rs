//! The servers. Each start is a lifetime of its own, with its own address and start time.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::http::Message;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

#[derive(Debug, Clone, Copy)]
pub struct Grant {
    pub first: u64,
    pub last: u64,
    pub fence: u64,
    pub expires: Instant,
}

/// A request that the server began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub key: Option<u64>,
    pub at_ms: u64,
}

#[derive(Default)]
struct State {
    grants: Vec<Grant>,
    /// The highest fence seen of each range: first key, last key, fence.
    fences: Vec<(u64, u64, u64)>,
    running: Vec<u64>,
    runs: Vec<Run>,
}

struct Inner {
    id: String,
    life: u32,
    service: String,
    keyed: bool,
    work: Duration,
    address: SocketAddr,
    born: u64,
    seq: AtomicU64,
    up: AtomicBool,
    draining: AtomicBool,
    state: Mutex<State>,
    record: Record,
}

/// One lifetime of a server.
#[derive(Clone)]
pub struct Server(Arc<Inner>);

impl Server {
    pub fn start(
        id: &str,
        life: u32,
        service: &str,
        keyed: bool,
        work: Duration,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
        let server = Self(Arc::new(Inner {
            id: id.into(),
            life,
            service: service.into(),
            keyed,
            work,
            address: listener.local_addr()?,
            born,
            seq: AtomicU64::new(0),
            up: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            state: Mutex::default(),
            record: record.clone(),
        }));
        record.line(&format!(
            "{}: starts at {}, born {born}",
            server.name(),
            server.address()
        ));
        let accepting = server.clone();
        std::thread::spawn(move || {
            while accepting.is_up() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let server = accepting.clone();
                        std::thread::spawn(move || server.serve(Connection::new(stream)));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(server)
    }

    /// The id and the number of the lifetime.
    pub fn name(&self) -> String {
        format!("{} life {}", self.0.id, self.0.life)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    pub fn is_up(&self) -> bool {
        self.0.up.load(Ordering::Relaxed)
    }

    /// Ends this lifetime: its listener, its connections, its grants and its work.
    pub fn crash(&self) {
        self.0.up.store(false, Ordering::Relaxed);
        self.0.state.lock().unwrap().grants.clear();
        self.0.record.line(&format!("{}: ends", self.name()));
    }

    /// The next entry that the server writes of itself.
    pub fn next_entry(&self) -> Json {
        let seq = self.0.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let text = |value: &str| Json::Text(value.into());
        let state = if self.0.draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        Json::Object(vec![
            ("service".into(), text(&self.0.service)),
            ("addr".into(), text(&self.0.address.to_string())),
            ("zone".into(), text("fuk-a")),
            ("version".into(), text("v1")),
            ("slots".into(), Json::Number("3".into())),
            ("state".into(), text(state)),
            ("coldLeft".into(), text("0ms")),
            ("seq".into(), Json::Number(seq.to_string())),
            ("born".into(), Json::Number(self.0.born.to_string())),
        ])
    }

    /// Writes the entry now, and then each `beat` while the server is up.
    pub fn report(&self, store: &Store, beat: Duration) {
        store.put("servers", &self.0.id, &self.next_entry());
        let (server, store) = (self.clone(), store.clone());
        std::thread::spawn(move || {
            let mut next = Instant::now() + beat;
            loop {
                while Instant::now() < next {
                    std::thread::sleep(Duration::from_millis(5));
                    if !server.is_up() {
                        return;
                    }
                }
                next += beat;
                store.put("servers", &server.0.id, &server.next_entry());
            }
        });
    }

    /// Returns the grants that have not expired.
    pub fn grants(&self) -> Vec<Grant> {
        let now = Instant::now();
        let state = self.0.state.lock().unwrap();
        let active = state.grants.iter().filter(|grant| grant.expires > now);
        active.copied().collect()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.state.lock().unwrap().runs.clone()
    }

    fn serve(&self, mut connection: Connection) {
        let go_on = || self.is_up();
        while let Ok(req) = connection.read(Duration::from_secs(10), false, &go_on) {
            if !self.handle(&req, &mut connection) || !self.is_up() {
                break;
            }
        }
        if !self.is_up() {
            let _ = connection.stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn handle(&self, req: &Message, connection: &mut Connection) -> bool {
        let id = req.header("x-request-id").unwrap_or("").to_owned();
        let expected = req.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.0.id) {
            let head = format!("X-Request-Id: {id}\r\nX-Instance-Id: {}\r\n", self.0.id);
            return connection.respond("421 Misdirected Request", &head, b"");
        }
        match req.path() {
            "/grant" => {
                let status = self.grant(req);
                connection.respond(status, "", b"")
            }
            "/release" => {
                self.release(req);
                connection.respond("200 OK", "X-Handover: 5c0e7a21d94b36f8\r\n", b"")
            }
            _ => self.run(&id, req, connection),
        }
    }

    fn run(&self, id: &str, req: &Message, connection: &mut Connection) -> bool {
        let key = req
            .header("x-shard-key")
            .and_then(|key| key.parse::<u64>().ok());
        if self.0.keyed {
            let key = key.unwrap_or(u64::MAX);
            let holds = self
                .grants()
                .iter()
                .any(|grant| (grant.first..=grant.last).contains(&key));
            if !holds {
                let head = format!("X-Request-Id: {id}\r\nX-Not-Executed: 1\r\n");
                return connection.respond("421 Misdirected Request", &head, b"");
            }
        }
        let at_ms = self.0.record.ms();
        {
            let mut state = self.0.state.lock().unwrap();
            state.runs.push(Run {
                id: id.into(),
                key,
                at_ms,
            });
            state.running.extend(key);
        }
        let until = Instant::now() + self.0.work;
        let mut is_dropped = false;
        while Instant::now() < until && self.is_up() && !is_dropped {
            std::thread::sleep(Duration::from_millis(2));
            is_dropped = connection.is_closed();
        }
        {
            let mut state = self.0.state.lock().unwrap();
            if let Some(at) = state.running.iter().position(|one| Some(*one) == key) {
                state.running.swap_remove(at);
            }
        }
        if !self.is_up() || is_dropped {
            return false;
        }
        let head = format!(
            "X-Request-Id: {id}\r\nX-Response-Signature: {}.{}\r\nX-Server-Load: 1,0,3\r\n",
            self.0.id, self.0.life
        );
        connection.respond("200 OK", &head, format!("answer to {id}").as_bytes())
    }

    fn order(req: &Message) -> Option<(u64, u64, u64, Option<Duration>)> {
        let body = Json::parse(&String::from_utf8_lossy(&req.body))?;
        let number = |name: &str| body.get(name)?.number();
        let hold = body.get("hold_time").and_then(Json::text);
        let hold = hold
            .and_then(|hold| hold.strip_suffix("ms")?.parse().ok())
            .map(Duration::from_millis);
        Some((number("from")?, number("target")?, number("fence")?, hold))
    }

    fn grant(&self, req: &Message) -> &'static str {
        let Some((first, last, fence, Some(hold))) = Self::order(req) else {
            return "400 Bad Request";
        };
        let mut state = self.0.state.lock().unwrap();
        let overlaps = |from: u64, to: u64| from <= last && first <= to;
        let is_fenced = state
            .fences
            .iter()
            .any(|known| overlaps(known.0, known.1) && known.2 > fence);
        if is_fenced {
            drop(state);
            self.0.record.line(&format!(
                "{}: refuses a grant of {first}-{last} under {fence}",
                self.name()
            ));
            return "409 Conflict";
        }
        let is_renewal = state
            .grants
            .iter()
            .any(|known| (known.first, known.last, known.fence) == (first, last, fence));
        state
            .fences
            .retain(|known| (known.0, known.1) != (first, last));
        state.fences.push((first, last, fence));
        remove_keys(&mut state.grants, first, last);
        state.grants.push(Grant {
            first,
            last,
            fence,
            expires: Instant::now() + hold,
        });
        drop(state);
        let what = if is_renewal {
            "renewed"
        } else {
            "granted"
        };
        self.0.record.line(&format!(
            "{}: {what} {first}-{last} under {fence} for {} ms",
            self.name(),
            hold.as_millis()
        ));
        "200 OK"
    }

    fn release(&self, req: &Message) {
        let Some((first, last, fence, _)) = Self::order(req) else {
            return;
        };
        remove_keys(&mut self.0.state.lock().unwrap().grants, first, last);
        let is_busy = || {
            let state = self.0.state.lock().unwrap();
            state.running.iter().any(|key| (first..=last).contains(key))
        };
        while is_busy() && self.is_up() {
            std::thread::sleep(Duration::from_millis(2));
        }
        self.0.record.line(&format!(
            "{}: released {first}-{last} under {fence}",
            self.name()
        ));
    }
}

/// Removes a range of keys from all grants. Their other keys stay granted.
fn remove_keys(grants: &mut Vec<Grant>, first: u64, last: u64) {
    let mut rest = Vec::new();
    for grant in grants.drain(..) {
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
        if grant.last > last {
            rest.push(Grant {
                first: last + 1,
                ..grant
            });
        }
    }
    *grants = rest;
}

/// Two lifetimes that hold the same keys at the same time.
#[derive(Debug, Clone)]
pub struct Overlap {
    pub servers: [String; 2],
    pub first: u64,
    pub last: u64,
    pub fences: [u64; 2],
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Looks at the grants of all servers each few milliseconds, and keeps the overlaps.
#[derive(Clone, Default)]
pub struct OwnerWatch {
    overlaps: Arc<Mutex<Vec<Overlap>>>,
}

/// How often the grants are looked at, and how long a gap may be within one overlap.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
const MAX_GAP_MS: u64 = 50;

impl OwnerWatch {
    pub fn start(servers: &Arc<Mutex<Vec<Server>>>, record: &Record) -> Self {
        let watch = Self::default();
        let (kept, servers, record) = (watch.clone(), Arc::clone(servers), record.clone());
        std::thread::spawn(move || loop {
            std::thread::sleep(LOOK_INTERVAL);
            let now = record.ms();
            let held: Vec<(String, Vec<Grant>)> = servers
                .lock()
                .unwrap()
                .iter()
                .filter(|server| server.is_up())
                .map(|server| (server.name(), server.grants()))
                .collect();
            for (at, (one, grants)) in held.iter().enumerate() {
                for (other, others) in &held[at + 1..] {
                    for a in grants {
                        for b in others {
                            if a.first <= b.last && b.first <= a.last {
                                kept.note(now, [one, other], a, b, &record);
                            }
                        }
                    }
                }
            }
        });
        watch
    }

    fn note(&self, now: u64, names: [&String; 2], a: &Grant, b: &Grant, record: &Record) {
        let mut overlaps = self.overlaps.lock().unwrap();
        let servers = names.map(Clone::clone);
        let fences = [a.fence, b.fence];
        let (first, last) = (a.first.max(b.first), a.last.min(b.last));
        let known = overlaps.iter_mut().find(|known| {
            known.servers == servers
                && known.fences == fences
                && (known.first, known.last) == (first, last)
                && known.to_ms + MAX_GAP_MS >= now
        });
        if let Some(known) = known {
            known.to_ms = now;
            return;
        }
        record.line(&format!(
            "OVERLAP begins: {} under {} and {} under {} both hold {first}-{last}",
            servers[0], fences[0], servers[1], fences[1]
        ));
        overlaps.push(Overlap {
            servers,
            first,
            last,
            fences,
            from_ms: now,
            to_ms: now,
        });
    }

    pub fn overlaps(&self) -> Vec<Overlap> {
        self.overlaps.lock().unwrap().clone()
    }
}
