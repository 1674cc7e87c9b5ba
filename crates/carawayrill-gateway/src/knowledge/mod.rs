//! What this front knows of the store's objects: the manifest, the servers and the evacuations.
//!
//! Changes come from this front's own watches or from the granter, which relays those that its own
//! watches return. Both ways lead through [`KnownKind`], which keeps the order of the store's
//! history: late and repeated changes have no effect.

mod evacuations;
mod handler;
mod known_kind;
mod manifest;
mod servers;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_core::direct::evacuation;
use carawayrill_core::direct::knowledge::Delta;
use carawayrill_core::direct::knowledge::RelayBudget;
use carawayrill_core::time::Time;
use carawayrill_store::port::Object;

use self::evacuations::EvacuationHandler;
pub use self::known_kind::KnownKind;
use self::manifest::ManifestHandler;
use self::servers::ServerHandler;
use crate::clock;
use crate::port::StoreSchema;
use crate::state::Shared;
use crate::upstream::Upstream;

/// Where changes come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This front's own calls to the store.
    Store,
    /// The granter.
    Relay,
}

impl Source {
    /// Returns the name in events and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Relay => "relay",
        }
    }
}

/// The changes that a granter relays to a front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedChanges {
    /// The changed objects.
    pub delta: Delta<Object>,
    /// The time since the granter knew that nothing else had changed.
    pub age: Duration,
    /// For how long missing servers are retained, because the granter noticed a store outage.
    pub retention: Duration,
    /// Whether the objects are all that there are, and not those that changed.
    pub is_complete: bool,
}

/// All kinds of objects that a front keeps up with.
#[derive(Debug)]
pub struct Knowledge {
    /// The manifest.
    pub manifest: Arc<KnownKind>,
    /// The servers.
    pub servers: Arc<KnownKind>,
    /// The evacuations, if the deployment has any.
    pub evacuations: Option<Arc<KnownKind>>,
    /// The bytes of complete lists that this front may relay as the granter.
    relay_budget: Mutex<RelayBudget>,
}

impl Knowledge {
    /// Creates the knowledge of a front that has read nothing.
    #[must_use]
    pub fn new(
        shared: &Arc<Shared>,
        schema: &Arc<dyn StoreSchema>,
        upstream: &Arc<Upstream>,
    ) -> Self {
        let manifest = ManifestHandler::new(Arc::clone(shared), Arc::clone(schema));
        let servers =
            ServerHandler::new(Arc::clone(shared), Arc::clone(schema), Arc::clone(upstream));
        let cfg = &shared.cfg;
        let known = |kind, handler, known_within| {
            let shared = Arc::clone(shared);
            Arc::new(KnownKind::new(shared, kind, handler, known_within))
        };
        let evacuations = cfg.evacuation_bound.map(|bound| {
            let handler = EvacuationHandler::new(Arc::clone(shared));
            let known_within = evacuation::known_within(bound);
            known(schema.evacuation_kind(), Box::new(handler), known_within)
        });
        Self {
            manifest: known(schema.manifest_kind(), Box::new(manifest), cfg.drain),
            servers: known(schema.server_kind(), Box::new(servers), cfg.drain),
            evacuations,
            relay_budget: Mutex::new(RelayBudget::new(clock::now())),
        }
    }

    /// Returns whether this front may relay a complete list of this many bytes now, as the granter.
    pub fn try_relay_complete(&self, bytes: usize, now: Time) -> bool {
        let budget = self.relay_budget.lock();
        let mut budget = budget.unwrap_or_else(PoisonError::into_inner);
        budget.try_take(bytes as u64, now)
    }

    /// Iterates over all kinds.
    pub fn kinds(&self) -> impl Iterator<Item = &KnownKind> {
        let evacuations = self.evacuations.as_deref();
        [&*self.manifest, &*self.servers]
            .into_iter()
            .chain(evacuations)
    }

    /// Returns the kind with this name.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&KnownKind> {
        self.kinds().find(|known| known.kind() == name)
    }
}
