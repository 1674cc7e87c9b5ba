//! Keeps the granter's lease: claims, renews and gives it up.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use carawayrill_core::direct::lease::Claim;
use carawayrill_core::direct::lease::Lease;
use carawayrill_core::direct::lease::LeaseView;
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
use crate::feed::Dependency;
use crate::granting::Granting;
use crate::port::SpanOrders;
use crate::state::Shared;

/// The object that holds the lease.
const LEASE_OBJECT: &str = "carawayrill-leases/granter";
/// The time between two renewals.
const RENEWAL: Duration = Duration::from_millis(500);
/// The time limit of a renewal. All grants have to be lengthened between the first one that fails
/// and the end of the lease.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(350);
/// The time between two renewals that fail.
const RENEWAL_RETRY: Duration = Duration::from_millis(120);
/// How often a follower looks whether it has to read the lease.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two reads of a follower that is not joined to the granter.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// How long a follower may hear nothing of the granter before it reads the lease.
const SILENCE: Duration = Duration::from_millis(900);
/// What each front adds to that: the granter tells one after the other.
const SILENCE_PER_FRONT: Duration = Duration::from_millis(10);
/// How much longer than the strongest front one with hardly any processor time waits before it
/// claims a free lease.
const WEAK_DELAY: Duration = Duration::from_millis(700);
/// How often a stopping granter tries to give the lease up.
const MAX_RELEASES: u32 = 4;
/// The longest wait for moves to end before the lease is given up.
const HAND_OVER_WAIT: Duration = Duration::from_millis(1_500);

/// One front's part in the lease.
#[derive(Debug)]
pub struct Leasing {
    shared: Arc<Shared>,
    store: Arc<dyn ObjectStore>,
    orders: Arc<dyn SpanOrders>,
    view: Mutex<LeaseView>,
    /// When the granter was heard last.
    heard: Mutex<Option<Time>>,
    granting: watch::Sender<Option<Arc<Granting>>>,
    stopping: watch::Sender<bool>,
}

impl Leasing {
    /// Makes the part of a front that knows nothing of the lease.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        store: Arc<dyn ObjectStore>,
        orders: Arc<dyn SpanOrders>,
    ) -> Self {
        let own = Lease {
            front: shared.cfg.front.clone(),
            run: shared.cfg.run,
            address: shared.cfg.peer,
            length_ms: millis(shared.cfg.lease),
            renewals: 0,
            released: false,
        };
        Self {
            shared,
            store,
            orders,
            view: Mutex::new(LeaseView::new(own)),
            heard: Mutex::new(None),
            granting: watch::Sender::new(None),
            stopping: watch::Sender::new(false),
        }
    }

    fn view(&self) -> MutexGuard<'_, LeaseView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings and tables of this front.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the granter's work, while this front is the granter.
    #[must_use]
    pub fn granting(&self) -> Option<Arc<Granting>> {
        self.granting.borrow().clone()
    }

    /// Returns whether this front may act as the granter now.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.view().holds(clock::now())
    }

    /// Returns the lease as last seen.
    #[must_use]
    pub fn current(&self) -> Option<Lease> {
        self.view().current().cloned()
    }

    /// Returns the version of the lease as last seen.
    #[must_use]
    pub fn version(&self) -> Version {
        self.view().version()
    }

    /// Takes in what the granter told of its lease.
    pub fn heard(&self, version: Version) {
        let now = clock::now();
        *self.heard.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
        let mut view = self.view();
        let lease = view.current().cloned();
        view.observe(version, lease, now);
    }

    /// Returns how long the granter was not heard.
    #[must_use]
    pub fn silence(&self) -> Option<Duration> {
        let heard = *self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.map(|heard| clock::now().since(heard))
    }

    /// Returns how long this front may hear nothing of the granter.
    #[must_use]
    pub fn silence_limit(&self) -> Duration {
        let fronts = self.shared.tables().fronts.get();
        SILENCE + SILENCE_PER_FRONT.saturating_mul(fronts)
    }

    fn is_heard(&self) -> bool {
        let limit = self.silence_limit();
        self.silence().is_some_and(|silence| silence < limit)
    }

    /// Notes that the stream to the granter has ended.
    pub fn unheard(&self) {
        *self.heard.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Claims, renews or follows the lease for ever.
    pub async fn run(self: Arc<Self>) {
        let mut dependency = Dependency::new("store-lease");
        let mut next_read = clock::now() + self.jitter(READ_INTERVAL / 2);
        loop {
            let now = clock::now();
            self.drop_lost(now);
            let wait = if self.view().is_own() && self.granting().is_some() {
                self.renew(&mut dependency).await
            } else if self.is_heard() || now < next_read {
                FOLLOW_INTERVAL
            } else {
                next_read = now + READ_INTERVAL + self.jitter(READ_INTERVAL / 2);
                self.seek(&mut dependency).await
            };
            tokio::time::sleep(wait).await;
        }
    }

    fn jitter(&self, most: Duration) -> Duration {
        most.mul_f64(self.shared.tables().rng.random_range(0.0..=1.0))
    }

    /// Ends the granter's work once its authority is over.
    fn drop_lost(&self, now: Time) {
        if self.granting().is_some() && !self.view().holds(now) {
            self.end_granting("lost", "not renewed in time");
        }
    }

    fn end_granting(&self, change: &'static str, reason: &'static str) {
        self.granting.send_replace(None);
        self.shared.metrics.granter.set(0);
        emit(EventKind::GranterLease {
            change: change.into(),
            version: self.version(),
            reason: reason.into(),
        });
    }

    /// Renews the lease and returns when to look again.
    async fn renew(&self, dependency: &mut Dependency) -> Duration {
        let claim = self.view().claim(clock::now());
        let Some(claim) = claim else {
            return FOLLOW_INTERVAL;
        };
        match tokio::time::timeout(RENEWAL_TIMEOUT, self.write(claim)).await {
            Ok(Ok(())) => {
                dependency.reached();
                self.set_store_away(false);
                RENEWAL
            }
            Ok(Err(err)) if err.conflicting_version().is_some() => self.met_another_version(),
            Ok(Err(err)) => self.not_renewed(dependency, &err),
            Err(elapsed) => self.not_renewed(dependency, &elapsed),
        }
    }

    /// Returns when to renew again after a renewal whose end is not known or that was not done.
    fn not_renewed(&self, dependency: &mut Dependency, why: &dyn std::fmt::Display) -> Duration {
        let _wait = dependency.failed(&self.shared, why);
        self.set_store_away(true);
        RENEWAL_RETRY
    }

    /// Returns when to renew again after a renewal met another version than the one last seen: an
    /// earlier one of this front that was done without an answer, or another front's claim.
    fn met_another_version(&self) -> Duration {
        if self.view().is_own() {
            return Duration::ZERO;
        }
        self.view().step_down();
        self.end_granting("lost", "another front wrote the lease");
        FOLLOW_INTERVAL
    }

    fn set_store_away(&self, away: bool) {
        if let Some(granting) = self.granting() {
            granting.set_store_away(away);
        }
    }

    /// Writes a claim. A write without an answer is settled by reading back.
    async fn write(&self, claim: Claim) -> Result<(), Error> {
        let sent = clock::now();
        let value =
            serde_json::to_vec(&claim.lease).map_err(|err| Error::malformed(err.to_string()))?;
        let written = self
            .store
            .put(LEASE_OBJECT, Bytes::from(value), claim.expected)
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
        self.view().claim_stored(claim, version, sent);
        Ok(())
    }

    /// Finds out whether a claim is the one that is stored.
    async fn read_back(&self, claim: &Claim, err: Error) -> Result<Version, Error> {
        let asked = clock::now();
        let found = self.store.get(LEASE_OBJECT).await?;
        let (version, lease) = read_lease(found);
        if lease.as_ref() == Some(&claim.lease) {
            return Ok(version);
        }
        self.view().observe(version, lease, asked);
        Err(err)
    }

    /// Reads the lease, and claims it if that is allowed.
    async fn seek(self: &Arc<Self>, dependency: &mut Dependency) -> Duration {
        let asked = clock::now();
        match self.store.get(LEASE_OBJECT).await {
            Ok(found) => {
                dependency.reached();
                let (version, lease) = read_lease(found);
                self.view().observe(version, lease, asked);
            }
            Err(err) => return dependency.failed(&self.shared, &err),
        }
        let delay = self.claim_delay();
        let may_claim = self.view().claim(clock::now()).is_some();
        if !delay.is_zero() && may_claim {
            tokio::time::sleep(delay).await;
            let asked = clock::now();
            if let Ok(found) = self.store.get(LEASE_OBJECT).await {
                let (version, lease) = read_lease(found);
                self.view().observe(version, lease, asked);
            }
        }
        let claim = self.view().claim(clock::now());
        let Some(claim) = claim.filter(|_| !*self.stopping.borrow()) else {
            return FOLLOW_INTERVAL;
        };
        match self.write(claim).await {
            Ok(()) => {
                self.begin_granting().await;
                FOLLOW_INTERVAL
            }
            Err(err) => {
                log::info!("the granter's lease was not taken: {err}");
                FOLLOW_INTERVAL
            }
        }
    }

    /// Returns how long this front lets others claim a free lease first.
    fn claim_delay(&self) -> Duration {
        let strongest = self.shared.tables().strongest.max(f64::MIN_POSITIVE);
        let share = (self.shared.cfg.cores / strongest).clamp(0.0, 1.0);
        WEAK_DELAY.mul_f64(1.0 - share)
    }

    async fn begin_granting(self: &Arc<Self>) {
        emit(EventKind::GranterLease {
            change: "taken".into(),
            version: self.version(),
            reason: "free".into(),
        });
        let begun = Granting::begin(
            Arc::clone(self),
            Arc::clone(&self.store),
            Arc::clone(&self.orders),
        );
        match begun.await {
            Ok(granting) => {
                self.shared.metrics.granter.set(1);
                self.granting.send_replace(Some(Arc::clone(&granting)));
                tokio::spawn(granting.run());
            }
            Err(err) => log::warn!("the spans can't be read: {err}"),
        }
    }

    /// Gives the lease up, after moves have ended.
    pub async fn stop(&self) {
        self.stopping.send_replace(true);
        let Some(granting) = self.granting() else {
            return;
        };
        granting.settle(HAND_OVER_WAIT).await;
        self.end_granting("given_up", "this front stops");
        for _attempt in 0..MAX_RELEASES {
            let claim = self.view().release();
            let Some(claim) = claim else {
                return;
            };
            match self.write(claim).await {
                Ok(()) => return,
                // A renewal that was under way has come first; its version is known now.
                Err(err) => log::info!("the granter's lease was not given up: {err}"),
            }
        }
    }
}

/// Reads a stored lease; one that can't be read counts as one that runs.
fn read_lease(found: Option<carawayrill_store::port::Object>) -> (Version, Option<Lease>) {
    let Some(object) = found else {
        return (Version(0), None);
    };
    match serde_json::from_slice(&object.value) {
        Ok(lease) => (object.version, Some(lease)),
        Err(err) => {
            log::error!("the stored lease can't be read: {err}");
            (object.version, None)
        }
    }
}
