//! The stand-in for the platform's list of VMs. Changes become visible after a fixed lag.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use carawayrill_store::port::Vm;
use carawayrill_store::port::VmState;
use compact_str::CompactString;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::http::StatusCode;
use serde::Deserialize;
use tokio::net::TcpListener;

use crate::connections::Connections;
use crate::serve;
use crate::serve::RunningEndpoint;

/// The maximum number of open connections.
const MAX_CONNECTIONS: usize = 10_000;

/// A new state of one VM, as put to `/control/vms/{name}`.
#[derive(Debug, Clone, Copy, Deserialize)]
struct StateChange {
    state: VmState,
}

/// The state of one VM before and after its last change.
#[derive(Debug, Clone, Copy)]
struct VmEntry {
    visible: Option<VmState>,
    next: VmState,
    /// When `next` becomes visible.
    visible_from: Instant,
}

/// The VM list and its HTTP endpoint. Clones share the same list.
#[derive(Debug, Clone)]
pub struct VmListStandIn {
    lag: Duration,
    entries: Arc<Mutex<BTreeMap<CompactString, VmEntry>>>,
}

impl VmListStandIn {
    /// Creates an empty list whose changes become visible after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            entries: Arc::default(),
        }
    }

    /// Sets the state of the VM `name`. The change becomes visible after the lag.
    pub fn set(&self, name: &str, state: VmState) {
        let now = Instant::now();
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let visible = entries.get(name).and_then(|entry| entry.visible_at(now));
        let entry = VmEntry {
            visible,
            next: state,
            visible_from: now + self.lag,
        };
        entries.insert(name.into(), entry);
    }

    /// Returns the VMs with the states that are visible now.
    #[must_use]
    pub fn list(&self) -> Vec<Vm> {
        let now = Instant::now();
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let vms = entries.iter().filter_map(|(name, entry)| {
            let state = entry.visible_at(now)?;
            Some(Vm {
                name: name.clone(),
                state,
            })
        });
        vms.collect()
    }
}

impl VmEntry {
    fn visible_at(&self, now: Instant) -> Option<VmState> {
        if now >= self.visible_from {
            return Some(self.next);
        }
        self.visible
    }
}

impl Endpoint for VmListStandIn {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        let path = req.uri().path().to_owned();
        if let Some(name) = path.strip_prefix("/control/vms/") {
            return Ok(match serve::read_json::<StateChange>(&mut req).await {
                Ok(change) => {
                    self.set(name, change.state);
                    serve::text(StatusCode::OK, "")
                }
                Err(response) => response,
            });
        }
        Ok(match path.as_str() {
            "/vms" => serve::json(&self.list()),
            _ => serve::text(StatusCode::NOT_FOUND, "unknown path"),
        })
    }
}

/// Serves `list` on `listener`.
///
/// # Errors
///
/// Returns an error if the local address of the listener can't be read.
pub fn start(listener: TcpListener, list: VmListStandIn) -> io::Result<RunningEndpoint> {
    serve::serve(listener, Connections::new(MAX_CONNECTIONS), list)
}
