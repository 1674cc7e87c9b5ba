//! Retry policy: retry budget, backoff and the decision to retry.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::answer::refusal::Refusal;
use crate::answer::refusal::RefusalReason;
use crate::outcome::Outcome;
use crate::time::Time;
use crate::time::millis;

/// Fixed-point scale of the token counts.
const MILLITOKENS_PER_TOKEN: u64 = 1_000;
/// Bytes sent across regions that cost one additional token.
const BYTES_PER_TOKEN: u64 = 64 << 10;

/// Limits the retries of a service to a share of its first tries.
///
/// Each first try adds a fraction of a token. Each retry takes one token, and more if it sends
/// bytes across regions. If all requests fail, the load rises by that fraction instead of by the
/// maximum number of tries. The budget starts full, so that single failures of a service with few
/// requests are retried.
///
/// # Examples
///
/// ```
/// use carawayrill_core::answer::retry::RetryBudget;
///
/// let mut budget = RetryBudget::default().burst(1);
/// assert!(budget.withdraw(0));
/// assert!(!budget.withdraw(0));
/// for _ in 0..10 {
///     budget.deposit();
/// }
/// assert!(budget.withdraw(0));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    per_first_try: u64,
    max_millitokens: u64,
    millitokens: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            per_first_try: MILLITOKENS_PER_TOKEN / 10,
            max_millitokens: 20 * MILLITOKENS_PER_TOKEN,
            millitokens: 20 * MILLITOKENS_PER_TOKEN,
        }
    }
}

impl RetryBudget {
    /// Sets the number of retries allowed per 100 first tries. 10 by default.
    #[must_use]
    pub fn percent(mut self, percent: u64) -> Self {
        self.per_first_try = MILLITOKENS_PER_TOKEN * percent / 100;
        self
    }

    /// Sets the maximum number of saved tokens. 20 by default.
    #[must_use]
    pub fn burst(mut self, tokens: u64) -> Self {
        self.max_millitokens = tokens * MILLITOKENS_PER_TOKEN;
        self.millitokens = self.max_millitokens;
        self
    }

    /// Adds the share of a first try to the budget.
    pub fn deposit(&mut self) {
        self.millitokens = (self.millitokens + self.per_first_try).min(self.max_millitokens);
    }

    /// Takes the tokens for one retry that sends `crossing_bytes` across regions. Returns false and
    /// takes nothing if the budget has too few tokens.
    #[must_use]
    pub fn withdraw(&mut self, crossing_bytes: u64) -> bool {
        let cost = MILLITOKENS_PER_TOKEN
            + crossing_bytes.saturating_mul(MILLITOKENS_PER_TOKEN) / BYTES_PER_TOKEN;
        let affordable = cost <= self.millitokens;
        if affordable {
            self.millitokens -= cost;
        }
        affordable
    }
}

/// Exponential backoff with jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    max_tries: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(10),
            longest: Duration::from_secs(1),
            max_tries: 8,
        }
    }
}

impl Backoff {
    /// Sets the longest wait before the first retry, which doubles with each further retry. 10 ms
    /// by default.
    #[must_use]
    pub fn first(mut self, span: Duration) -> Self {
        self.first = span;
        self
    }

    /// Sets the upper bound of all waits. 1 s by default.
    #[must_use]
    pub fn longest(mut self, span: Duration) -> Self {
        self.longest = span;
        self
    }

    /// Sets the maximum number of tries, including the first. 8 by default.
    #[must_use]
    pub fn max_tries(mut self, tries: u32) -> Self {
        self.max_tries = tries;
        self
    }

    /// Returns the wait after `tries` tries: a random time between half of the doubled first wait
    /// and all of it.
    ///
    /// The random half spreads callers that failed at the same time; the fixed half ensures that no
    /// retry follows immediately.
    pub fn wait(&self, tries: u32, rng: &mut impl Rng) -> Duration {
        let doublings = tries.saturating_sub(1).min(16);
        let full = (self.first * 2_u32.pow(doublings)).min(self.longest);
        let half = millis(full) / 2;
        Duration::from_millis(half + rng.random_range(0..=half))
    }
}

/// A failed try of a request.
#[derive(Debug, Clone)]
pub struct FailedTry {
    /// The refusal with which the try ended.
    pub refusal: Refusal,
    /// Number of tries so far, including this one.
    pub tries: u32,
    /// When the answer is due.
    pub deadline: Time,
    /// Whether the service declares that the request may run more than once.
    pub repeatable: bool,
    /// Bytes that a retry would send across regions.
    pub crossing_bytes: u64,
}

/// The action after a failed try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this time.
    After(Duration),
    /// Answer with this refusal now.
    GiveUp(Refusal),
}

/// Decides whether to retry after a failed try.
///
/// A request that may have run is retried only if it may run more than once. A request that was
/// refused because of load is not retried: its key has one owner, and the caller receives a retry
/// delay. No retry is scheduled that could not start before the deadline.
pub fn decide(
    failed: &FailedTry,
    now: Time,
    backoff: &Backoff,
    budget: &mut RetryBudget,
    rng: &mut impl Rng,
) -> RetryDecision {
    let give_up = || RetryDecision::GiveUp(failed.refusal.clone());
    if failed.tries >= backoff.max_tries || !may_retry(failed) {
        return give_up();
    }
    let wait = backoff.wait(failed.tries, rng);
    if now + wait >= failed.deadline || !budget.withdraw(failed.crossing_bytes) {
        return give_up();
    }
    RetryDecision::After(wait)
}

fn may_retry(failed: &FailedTry) -> bool {
    match failed.refusal.outcome() {
        Outcome::Done => false,
        Outcome::NotRun => failed.refusal.reason.is_transient(),
        Outcome::Unknown => failed.repeatable && is_lost_answer(failed.refusal.reason),
    }
}

/// Returns whether the answer was lost in transit, so that time may be left for a retry.
fn is_lost_answer(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::HomeLost | RefusalReason::AnswerLost | RefusalReason::AnswerBrokenOff
    )
}
