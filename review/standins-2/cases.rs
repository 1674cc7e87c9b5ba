//! The cases, and what they have in common.

mod old_life;
mod silent_store;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::fronts::Call;
use crate::fronts::Front;
use crate::fronts::Outcome;
use crate::json::Json;
use crate::record::Record;
use crate::servers::OwnerWatch;
use crate::servers::Server;
use crate::store::Store;

/// `heartbeat` of the settings.
pub const BEAT: Duration = Duration::from_millis(1_500);
/// The keyed service, and the host of its route.
pub const KEYED: &str = "huvo11a";
pub const KEYED_HOST: &str = "hulo84.example";
/// A service without keys, and the host of its route, whose requests may run once only.
pub const PLAIN: &str = "wuno96b";
pub const PLAIN_HOST: &str = "jepu9.example";

/// What was broken, or nothing.
pub type Verdict = Result<Option<String>, String>;

pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    match case {
        "old-life" => old_life::run(trouble, record),
        "silent-store" => silent_store::run(trouble, record),
        _ => Err(format!("no such case: {case}")),
    }
}

/// A small deployment: the store, servers of a keyed and of a plain service, and fronts.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub servers: Arc<Mutex<Vec<Server>>>,
    pub fronts: Vec<Front>,
    pub owners: OwnerWatch,
    dir: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.fronts.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Deployment {
    pub fn start(
        fronts: u8,
        keyed: usize,
        plain: usize,
        work: Duration,
        record: &Record,
    ) -> Result<Self, String> {
        let dir = std::env::temp_dir().join(format!("carawayrill-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|err| err.to_string())?;
        let store = Store::start(BEAT * 3, record).map_err(|err| err.to_string())?;
        store.put("config", "main", &manifest());
        let servers = Arc::default();
        let owners = OwnerWatch::start(&servers, record);
        let mut deployment = Self {
            record: record.clone(),
            store,
            servers,
            fronts: Vec::new(),
            owners,
            dir,
        };
        for number in 0..keyed {
            let server = deployment.server(&format!("i-keyed{number}"), 1, KEYED, true, work)?;
            server.report(&deployment.store, BEAT);
        }
        for number in 0..plain {
            let server = deployment.server(&format!("i-plain{number}"), 1, PLAIN, false, work)?;
            server.report(&deployment.store, BEAT);
        }
        for number in 1..=fronts {
            let mut front =
                Front::new(number, deployment.store.address, &deployment.dir, record)?;
            front.start()?;
            deployment.fronts.push(front);
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    pub fn server(
        &self,
        id: &str,
        life: u32,
        service: &str,
        keyed: bool,
        work: Duration,
    ) -> Result<Server, String> {
        let server = Server::start(id, life, service, keyed, work, &self.record)
            .map_err(|err| err.to_string())?;
        self.servers.lock().unwrap().push(server.clone());
        Ok(server)
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(30);
        while !self.fronts.iter().all(Front::is_ready) {
            if Instant::now() > until {
                return Err("the fronts are not ready after 30 s".into());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.line("all fronts are ready");
        Ok(())
    }

    pub fn front_addresses(&self) -> Vec<(String, SocketAddr)> {
        let fronts = self.fronts.iter();
        fronts
            .map(|front| (front.name.clone(), front.front))
            .collect()
    }

    /// Waits until a time of the run.
    pub fn wait_until_ms(&self, ms: u64) {
        let left = ms.saturating_sub(self.record.ms());
        std::thread::sleep(Duration::from_millis(left));
    }
}

/// A call on the keyed route.
pub fn keyed_call(number: u64) -> Call {
    Call {
        method: "GET",
        host: KEYED_HOST,
        path: format!("/leny950/{number:x}"),
        // Spreads the calls over all keys.
        key: Some(number.wrapping_mul(40_503) % 65_536),
        time_limit: Duration::from_millis(2_500),
        body: Vec::new(),
    }
}

/// A call with the rates of the kinds of requests on the sheet of chikushi-feed, at a time at which all
/// kinds but `order-renew` go to the keyed service: 224, 21.2 and 62.3 a second, and 83.1 of
/// `order-renew`, which is 0.213 of all.
pub fn mixed_call(number: u64) -> Call {
    if number.wrapping_mul(618) % 1_000 < 213 {
        plain_call(number)
    } else {
        keyed_call(number)
    }
}

/// A call on the plain route.
pub fn plain_call(number: u64) -> Call {
    Call {
        method: "POST",
        host: PLAIN_HOST,
        path: format!("/puka111/{number:x}"),
        key: Some(number.wrapping_mul(40_503) % 65_536),
        time_limit: Duration::from_millis(3_000),
        body: b"an order".to_vec(),
    }
}

/// Returns the name of the front that holds the lease, as the store says.
pub fn granter(store: &Store) -> Option<String> {
    let lease = store.spec("carawayrill-leases", "granter")?;
    Some(lease.get("front")?.text()?.to_owned())
}

fn manifest() -> Json {
    let text = format!(
        r#"{{"version":"r7","baseVersion":"r5","resources":[
{{"entryKind":"routes","metadata":{{"name":"r-dnn2ctn"}},"spec":{{"host":"{PLAIN_HOST}","pathPrefix":"/puka111/","kind":"unsafe","timeout":"1500ms","targetLatency":"500ms","priority":1,"service":"{PLAIN}","attempts":2}}}},
{{"entryKind":"routes","metadata":{{"name":"r-u3fexd9"}},"spec":{{"host":"{KEYED_HOST}","pathPrefix":"/leny950/","kind":"safe","timeout":"1200ms","targetLatency":"400ms","priority":2,"service":"{KEYED}","attempts":2}}}},
{{"entryKind":"services","metadata":{{"name":"{KEYED}"}},"spec":{{"healthPath":"/health","maxConns":49,"protocol":"h1","tls":false,"sharded":true,"warm":"5s","grants":"invoke"}}}},
{{"entryKind":"services","metadata":{{"name":"{PLAIN}"}},"spec":{{"healthPath":"/health","maxConns":49,"protocol":"h1","tls":false}}}},
{{"entryKind":"limits","metadata":{{}},"spec":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}}}]}}"#
    );
    Json::parse(&text).unwrap_or(Json::Null)
}

/// Writes how the requests ended, in numbers and, for the first of each kind, in full.
pub fn record_outcomes(outcomes: &[Outcome], record: &Record) {
    let mut counts = std::collections::BTreeMap::new();
    for outcome in outcomes {
        let label = if outcome.status == 0 {
            outcome.note.clone()
        } else {
            outcome.status.to_string()
        };
        *counts.entry(label).or_insert(0_u32) += 1;
    }
    for outcome in outcomes {
        record.line(&format!(
            "request {} to {}: sent {}, ended {}: {} {}",
            outcome.id,
            outcome.front,
            outcome.sent_ms,
            outcome.ended_ms,
            outcome.status,
            outcome.note
        ));
    }
    record.line(&format!("answers: {counts:?}"));
}
