//! The stand-in of the platform's list of VMs. Changes show after a lag.

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

/// Connections that the stand-in takes.
const MAX_CONNECTIONS: usize = 10_000;

/// A change of one VM's state, as put to `/control/vms/{name}`.
#[derive(Debug, Clone, Copy, Deserialize)]
struct StateChange {
    state: VmState,
}

/// One VM: the state shown and the one to come.
#[derive(Debug, Clone, Copy)]
struct VmEntry {
    visible: Option<VmState>,
    next: VmState,
    /// When `next` shows.
    visible_from: Instant,
}

/// The list and its HTTP face.
#[derive(Debug, Clone)]
pub struct VmListStandIn {
    lag: Duration,
    entries: Arc<Mutex<BTreeMap<CompactString, VmEntry>>>,
}

impl VmListStandIn {
    /// Makes an empty list whose changes show after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            entries: Arc::default(),
        }
    }

    /// Sets the state of the VM named `name`, to be shown after the lag.
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

    /// Returns the list as shown now.
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
                Ok(order) => {
                    self.set(name, order.state);
                    serve::text(StatusCode::OK, "")
                }
                Err(answer) => answer,
            });
        }
        Ok(match path.as_str() {
            "/vms" => serve::json(&self.list()),
            _ => serve::text(StatusCode::NOT_FOUND, "no such call"),
        })
    }
}

/// Serves `list` on `listener`.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn start(listener: TcpListener, list: VmListStandIn) -> io::Result<RunningEndpoint> {
    serve::serve(listener, Connections::new(MAX_CONNECTIONS), list)
}
