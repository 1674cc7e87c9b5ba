//! What the scenarios share: the record, the manifest, the fronts and simple callers.

use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::front::{Front, Limits, free_octet};
use crate::http::{Conn, Message};
use crate::json::{self, J};
use crate::server::{HEARTBEAT, Server};
use crate::store::Store;

pub const HOST: &str = "forms.example";

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str, scenario: &str, trouble: bool) -> Self {
        let file = File::create(path).expect("the record");
        let record = Self { file: Arc::new(Mutex::new(file)), started: Instant::now() };
        record.line(format!("scenario {scenario}, trouble {trouble}"));
        record
    }

    pub fn line(&self, text: String) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}

/// A route of the manifest.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
    pub target_ms: u32,
}

/// Returns a manifest of these routes, and of services that are sharded or not.
pub fn manifest(version: u32, routes: &[Route<'_>], services: &[(&str, bool)]) -> J {
    let mut entries = Vec::new();
    for one in routes {
        entries.push(format!(
            r#"{{"entryKind":"routes","metadata":{{"name":"{}"}},"spec":{{"host":"{HOST}","pathPrefix":"{}","kind":"{}","timeout":"{}ms","targetLatency":"{}ms","priority":1,"service":"{}","attempts":2}}}}"#,
            one.name, one.prefix, one.kind, one.timeout_ms, one.target_ms, one.service
        ));
    }
    for (name, sharded) in services {
        entries.push(format!(
            r#"{{"entryKind":"services","metadata":{{"name":"{name}"}},"spec":{{"healthPath":"/health","maxConns":4000,"protocol":"h1","tls":false,"sharded":{sharded}}}}}"#
        ));
    }
    entries.push(
        r#"{"entryKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}"#
            .into(),
    );
    let text = format!(r#"{{"version":"r{version}","resources":[{}]}}"#, entries.join(","));
    json::parse(&text).expect("a manifest")
}

/// The store, and the fronts with an address of the store for each.
pub struct World {
    pub store: Arc<Store>,
    pub fronts: Vec<Front>,
    pub servers: Vec<Arc<Server>>,
    dir: PathBuf,
}

impl World {
    pub fn new(fronts: usize, limits: Limits) -> Self {
        let dir = std::env::temp_dir().join(format!("carawayrill-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let (store, addresses) = Store::start(fronts);
        let expiring = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                expiring.expire(HEARTBEAT * 3);
            }
        });
        let octet = free_octet();
        let fronts = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| Front::new(&dir, octet, index, *address, limits))
            .collect();
        Self { store, fronts, servers: Vec::new(), dir }
    }

    pub fn start_fronts(&mut self) -> Result<(), String> {
        for front in &mut self.fronts {
            front.start();
        }
        self.wait(Duration::from_secs(20), "all fronts are ready", |world| {
            world.fronts.iter().all(Front::is_ready)
        })
    }

    /// Waits until a condition holds.
    pub fn wait(
        &self,
        most: Duration,
        what: &str,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<(), String> {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if holds(self) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("not in time: {what}"))
    }

    /// Returns the index of the front that the stored lease names.
    pub fn granter(&self) -> Option<usize> {
        let lease = self.store.spec("carawayrill-leases", "granter")?;
        if lease.get("released") == Some(&J::Bool(true)) {
            return None;
        }
        let name = lease.text("front")?;
        self.fronts.iter().position(|front| front.name == name)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            for front in &mut self.fronts {
                front.kill();
            }
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// One client attempt on a new connection.
pub fn ask(
    to: SocketAddr,
    id: &str,
    method: &str,
    path: &str,
    key: Option<u64>,
    deadline: Duration,
    body: &[u8],
) -> Option<Message> {
    let mut conn = Conn::open(to, deadline).ok()?;
    let mut headers = vec![
        ("host", HOST.to_owned()),
        ("x-request-id", id.to_owned()),
        ("x-deadline-ms", deadline.as_millis().to_string()),
    ];
    headers.extend(key.map(|key| ("x-shard-key", key.to_string())));
    conn.write(&format!("{method} {path} HTTP/1.1"), &headers, body).ok()?;
    conn.read().ok()
}
