//! A server of a service: it holds keys by grants, runs requests and keeps a record of them.

use crate::http::{Conn, Message};
use crate::json::{self, J};
use crate::store::Store;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The interval between two entries of a server in the store.
pub const HEARTBEAT: Duration = Duration::from_millis(870);

struct Grant {
    from: u64,
    target: u64,
    fence: u64,
    until: Instant,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub at: Instant,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    sharded: bool,
    alive: AtomicBool,
    grants: Mutex<Vec<Grant>>,
    /// The highest fence seen, by key.
    seen: Mutex<Vec<u64>>,
    pub runs: Mutex<Vec<Run>>,
    running: AtomicU64,
    pub work: Duration,
    /// The size of a response body.
    pub body: usize,
}

impl Server {
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        sharded: bool,
        work: Duration,
        body: usize,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr().expect("an address"),
            sharded,
            alive: AtomicBool::new(true),
            grants: Mutex::default(),
            seen: Mutex::new(vec![0; 65536]),
            runs: Mutex::default(),
            running: AtomicU64::new(0),
            work,
            body,
        });
        listener.set_nonblocking(true).expect("a listener");
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            while accepting.is_alive() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(Conn::new(stream)));
            }
        });
        let (beating, store) = (Arc::clone(&server), Arc::clone(store));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
        thread::spawn(move || {
            let mut seq = 0;
            while beating.is_alive() {
                seq += 1;
                store.beat(&beating.id, beating.entry(seq, born));
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    fn entry(&self, seq: u64, born: u128) -> J {
        let text = |text: &str| J::Str(text.into());
        J::Obj(vec![
            ("service".into(), text(&self.service)),
            ("addr".into(), text(&self.address.to_string())),
            ("zone".into(), text("me-a")),
            ("version".into(), text("v1")),
            ("slots".into(), J::Num("6".into())),
            ("state".into(), text("ready")),
            ("coldLeft".into(), text("0ms")),
            ("seq".into(), J::Num(seq.to_string())),
            ("born".into(), J::Num(born.to_string())),
        ])
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::Relaxed)
    }

    /// Ends the server as a crash does: its address refuses connections, and nothing is answered.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::Relaxed);
    }

    pub fn holds(&self, key: u64) -> bool {
        let grants = self.grants.lock().unwrap();
        let now = Instant::now();
        grants.iter().any(|one| one.from <= key && key <= one.target && one.until > now)
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(req) = conn.read() {
            if !self.is_alive() {
                return;
            }
            let (status, mut headers, body) = self.answer(&req);
            if !self.is_alive() {
                return;
            }
            let load = format!("{},0,6", self.running.load(Ordering::Relaxed));
            headers.push(("x-server-load", load));
            if conn.write(&format!("HTTP/1.1 {status} X"), &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, Vec<(&'static str, String)>, Vec<u8>) {
        let path = req.first.split(' ').nth(1).unwrap_or("").to_owned();
        let expected = req.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return (421, vec![("x-not-executed", "1".into())], Vec::new());
        }
        match path.as_str() {
            "/grant" | "/release" => return (self.order(req, path == "/grant"), Vec::new(), Vec::new()),
            "/health" => return (200, vec![("x-instance-id", self.id.clone())], Vec::new()),
            _ => {}
        }
        let id = req.header("x-request-id").unwrap_or("").to_owned();
        if self.sharded {
            let key = req.header("x-shard-key").and_then(|key| key.parse().ok());
            if !key.is_some_and(|key| self.holds(key)) {
                let headers = vec![("x-request-id", id), ("x-not-executed", "1".into())];
                return (421, headers, Vec::new());
            }
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let run = Run { id: id.clone(), path, at: Instant::now() };
        self.runs.lock().unwrap().push(run);
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let signature = format!("sig.{}.{}.{id}", self.service, self.id);
        let headers = vec![("x-request-id", id), ("x-response-signature", signature)];
        (200, headers, vec![b'x'; self.body])
    }

    fn order(&self, req: &Message, is_grant: bool) -> u16 {
        let Some(order) = json::parse(&String::from_utf8_lossy(&req.body)) else {
            return 400;
        };
        let (Some(from), Some(target), Some(fence)) =
            (order.number("from"), order.number("target"), order.number("fence"))
        else {
            return 400;
        };
        let mut grants = self.grants.lock().unwrap();
        if !is_grant {
            let kept = grants.drain(..).flat_map(|one| without(one, from, target));
            let kept: Vec<Grant> = kept.collect();
            *grants = kept;
            return 200;
        }
        let mut seen = self.seen.lock().unwrap();
        let keys = from as usize..=target as usize;
        if seen[keys.clone()].iter().any(|known| *known > fence) {
            return 409;
        }
        seen[keys].fill(fence);
        let hold = order.text("hold_time").and_then(|hold| hold.strip_suffix("ms")?.parse().ok());
        let until = Instant::now() + Duration::from_millis(hold.unwrap_or(0));
        let mut kept: Vec<Grant> = grants.drain(..).flat_map(|one| without(one, from, target)).collect();
        kept.push(Grant { from, target, fence, until });
        *grants = kept;
        200
    }
}

/// Returns what is left of a grant without some keys.
fn without(grant: Grant, from: u64, target: u64) -> Vec<Grant> {
    if grant.target < from || target < grant.from {
        return vec![grant];
    }
    let mut rest = Vec::new();
    if grant.from < from {
        rest.push(Grant { target: from - 1, ..Grant { ..copy(&grant) } });
    }
    if target < grant.target {
        rest.push(Grant { from: target + 1, ..copy(&grant) });
    }
    rest
}

fn copy(grant: &Grant) -> Grant {
    Grant { from: grant.from, target: grant.target, fence: grant.fence, until: grant.until }
}
