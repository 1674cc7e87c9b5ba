//! The platform around the fronts: the store, the servers' registrations, and callers.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::front::Front;
use crate::front::Sizes;
use crate::http;
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;

/// How often a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(870);

/// A registered server and its heartbeats since it fell silent.
#[derive(Debug)]
struct Registration {
    server: Server,
    silent: u32,
    is_lost: bool,
}

/// A deployment of stand-ins and fronts.
#[derive(Debug, Clone)]
pub struct Platform {
    pub store: Store,
    registrations: Arc<Mutex<Vec<Registration>>>,
    dir: PathBuf,
}

impl Platform {
    /// Starts the store with a manifest, and a folder for settings and logs.
    pub fn start(manifest: &str) -> Self {
        let name = format!("carawayrill-review-{}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let platform = Self {
            store: Store::start(),
            registrations: Arc::default(),
            dir,
        };
        platform.store.put("config", "main", manifest);
        let beating = platform.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        platform
    }

    /// Registers a server.
    pub fn register(&self, server: &Server) {
        self.store.put("servers", &server.id, &server.entry());
        self.registrations.lock().unwrap().push(Registration {
            server: server.clone(),
            silent: 0,
            is_lost: false,
        });
    }

    /// Loses a server. Its entry is removed after three heartbeats of silence.
    pub fn lose(&self, id: &str) {
        for one in self.registrations.lock().unwrap().iter_mut() {
            if one.server.id == id {
                one.server.lose();
                one.is_lost = true;
            }
        }
    }

    /// Writes the entries again. An entry does not change when only its `seq` would.
    fn beat(&self) {
        let mut registrations = self.registrations.lock().unwrap();
        for one in registrations.iter_mut() {
            if !one.is_lost {
                self.store.put("servers", &one.server.id, &one.server.entry());
                continue;
            }
            one.silent += 1;
            if one.silent == 3 {
                self.store.remove("servers", &one.server.id);
            }
        }
    }

    /// Starts fronts and waits until they are ready.
    pub fn start_fronts(&self, count: u8, sizes: Sizes) -> Option<Vec<Front>> {
        let mut fronts: Vec<Front> = (1..=count)
            .map(|number| Front::new(&self.dir, number, self.store.address, sizes))
            .collect();
        for front in &mut fronts {
            front.start();
        }
        let within = Duration::from_secs(12);
        let all = fronts.iter().all(|front| front.wait_ready(within));
        all.then_some(fronts)
    }

    /// Removes the folder of settings and logs.
    pub fn clean(&self) {
        let kept = std::env::var("KEEP").is_ok();
        if kept {
            println!("settings and logs: {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    pub start: String,
    pub host: String,
    pub time_limit_ms: u64,
    /// How long the server works on it.
    pub work_ms: u64,
    pub key: Option<u16>,
    pub body: Arc<Vec<u8>>,
}

/// Sends a request to a front and records its answer. Returns the status, 0 without an answer.
pub fn send(front: &Front, call: &Call, record: &Record) -> u16 {
    send_to(front.listen, &front.name, call, record)
}

/// Sends a request to an address.
pub fn send_to(to: std::net::SocketAddr, name: &str, call: &Call, record: &Record) -> u16 {
    let key = call.key.map_or(String::new(), |key| format!("x-shard-key: {key}\r\n"));
    let head = format!(
        "host: {}\r\nx-request-id: {}\r\nx-deadline-ms: {}\r\nx-work-ms: {}\r\n{key}",
        call.host, call.id, call.time_limit_ms, call.work_ms
    );
    record.add(format!("send {} to {name}", call.id));
    let timeout = Duration::from_millis(call.time_limit_ms);
    match http::call(to, &call.start, &head, &call.body, timeout) {
        Ok(response) => {
            let own = response.header("x-response-signature").map_or("own ", |_| "");
            let reason = String::from_utf8_lossy(&response.body).into_owned();
            let reason: String = reason.chars().take(40).collect();
            let status = response.status();
            record.add(format!("got {} {own}{status} {reason}", call.id));
            status
        }
        Err(err) => {
            record.add(format!("got {} nothing: {err}", call.id));
            0
        }
    }
}

/// Numbers that look random and are the same in each run.
#[derive(Debug, Clone)]
pub struct Numbers(pub u64);

impl Numbers {
    /// Returns a number below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }
}
