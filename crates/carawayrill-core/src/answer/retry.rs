//! Whether and when a request is tried again.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::answer::refusal::Refusal;
use crate::answer::refusal::RefusalReason;
use crate::outcome::Outcome;
use crate::time::Time;
use crate::time::millis;

/// Thousandths of a token.
const MILLITOKENS_PER_TOKEN: u64 = 1_000;
/// Bytes across a slow link that cost one more token.
const BYTES_PER_TOKEN: u64 = 64 << 10;

/// Bounds the retries of a service to a share of its first tries.
///
/// Each first try adds a part of a token, each retry takes a whole one, and more if it sends
/// bytes across regions. When all requests fail, the load thus rises by that part and not by the
/// number of tries. A few tokens are there from the start, so that single failures of a quiet
/// service are retried.
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
    /// Sets the retries allowed for each hundred first tries. 10 by default.
    #[must_use]
    pub fn percent(mut self, percent: u64) -> Self {
        self.per_first_try = MILLITOKENS_PER_TOKEN * percent / 100;
        self
    }

    /// Sets the tokens that can be saved up. 20 by default.
    #[must_use]
    pub fn burst(mut self, tokens: u64) -> Self {
        self.max_millitokens = tokens * MILLITOKENS_PER_TOKEN;
        self.millitokens = self.max_millitokens;
        self
    }

    /// Takes in a request that is tried for the first time.
    pub fn deposit(&mut self) {
        self.millitokens = (self.millitokens + self.per_first_try).min(self.max_millitokens);
    }

    /// Takes the tokens for one retry that sends `crossing_bytes` across regions, if it has them.
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

/// How long to wait between tries.
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
    /// Sets the longest wait before the first retry; it doubles with each further one. 10 ms by
    /// default.
    #[must_use]
    pub fn first(mut self, span: Duration) -> Self {
        self.first = span;
        self
    }

    /// Sets the longest wait of all. 1 s by default.
    #[must_use]
    pub fn longest(mut self, span: Duration) -> Self {
        self.longest = span;
        self
    }

    /// Sets how often a request is tried, the first time included. 8 by default.
    #[must_use]
    pub fn max_tries(mut self, tries: u32) -> Self {
        self.max_tries = tries;
        self
    }

    /// Returns the wait after `tries` tries: between half and all of the doubled first wait.
    ///
    /// The random half spreads callers that failed together; the fixed half keeps a retry from
    /// coming at once.
    pub fn wait(&self, tries: u32, rng: &mut impl Rng) -> Duration {
        let doublings = tries.saturating_sub(1).min(16);
        let full = (self.first * 2_u32.pow(doublings)).min(self.longest);
        let half = millis(full) / 2;
        Duration::from_millis(half + rng.random_range(0..=half))
    }
}

/// A try that failed.
#[derive(Debug, Clone)]
pub struct FailedTry {
    /// How it failed.
    pub refusal: Refusal,
    /// The tries so far, this one included.
    pub tries: u32,
    /// When the answer is due.
    pub deadline: Time,
    /// Whether the service declares that the request may run more than once.
    pub repeatable: bool,
    /// Bytes that a retry sends across regions.
    pub crossing_bytes: u64,
}

/// What to do after a failed try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this time.
    After(Duration),
    /// Answer with this refusal now.
    GiveUp(Refusal),
}

/// Decides about a failed try.
///
/// A request that may have run is tried again only if it may run more than once. A request that
/// was refused for load is not tried again: its key has one owner, and the caller is told when to
/// come back. A retry that could not start before the deadline is not waited for.
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

/// Returns whether an answer was lost on its way, with time left for another try.
fn is_lost_answer(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::HomeLost | RefusalReason::AnswerLost | RefusalReason::AnswerBrokenOff
    )
}
