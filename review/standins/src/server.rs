//! A stand-in for a server: runs requests in its slots, keeps to the grants of keys, and can crash.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::read_message;
use crate::http::write_response;
use crate::json::Json;
use crate::record::Record;
use crate::sys;

/// How often a running request looks whether its connection was closed or its server has crashed.
const POLL: Duration = Duration::from_millis(4);

/// A range of keys that was granted to a server.
#[derive(Debug, Clone, Copy)]
struct Grant {
    first: u64,
    last: u64,
    fence: u64,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    waiting: u32,
    grants: Vec<Grant>,
    /// The highest fence that was seen for a range.
    fences: Vec<(u64, u64, u64)>,
    /// The number of running requests by key.
    busy: BTreeMap<u64, u32>,
}

/// A running server.
#[derive(Debug, Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    slots: u32,
    sharded: bool,
    state: Arc<(Mutex<State>, Condvar)>,
    crashed: Arc<AtomicBool>,
    listener: Arc<TcpListener>,
    fill: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Server {
    pub fn start(id: &str, service: &str, slots: u32, sharded: bool, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a socket");
        let server = Self {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr().expect("an address"),
            born: sys::unix_ms(),
            slots,
            sharded,
            state: Arc::default(),
            crashed: Arc::default(),
            listener: Arc::new(listener),
            fill: Arc::default(),
            record: record.clone(),
        };
        let accepting = server.clone();
        std::thread::spawn(move || accepting.accept());
        server
    }

    /// Returns the entry that the server writes to the store.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"me-a\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"coldLeft\":\"0ms\",\"seq\":1,\"born\":{}}}",
            self.service, self.address, self.slots, self.born
        )
    }

    fn is_crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }

    /// The server is lost for good: its process ends, so that its connections are closed, and its
    /// machine is gone, so that its address is silent: no connection to it is completed.
    pub fn lose(&self) {
        sys::shrink_backlog(self.listener.as_raw_fd());
        for _ in 0..3 {
            let filler = TcpStream::connect_timeout(&self.address, Duration::from_millis(3));
            self.fill.lock().unwrap().extend(filler.ok());
        }
        self.crashed.store(true, Ordering::SeqCst);
        self.state.1.notify_all();
    }

    fn accept(&self) {
        while !self.is_crashed() {
            match self.listener.accept() {
                Ok((stream, _)) if self.fill.lock().unwrap().is_empty() => {
                    let server = self.clone();
                    std::thread::spawn(move || server.serve(stream));
                }
                Ok((stream, _)) => {
                    // The machine is about to be lost; nobody reads this connection any more.
                    self.fill.lock().unwrap().push(stream);
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().expect("a socket");
        let mut input = BufReader::new(stream);
        while let Ok(request) = read_message(&mut input) {
            if self.is_crashed() || !self.handle(&request, &mut out) {
                return;
            }
        }
    }

    /// Handles one request. Returns whether the connection stays open.
    fn handle(&self, request: &Message, out: &mut TcpStream) -> bool {
        let path = request.target().split('?').next().unwrap_or("");
        if path == "/grant" || path == "/release" {
            return self.handle_order(path, request, out);
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let head = format!("x-request-id: {id}\r\n");
        let not_run = format!("{head}x-not-executed: 1\r\n");
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let ok = write_response(out, "421 Misdirected Request", &not_run, b"");
            return ok.is_ok();
        }
        let key = request.header("x-shard-key").and_then(|key| key.parse::<u64>().ok());
        let limit = request.header("x-deadline-ms").and_then(|ms| ms.parse().ok());
        let until = Instant::now() + Duration::from_millis(limit.unwrap_or(60_000));
        if !self.begin(until) {
            return !self.is_crashed()
                && write_response(out, "503 Service Unavailable", &not_run, b"").is_ok();
        }
        if self.sharded && !key.is_some_and(|key| self.holds(key)) {
            self.end(None);
            let ok = write_response(out, "421 Misdirected Request", &not_run, b"");
            return ok.is_ok();
        }
        if let Some(key) = key {
            *self.state.0.lock().unwrap().busy.entry(key).or_default() += 1;
        }
        let shown = key.map_or(String::new(), |key| format!(" key {key}"));
        self.record.add(format!("run {id} at {}{shown}", self.id));
        let work = request.header("x-work-ms").and_then(|ms| ms.parse().ok());
        let ended = Instant::now() + Duration::from_millis(work.unwrap_or(20));
        let ok = self.work(ended.min(until), out);
        self.end(key);
        if !ok {
            self.record.add(format!("cut {id} at {}", self.id));
            return false;
        }
        let load = {
            let state = self.state.0.lock().unwrap();
            format!("{},{},{}", state.running, state.waiting, self.slots)
        };
        let head = format!("{head}x-response-signature: s.{id}\r\nx-server-load: {load}\r\n");
        let status = if ended > until { "504 Gateway Timeout" } else { "200 OK" };
        self.record.add(format!("answer {id} at {} {status}", self.id));
        write_response(out, status, &head, format!("answer to {id}").as_bytes()).is_ok()
    }

    /// Waits for a slot. Returns whether the request has one.
    fn begin(&self, until: Instant) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.running >= self.slots && state.waiting >= self.slots * 4 {
            return false;
        }
        state.waiting += 1;
        while state.running >= self.slots {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.is_crashed() {
                state.waiting -= 1;
                return false;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        state.waiting -= 1;
        if self.is_crashed() {
            return false;
        }
        state.running += 1;
        true
    }

    fn end(&self, key: Option<u64>) {
        let mut state = self.state.0.lock().unwrap();
        state.running -= 1;
        if let Some(count) = key.and_then(|key| state.busy.get_mut(&key)) {
            *count -= 1;
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Works until `ended`. Returns whether the caller and the server are still there then.
    fn work(&self, ended: Instant, out: &TcpStream) -> bool {
        loop {
            if self.is_crashed() || sys::is_closed(out) {
                return false;
            }
            let left = ended.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            std::thread::sleep(left.min(POLL));
        }
    }

    /// Returns whether the server holds a key now.
    pub fn holds(&self, key: u64) -> bool {
        let now = Instant::now();
        let state = self.state.0.lock().unwrap();
        let mut grants = state.grants.iter();
        !self.is_crashed()
            && grants.any(|grant| grant.first <= key && key <= grant.last && now < grant.until)
    }

    /// Returns a key that this server and another one both hold now.
    pub fn shared_key(&self, other: &Self) -> Option<u64> {
        let now = Instant::now();
        let own: Vec<Grant> = self.state.0.lock().unwrap().grants.clone();
        let others: Vec<Grant> = other.state.0.lock().unwrap().grants.clone();
        let is_valid = |grant: &&Grant| now < grant.until;
        own.iter().filter(is_valid).find_map(|one| {
            let mut valid = others.iter().filter(is_valid);
            let shared = valid.find(|two| one.first <= two.last && two.first <= one.last)?;
            Some(one.first.max(shared.first))
        })
    }

    fn handle_order(&self, path: &str, request: &Message, out: &mut TcpStream) -> bool {
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            let ok = write_response(out, "421 Misdirected Request", "", b"");
            return ok.is_ok();
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let order = Json::parse(&body).unwrap_or(Json::Null);
        let number = |name: &str| order.get(name).and_then(Json::number).unwrap_or(0);
        let (first, last, fence) = (number("from"), number("target"), number("fence"));
        let mut state = self.state.0.lock().unwrap();
        if path == "/release" {
            remove_keys(&mut state.grants, first, last);
            while state.busy.range(first..=last).any(|(_, count)| *count > 0) {
                state = self.state.1.wait_timeout(state, POLL).unwrap().0;
            }
            drop(state);
            self.record.add(format!("release {first}-{last} fence {fence} at {}", self.id));
            return write_response(out, "200 OK", "x-handover: 5c0e7a21\r\n", b"").is_ok();
        }
        let hold = order.get("hold_time").and_then(Json::text).unwrap_or("0ms");
        let hold: u64 = hold.trim_end_matches("ms").parse().unwrap_or(0);
        let overlaps = |seen: &&(u64, u64, u64)| seen.0 <= last && first <= seen.1;
        let highest = state.fences.iter().filter(overlaps).map(|seen| seen.2).max();
        if highest.is_some_and(|highest| highest > fence) {
            drop(state);
            self.record.add(format!("409 {first}-{last} fence {fence} at {}", self.id));
            return write_response(out, "409 Conflict", "", b"").is_ok();
        }
        state.fences.retain(|seen| (seen.0, seen.1) != (first, last));
        state.fences.push((first, last, fence));
        remove_keys(&mut state.grants, first, last);
        state.grants.push(Grant {
            first,
            last,
            fence,
            until: Instant::now() + Duration::from_millis(hold),
        });
        drop(state);
        self.record
            .add(format!("grant {first}-{last} fence {fence} hold {hold} at {}", self.id));
        write_response(out, "200 OK", "", b"").is_ok()
    }
}

/// Removes a range of keys from all grants; their other keys stay granted.
fn remove_keys(grants: &mut Vec<Grant>, first: u64, last: u64) {
    let mut kept = Vec::new();
    for grant in grants.drain(..) {
        if grant.last < first || last < grant.first {
            kept.push(grant);
            continue;
        }
        if grant.first < first {
            kept.push(Grant { last: first - 1, ..grant });
        }
        if grant.last > last {
            kept.push(Grant { first: last + 1, ..grant });
        }
    }
    *grants = kept;
}
