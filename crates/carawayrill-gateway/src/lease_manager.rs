//! Acquires, renews and releases the granter's lease.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::lease::Claim;
use carawayrill_core::direct::lease::Lease;
use carawayrill_core::direct::lease::LeaseView;
use carawayrill_core::direct::lease::TermId;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use carawayrill_core::time::millis;
use carawayrill_store::CallOutcome;
use carawayrill_store::Error;
use carawayrill_store::port::ObjectStore;
use carawayrill_telemetry::emit;
use rand::RngExt;
use tokio::sync::watch;

use crate::clock;
use crate::contact;
use crate::contact::GranterContact;
use crate::granter_runtime::GranterRuntime;
use crate::knowledge::Knowledge;
use crate::peer_keys;
use crate::port::SpanOrderSender;
use crate::state::Shared;
use crate::watcher::Dependency;

/// The name of the object that holds the lease.
const LEASE_OBJECT: &str = "carawayrill-leases/granter";
/// The time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout of a renewal. The time between the first failed renewal and the expiry of the lease
/// must suffice to extend all grants.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(350);
/// The delay before a failed renewal is retried.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(120);
/// How often a follower checks whether it must read the lease.
const FOLLOWER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which a follower without a connection to the granter reads the lease.
const LEASE_READ_INTERVAL: Duration = Duration::from_millis(400);
/// The same for the weaker fronts of a large fleet.
const LONGER_LEASE_READ_INTERVAL: Duration = Duration::from_millis(800);
/// How much longer than the strongest front a front with almost no processor time waits before it
/// claims a free lease.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(700);
/// How often a stopping granter tries to release the lease.
const MAX_RELEASE_ATTEMPTS: u32 = 4;
/// The maximum wait for moves to complete before the lease is released.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Manages this front's participation in the granter's lease.
#[derive(Debug)]
pub struct LeaseManager {
    shared: Arc<Shared>,
    knowledge: Arc<Knowledge>,
    store: Arc<dyn ObjectStore>,
    orders: Arc<dyn SpanOrderSender>,
    view: Mutex<LeaseView>,
    contact: GranterContact,
    granter_runtime: watch::Sender<Option<Arc<GranterRuntime>>>,
    stopping: watch::Sender<bool>,
}

impl LeaseManager {
    /// Creates a manager that has not read the lease yet.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        knowledge: Arc<Knowledge>,
        store: Arc<dyn ObjectStore>,
        orders: Arc<dyn SpanOrderSender>,
    ) -> Self {
        let own = Lease {
            front: shared.cfg.front.clone(),
            run: shared.cfg.incarnation,
            address: shared.cfg.peer,
            length_ms: millis(shared.cfg.lease_duration),
            renewals: 0,
            released: false,
            era: store.era(),
            peer_key: None,
        };
        let first_start = shared.cfg.first_start;
        Self {
            shared,
            knowledge,
            store,
            orders,
            view: Mutex::new(LeaseView::new(own, first_start)),
            contact: GranterContact::default(),
            granter_runtime: watch::Sender::new(None),
            stopping: watch::Sender::new(false),
        }
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, LeaseView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings and tables of this front.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns what this front knows of the store's objects.
    #[must_use]
    pub fn knowledge(&self) -> &Arc<Knowledge> {
        &self.knowledge
    }

    /// Returns the granter's runtime if this front is the granter.
    #[must_use]
    pub fn granter_runtime(&self) -> Option<Arc<GranterRuntime>> {
        self.granter_runtime.borrow().clone()
    }

    /// Returns whether this front is the granter in this term, which never comes back once it has ended.
    #[must_use]
    pub fn is_in_term(&self, term: TermId) -> bool {
        self.view().term(clock::now()) == Some(term)
    }

    /// Returns the lease as last observed.
    #[must_use]
    pub fn current(&self) -> Option<Lease> {
        self.view().current().cloned()
    }

    /// Returns the version of the lease as last observed.
    #[must_use]
    pub fn version(&self) -> StoredVersion {
        self.view().version()
    }

    /// Returns whether the store was not restored since the first start of the whole system.
    #[must_use]
    pub fn is_first_era(&self) -> bool {
        self.view().is_first_era()
    }

    /// Records an update of the granter and the lease version in it.
    pub fn record_contact(&self, version: StoredVersion) {
        let now = clock::now();
        self.contact.record(now);
        let mut view = self.view();
        let lease = view.current().cloned();
        view.observe(version, lease, now);
    }

    /// Returns the time since the last update of the granter.
    #[must_use]
    pub fn time_since_contact(&self) -> Option<Duration> {
        self.contact.age(clock::now())
    }

    /// Returns the time without an update after which the granter counts as unreachable.
    #[must_use]
    pub fn contact_timeout(&self) -> Duration {
        contact::timeout(self.shared.tables().fronts.get())
    }

    /// Records that the stream to the granter has ended.
    pub fn clear_contact(&self) {
        self.contact.clear();
    }

    /// Claims, renews or follows the lease. Never returns.
    pub async fn run(self: Arc<Self>) {
        let mut dependency = Dependency::new("store-lease");
        let mut next_read = clock::now() + self.jitter(LEASE_READ_INTERVAL / 2);
        loop {
            let now = clock::now();
            self.stop_if_term_ended();
            self.update_decision_age(now);
            if self.granter_runtime().is_some() && self.shared.hands_over_when_cut_off() {
                self.give_up("this front reaches no server").await;
            }
            let wait = if self.granter_runtime().is_some() && self.may_renew(now) {
                self.renew(&mut dependency).await
            } else if self.contact.is_recent(self.contact_timeout(), now) || now < next_read {
                FOLLOWER_POLL_INTERVAL
            } else {
                let interval = if self.shared.waits_longer() {
                    LONGER_LEASE_READ_INTERVAL
                } else {
                    LEASE_READ_INTERVAL
                };
                next_read = now + interval + self.jitter(interval / 2);
                self.try_acquire(&mut dependency).await
            };
            tokio::time::sleep(wait).await;
        }
    }

    /// Returns whether this front may write the lease as its holder.
    ///
    /// After the store was restored from an older copy, the stored lease may name an earlier holder.
    fn may_renew(&self, now: Time) -> bool {
        let mut view = self.view();
        view.is_own() || (view.holds(now) && view.claim(now).is_some())
    }

    fn jitter(&self, max_jitter: Duration) -> Duration {
        max_jitter.mul_f64(self.shared.tables().rng.random_range(0.0..=1.0))
    }

    /// Stops the granter's runtime if its term has ended.
    fn stop_if_term_ended(&self) {
        if self
            .granter_runtime()
            .is_some_and(|runtime| !runtime.is_current())
        {
            self.stop_runtime("lost", "not renewed in time");
        }
    }

    /// Exports how long ago the granter of this front has last decided; 0 at the other fronts.
    fn update_decision_age(&self, now: Time) {
        let runtime = self.granter_runtime();
        let age = runtime.map_or(Duration::ZERO, |runtime| now.since(runtime.decided_at()));
        self.shared.metrics.decision_age.set(age.as_secs_f64());
    }

    /// Ends the term, and with it the granter's runtime.
    fn stop_runtime(&self, change: &'static str, reason: &'static str) {
        self.view().end_term();
        let stopped = self.granter_runtime.send_replace(None);
        self.set_granter(false);
        emit(EventKind::GranterLease {
            change: change.into(),
            version: self.version().version,
            term: stopped.map(|runtime| runtime.term()),
            reason: reason.into(),
        });
    }

    /// Renews the lease and returns the delay until the next step.
    async fn renew(&self, dependency: &mut Dependency) -> Duration {
        let claim = self.view().claim(clock::now());
        let Some(claim) = claim.filter(|claim| claim.renews.is_some()) else {
            return Duration::ZERO;
        };
        match tokio::time::timeout(RENEWAL_TIMEOUT, self.write_claim(claim)).await {
            Ok(Ok(Some(_term))) => {
                dependency.record_success();
                self.set_store_unreachable(false);
                RENEWAL_INTERVAL
            }
            Ok(Ok(None)) => {
                dependency.record_success();
                log::warn!("the lease was renewed after its end; claiming it anew");
                Duration::ZERO
            }
            Ok(Err(err)) if err.conflicting_version().is_some() => self.after_renewal_conflict(),
            Ok(Err(err)) => self.after_failed_renewal(dependency, &err),
            Err(elapsed) => self.after_failed_renewal(dependency, &elapsed),
        }
    }

    /// Returns the delay before the next renewal after one that failed or whose outcome is unknown.
    fn after_failed_renewal(
        &self,
        dependency: &mut Dependency,
        cause: &dyn std::fmt::Display,
    ) -> Duration {
        let _wait = dependency.record_failure(&self.shared, cause);
        self.set_store_unreachable(true);
        RENEWAL_RETRY_DELAY
    }

    /// Returns the delay before the next renewal after a version conflict. The version was written
    /// either by an earlier renewal of this front whose response was lost, or by another front.
    fn after_renewal_conflict(&self) -> Duration {
        if self.may_renew(clock::now()) {
            return Duration::ZERO;
        }
        self.stop_runtime("lost", "another front wrote the lease");
        FOLLOWER_POLL_INTERVAL
    }

    fn set_store_unreachable(&self, unreachable: bool) {
        if let Some(granter_runtime) = self.granter_runtime() {
            granter_runtime.set_store_unreachable(unreachable);
        }
    }

    /// Writes a claim, and returns the term in which this front is the granter then. If the outcome is
    /// unknown, reads the lease back.
    async fn write_claim(&self, claim: Claim) -> Result<Option<TermId>, Error> {
        let sent_at = clock::now();
        if self.store.era() != claim.expected.era {
            let read = self.read_back(&claim, Error::conflict(Version(0))).await;
            return read.map(|_version| self.view().term(clock::now()));
        }
        let value =
            serde_json::to_vec(&claim.lease).map_err(|err| Error::malformed(err.to_string()))?;
        let written = self
            .store
            .put(LEASE_OBJECT, Bytes::from(value), claim.expected.version)
            .await;
        let version = match written {
            Ok(version) => version,
            Err(err)
                if err.conflicting_version().is_some() || err.outcome() == CallOutcome::Unknown =>
            {
                self.read_back(&claim, err).await?
            }
            Err(err) => return Err(err),
        };
        let term = self
            .view()
            .claim_stored(claim, version, sent_at, clock::now());
        self.learn_peer_key();
        Ok(term)
    }

    /// Checks whether the stored lease is the one of this claim.
    async fn read_back(&self, claim: &Claim, err: Error) -> Result<Version, Error> {
        let (version, lease) = self.read_lease().await?;
        if lease.as_ref() == Some(&claim.lease) && version.era == claim.expected.era {
            return Ok(version.version);
        }
        self.observe(version, lease);
        Err(err)
    }

    /// Applies a read of the lease, and learns the key of its holder.
    fn observe(&self, version: StoredVersion, lease: Option<Lease>) {
        self.view().observe(version, lease, clock::now());
        self.learn_peer_key();
    }

    /// Reads the lease and its version.
    async fn read_lease(&self) -> Result<(StoredVersion, Option<Lease>), Error> {
        let found = self.store.get(LEASE_OBJECT).await?;
        let era = self.store.era();
        let (version, lease) = peer_keys::decode_lease(found);
        Ok((StoredVersion { era, version }, lease))
    }

    /// Reads the lease, and claims it if possible.
    async fn try_acquire(self: &Arc<Self>, dependency: &mut Dependency) -> Duration {
        match self.read_lease().await {
            Ok((version, lease)) => {
                dependency.record_success();
                self.observe(version, lease);
            }
            Err(err) => return dependency.record_failure(&self.shared, &err),
        }
        let delay = self.claim_delay();
        let may_claim = self.view().claim(clock::now()).is_some();
        if !delay.is_zero() && may_claim {
            tokio::time::sleep(delay).await;
            if let Ok((version, lease)) = self.read_lease().await {
                self.observe(version, lease);
            }
        }
        if let Some(key) = peer_keys::generate() {
            self.view().set_peer_key(key);
        }
        let claim = self.view().claim(clock::now());
        let may_claim = !*self.stopping.borrow() && !self.shared.hands_over_when_cut_off();
        let Some(claim) = claim.filter(|_| may_claim) else {
            return FOLLOWER_POLL_INTERVAL;
        };
        match self.write_claim(claim).await {
            Ok(Some(term)) => {
                self.start_runtime(term).await;
                FOLLOWER_POLL_INTERVAL
            }
            Ok(None) => {
                log::warn!("the lease had run out when its claim was known to be stored");
                FOLLOWER_POLL_INTERVAL
            }
            Err(err) => {
                log::info!("could not claim the granter's lease: {err}");
                FOLLOWER_POLL_INTERVAL
            }
        }
    }

    /// Returns how long this front waits before it claims a free lease, so that stronger fronts can
    /// claim it first.
    fn claim_delay(&self) -> Duration {
        let strongest = self.shared.tables().strongest_cores.max(f64::MIN_POSITIVE);
        let share = (self.shared.cfg.cores / strongest).clamp(0.0, 1.0);
        MAX_CLAIM_DELAY.mul_f64(1.0 - share)
    }

    /// Publishes whether this front is the granter.
    fn set_granter(&self, is_granter: bool) {
        self.shared.metrics.granter.set(i64::from(is_granter));
        let mut tables = self.shared.tables();
        // Only one front may try requests that crash servers.
        tables.crashes.set_trier(is_granter);
    }

    async fn start_runtime(self: &Arc<Self>, term: TermId) {
        emit(EventKind::GranterLease {
            change: "taken".into(),
            version: self.version().version,
            term: Some(term),
            reason: "free".into(),
        });
        let loading = GranterRuntime::load(
            Arc::clone(self),
            term,
            Arc::clone(&self.store),
            Arc::clone(&self.orders),
        );
        match loading.await {
            Ok(granter_runtime) => {
                self.set_granter(true);
                self.granter_runtime
                    .send_replace(Some(Arc::clone(&granter_runtime)));
                tokio::spawn(granter_runtime.run());
            }
            Err(err) => log::warn!("could not read the stored spans: {err}"),
        }
    }

    /// Releases the lease after moves have completed.
    pub async fn stop(&self) {
        self.stopping.send_replace(true);
        let Some(granter_runtime) = self.granter_runtime() else {
            return;
        };
        granter_runtime.finish_moves(HANDOVER_TIMEOUT).await;
        self.give_up("this front stops").await;
    }

    /// Stops to be the granter, and releases the lease.
    async fn give_up(&self, reason: &'static str) {
        self.stop_runtime("given_up", reason);
        for _attempt in 0..MAX_RELEASE_ATTEMPTS {
            let claim = self.view().release();
            let Some(claim) = claim else {
                return;
            };
            match self.write_claim(claim).await {
                Ok(_term) => return,
                // A concurrent renewal was stored first; its version is known now.
                Err(err) => log::info!("could not release the granter's lease: {err}"),
            }
        }
    }
}
