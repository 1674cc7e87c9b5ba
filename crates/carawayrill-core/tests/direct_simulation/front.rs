//! A simulated front that may be the granter. It drives the decisions as a gateway does, without
//! I/O.

use std::collections::BTreeSet;
use std::time::Duration;

use carawayrill_core::direct::demand::KeyDemand;
use carawayrill_core::direct::granter::Action;
use carawayrill_core::direct::granter::Config;
use carawayrill_core::direct::granter::Granter;
use carawayrill_core::direct::granter::Inputs;
use carawayrill_core::direct::granter::OrderId;
use carawayrill_core::direct::granter::OrderResult;
use carawayrill_core::direct::granter::SpanOrder;
use carawayrill_core::direct::granter::StoredSpans;
use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::lease::Claim;
use carawayrill_core::direct::lease::Lease;
use carawayrill_core::direct::lease::LeaseView;
use carawayrill_core::direct::rebalance::Capacities;
use carawayrill_core::direct::servers::Servers;
use carawayrill_core::direct::spans::SpanRecord;
use carawayrill_core::id::Era;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::store::Found;
use super::store::PutResult;
use super::store::Store;
use super::store::StoreUnreachable;

const LEASE: &str = "lease";
const SPANS: &str = "spans";
const RENEWAL: Duration = Duration::from_millis(500);
const RETRY: Duration = Duration::from_millis(120);

#[derive(Debug)]
pub struct Front {
    at: usize,
    /// Identifies the current granter of this front, also across restarts.
    pub run: u64,
    pub frozen_until: Time,
    view: LeaseView,
    granter: Option<Granter>,
    demand: KeyDemand,
    /// The record that is being written, with the expected version, until its result is known.
    writing: Option<(StoredVersion, SpanRecord)>,
    next_lease_call: Time,
    next_write: Time,
    store_unreachable: bool,
}

fn view(at: usize, run: u64) -> LeaseView {
    let own = Lease {
        front: format!("front-{at}").into(),
        run,
        address: format!("127.0.0.1:{}", 1_000 + at)
            .parse()
            .expect("valid address"),
        length_ms: 2_000,
        renewals: 0,
        released: false,
        era: Era::default(),
        peer_key: None,
    };
    LeaseView::new(own, false)
}

fn read_lease(found: &Found) -> Option<Lease> {
    serde_json::from_str(&found.value).ok()
}

/// Returns the stored spans. A missing record may be lost in all eras but the first.
fn read_spans(found: &Found, lease: StoredVersion) -> StoredSpans {
    StoredSpans {
        version: found.version,
        record: serde_json::from_str(&found.value).ok(),
        may_be_lost: found.version.era != Era::default(),
        lease,
    }
}

fn service() -> ServiceId {
    "forms".parse().expect("valid name")
}

impl Front {
    pub fn new(at: usize) -> Self {
        Self {
            at,
            run: 1,
            frozen_until: Time(0),
            view: view(at, 1),
            granter: None,
            demand: KeyDemand::new(Duration::from_secs(1)),
            writing: None,
            next_lease_call: Time(0),
            next_write: Time(0),
            store_unreachable: false,
        }
    }

    pub fn is_frozen(&self, now: Time) -> bool {
        now < self.frozen_until
    }

    /// Restarts the process: all its state is lost.
    pub fn restart(&mut self, now: Time) {
        *self = Self {
            run: self.run + 1,
            view: view(self.at, self.run + 1),
            frozen_until: now + Duration::from_millis(600),
            ..Self::new(self.at)
        };
    }

    pub fn ended(&mut self, id: OrderId, result: &OrderResult, now: Time) {
        if let Some(granter) = &mut self.granter {
            granter.order_ended(id, result, now);
        }
    }

    pub fn tick(
        &mut self,
        now: Time,
        servers: &Servers,
        store: &mut Store,
        rng: &mut ChaCha8Rng,
    ) -> Vec<SpanOrder> {
        if !self.view.holds(now) {
            self.granter = None;
            self.writing = None;
        }
        if now >= self.next_lease_call {
            self.update_lease(now, store, rng);
        }
        if self.granter.is_some() && !self.view.holds(now) {
            self.granter = None;
        }
        self.settle_write(now, store, rng);
        self.decide(now, servers, store, rng)
    }

    fn update_lease(&mut self, now: Time, store: &mut Store, rng: &mut ChaCha8Rng) {
        self.next_lease_call = now + RETRY;
        if self.granter.is_none() {
            let Ok(found) = store.get(self.at, LEASE, now) else {
                return;
            };
            self.observe(&found, now);
        }
        let claim = self.view.claim(now);
        let Some(claim) = claim else {
            return;
        };
        let value = serde_json::to_string(&claim.lease).expect("lease serialises");
        match store.put(self.at, LEASE, value, claim.expected, now, rng) {
            PutResult::Done(version) => self.claim_stored(claim, version, now, store),
            PutResult::NotDone => self.store_unreachable = true,
            PutResult::Conflict | PutResult::Unknown => {
                self.store_unreachable = true;
                if let Ok(found) = store.get(self.at, LEASE, now) {
                    let is_same_era = found.version.era == claim.expected.era;
                    if is_same_era && read_lease(&found).as_ref() == Some(&claim.lease) {
                        self.claim_stored(claim, found.version.version, now, store);
                    } else {
                        self.observe(&found, now);
                    }
                }
            }
        }
    }

    fn observe(&mut self, found: &Found, now: Time) {
        self.view.observe(found.version, read_lease(found), now);
        let may_renew = self.view.holds(now) && self.view.claim(now).is_some();
        if !self.view.is_own() && !may_renew {
            self.view.end_term();
            self.granter = None;
        }
    }

    fn claim_stored(&mut self, claim: Claim, version: Version, now: Time, store: &Store) {
        let _term = self.view.claim_stored(claim, version, now, now);
        self.store_unreachable = false;
        self.next_lease_call = now + RENEWAL;
        let Ok(found) = store.get(self.at, SPANS, now) else {
            return;
        };
        if let Some(granter) = &mut self.granter {
            if granter.era() != found.version.era {
                granter.enter_era(found.version, self.view.version());
                self.writing = None;
            }
            return;
        }
        let stored = read_spans(&found, self.view.version());
        self.writing = None;
        // Results of orders of a former granter must not reach the new one.
        self.run += 1;
        self.granter = Some(Granter::new(service(), Config::default(), stored, now));
    }

    /// Retries the write of the pending record until its result is known.
    fn settle_write(&mut self, now: Time, store: &mut Store, rng: &mut ChaCha8Rng) {
        let Some((expected, record)) = self.writing.take() else {
            return;
        };
        if now < self.next_write || self.granter.is_none() {
            self.writing = Some((expected, record));
            return;
        }
        self.next_write = now + RETRY;
        let value = serde_json::to_string(&record).expect("record serialises");
        match store.put(self.at, SPANS, value.clone(), expected, now, rng) {
            PutResult::Done(version) => self.record_stored(version, now),
            PutResult::NotDone => self.writing = Some((expected, record)),
            PutResult::Conflict | PutResult::Unknown => match store.get(self.at, SPANS, now) {
                // The record is written again once the lease was renewed in the new era.
                Ok(found) if found.version.era != expected.era => {}
                Ok(found) if found.value == value => {
                    self.record_stored(found.version.version, now);
                }
                Ok(found) if found.version == expected => {
                    self.writing = Some((expected, record));
                }
                Ok(found) => {
                    // Another granter has written the object, so this record can't be stored any
                    // more.
                    let stored = read_spans(&found, self.view.version());
                    if let Some(granter) = &mut self.granter {
                        granter.adopt(stored, now);
                    }
                }
                Err(StoreUnreachable) => self.writing = Some((expected, record)),
            },
        }
    }

    fn record_stored(&mut self, version: Version, now: Time) {
        if let Some(granter) = &mut self.granter {
            granter.record_stored(version, now);
        }
    }

    fn decide(
        &mut self,
        now: Time,
        servers: &Servers,
        store: &mut Store,
        rng: &mut ChaCha8Rng,
    ) -> Vec<SpanOrder> {
        if rng.random_bool(0.02) {
            self.demand.add(rng.random_range(0..=u16::MAX), 40);
            self.demand.advance(Duration::from_millis(150));
        }
        let mut capacities = Capacities::default();
        for server in servers.iter().filter(|server| !server.draining) {
            capacities.set(server.id.clone(), 60.0);
        }
        let Some(granter) = &mut self.granter else {
            return Vec::new();
        };
        let actions = granter.tick(&Inputs {
            now,
            servers,
            demand: &self.demand,
            capacities: &capacities,
            excluded: &BTreeSet::new(),
            store_unreachable: self.store_unreachable,
            stopping: false,
        });
        let mut orders = Vec::new();
        for action in actions {
            match action {
                Action::Write { expected, record } => {
                    self.writing = Some((expected, record));
                    self.next_write = now;
                    self.settle_write(now, store, rng);
                }
                Action::Order(order) => orders.push(order),
            }
        }
        orders
    }
}
