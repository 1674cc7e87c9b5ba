//! Retries of a router in the entry role: a retry budget for each service, and the backoff.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use carawayrill_core::answer::retry;
use carawayrill_core::answer::retry::Backoff;
use carawayrill_core::answer::retry::FailedTry;
use carawayrill_core::answer::retry::RetryBudget;
use carawayrill_core::answer::retry::RetryDecision;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[derive(Debug)]
struct State {
    budgets: HashMap<ServiceId, RetryBudget>,
    rng: ChaCha8Rng,
}

/// The retry budgets and the backoff of one router.
#[derive(Debug)]
pub struct Retries {
    backoff: Backoff,
    state: Mutex<State>,
}

impl Retries {
    /// Creates the state with no budget spent. The incarnation seeds the random backoff, so that
    /// different routers back off for different times.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        let state = State {
            budgets: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(incarnation.0),
        };
        Self {
            backoff: Backoff::default(),
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the first try of a request, which adds to the service's retry budget.
    pub fn record_first_try(&self, service: &ServiceId) {
        let mut state = self.lock();
        if let Some(budget) = state.budgets.get_mut(service) {
            budget.deposit();
        } else {
            let budget = RetryBudget::default();
            state.budgets.insert(service.clone(), budget);
        }
    }

    /// Decides whether and when to retry after a failed try.
    pub fn decide(&self, service: &ServiceId, failed: &FailedTry, now: Time) -> RetryDecision {
        let mut state = self.lock();
        let State { budgets, rng } = &mut *state;
        let budget = budgets.entry(service.clone()).or_default();
        retry::decide(failed, now, &self.backoff, budget, rng)
    }
}
