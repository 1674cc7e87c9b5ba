//! Reasons why a request got no answer from a server.
//!
//! Each reason fixes the outcome and the HTTP status, so that no code path can choose the outcome
//! "not run" on its own. Conditions that can occur both before and after bytes were written to a
//! server have a separate reason for each case.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::Error;
use crate::data;
use crate::outcome::Outcome;
use crate::outcome::Outcome::NotRun;
use crate::outcome::Outcome::Unknown;

macro_rules! reasons {
    ($($(#[$meta:meta])* $name:ident = $wire_name:literal, $outcome:ident, $status:literal, $retry_ms:expr;)+) => {
        crate::small_data! {
            /// The reason why a request got no answer from a server.
            #[serde(rename_all = "kebab-case")]
            pub enum RefusalReason {
                $($(#[$meta])* $name,)+
            }
        }

        impl RefusalReason {
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            const fn properties(self) -> ReasonProperties {
                match self {
                    $(Self::$name => ReasonProperties {
                        wire_name: $wire_name,
                        outcome: $outcome,
                        status: $status,
                        retry_ms: $retry_ms,
                    },)+
                }
            }
        }
    };
}

/// The fixed properties of a reason.
struct ReasonProperties {
    wire_name: &'static str,
    outcome: Outcome,
    status: u16,
    retry_ms: Option<u64>,
}

/// Retry delay for a condition that ends by itself within moments, in milliseconds.
const SOON_MS: Option<u64> = Some(1_000);
/// Retry delay for a condition that ends with a failover, in milliseconds.
const AFTER_FAILOVER_MS: Option<u64> = Some(5_000);
/// No retry delay: repeating the same request does not help, or is not known to be safe.
const NO_RETRY: Option<u64> = None;

reasons! {
    /// No service of this name is declared.
    UnknownService = "unknown-service", NotRun, 404, NO_RETRY;
    /// The request lacks the key that the service declares.
    NoKey = "no-key", NotRun, 400, NO_RETRY;
    /// A header of the request is invalid.
    BadRequest = "bad-request", NotRun, 400, NO_RETRY;
    /// The request must not run twice and has no idempotency key.
    NoIdempotencyKey = "no-idempotency-key", NotRun, 400, NO_RETRY;
    /// The body exceeds the limit of the service.
    TooLarge = "too-large", NotRun, 413, NO_RETRY;
    /// The body ended before its declared length.
    Truncated = "truncated", NotRun, 400, NO_RETRY;

    /// The router has no configuration or no assignments yet.
    NotReady = "not-ready", NotRun, 503, SOON_MS;
    /// No home of the key's shard is known.
    NoHome = "no-home", NotRun, 503, AFTER_FAILOVER_MS;
    /// The connection to the home failed; nothing was written to it.
    HomeUnreachable = "home-unreachable", NotRun, 503, AFTER_FAILOVER_MS;
    /// The router is not the home of the shard.
    NotHome = "not-home", NotRun, 503, SOON_MS;
    /// The home's authority has ended.
    NoAuthority = "no-authority", NotRun, 503, AFTER_FAILOVER_MS;
    /// The store can't be reached, and the service is configured to stop in that case.
    StoreOutage = "store-outage", NotRun, 503, AFTER_FAILOVER_MS;
    /// The owning server is considered lost, and no other server is active yet.
    ServerLost = "server-lost", NotRun, 503, AFTER_FAILOVER_MS;
    /// The connection to the server failed; nothing was written to it.
    ServerUnreachable = "server-unreachable", NotRun, 503, AFTER_FAILOVER_MS;
    /// The shard is being moved to another server.
    Moving = "moving", NotRun, 503, SOON_MS;
    /// The server has seen a higher fencing token and refused to run the request.
    Fenced = "fenced", NotRun, 503, SOON_MS;
    /// The server holds no valid grant and refused to run the request.
    NoGrant = "no-grant", NotRun, 503, SOON_MS;

    /// The queue of the server is full.
    QueueFull = "queue-full", NotRun, 503, SOON_MS;
    /// The caller has more than its share of waiting requests.
    CallerLimit = "caller-limit", NotRun, 429, SOON_MS;
    /// The request is not expected to be answered before its deadline.
    CannotMeetDeadline = "cannot-meet-deadline", NotRun, 503, SOON_MS;
    /// The deadline passed before the request ran.
    DeadlinePassed = "deadline-passed", NotRun, 504, NO_RETRY;
    /// The server shed the request.
    Shed = "shed", NotRun, 503, SOON_MS;
    /// The server or router is draining.
    Draining = "draining", NotRun, 503, SOON_MS;
    /// The table of requests in flight is full.
    TableFull = "table-full", NotRun, 503, SOON_MS;
    /// The caller disconnected before the request ran.
    CallerGone = "caller-gone", NotRun, 499, NO_RETRY;

    /// Claims of the shard's former home may be missing; this ends with the claim window.
    ClaimsNotKnown = "claims-not-known", NotRun, 503, AFTER_FAILOVER_MS;
    /// The claim could not be mirrored to the standby home.
    ClaimNotMirrored = "claim-not-mirrored", NotRun, 503, SOON_MS;
    /// The claim table is full.
    ClaimTableFull = "claim-table-full", NotRun, 503, AFTER_FAILOVER_MS;
    /// The idempotency key was used with another request.
    BodyDiffers = "body-differs", NotRun, 422, NO_RETRY;
    /// The first request with this idempotency key may be running.
    InProgress = "in-progress", Unknown, 409, SOON_MS;
    /// The first request with this idempotency key may have run; its answer is lost.
    FirstAnswerLost = "first-answer-lost", Unknown, 409, NO_RETRY;
    /// The first request with this idempotency key was answered; the answer is too long to keep.
    AnswerNotKept = "answer-not-kept", Unknown, 409, NO_RETRY;

    /// The home received the request, and its reply is lost.
    HomeLost = "home-lost", Unknown, 502, NO_RETRY;
    /// The server received bytes of the request, and its answer is lost.
    AnswerLost = "answer-lost", Unknown, 502, NO_RETRY;
    /// The server's answer ended early.
    AnswerBrokenOff = "answer-broken-off", Unknown, 502, NO_RETRY;
    /// The server's answer exceeds the router's limit.
    AnswerTooLarge = "answer-too-large", Unknown, 502, NO_RETRY;
    /// The deadline passed while the request may have been running.
    AnswerLate = "answer-late", Unknown, 504, NO_RETRY;
    /// The caller disconnected while the request may have been running.
    CallerGoneAfterSend = "caller-gone-after-send", Unknown, 499, NO_RETRY;
}

impl RefusalReason {
    /// Returns the name on the wire, as in `queue-full`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        self.properties().wire_name
    }

    /// Returns the outcome to report to the caller.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        self.properties().outcome
    }

    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(self) -> u16 {
        self.properties().status
    }

    /// Returns whether the condition usually ends soon, so that a retry may find the shard served
    /// again.
    #[must_use]
    pub const fn is_transient(self) -> bool {
        matches!(
            self,
            Self::NoHome
                | Self::HomeUnreachable
                | Self::NotHome
                | Self::NoAuthority
                | Self::ServerLost
                | Self::ServerUnreachable
                | Self::Moving
                | Self::Fenced
                | Self::NoGrant
                | Self::Draining
                | Self::ClaimNotMirrored
        )
    }

    /// Returns the default retry delay.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        self.properties().retry_ms.map(Duration::from_millis)
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RefusalReason {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.as_str() == text)
            .ok_or_else(|| Error::syntax("RefusalReason", text, "a refusal reason"))
    }
}

data! {
    /// A server's statement that it has not run a request: the value of `x-carawayrill-refused`.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum ServerRefusal {
        /// The server has seen a higher token.
        Fenced,
        /// The server has no grant, or the grant has expired on its clock.
        NoGrant,
        /// The server is overloaded.
        Shed,
        /// The server is draining.
        Draining,
        /// The deadline had passed.
        Deadline,
        /// The request was cancelled before it ran.
        Cancelled,
    }

    /// The JSON body of a refusal.
    pub struct RefusalBody {
        /// The outcome of the request.
        pub outcome: Outcome,
        /// The machine-readable reason.
        pub reason: RefusalReason,
        /// The human-readable reason.
        pub detail: CompactString,
    }

    /// The final answer to a request that no server answered.
    pub struct Refusal {
        /// The machine-readable reason.
        pub reason: RefusalReason,
        /// The retry delay, if a retry may help.
        pub retry_after: Option<Duration>,
        /// The human-readable reason.
        pub detail: CompactString,
    }
}

impl FromStr for ServerRefusal {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "fenced" => Ok(Self::Fenced),
            "no-grant" => Ok(Self::NoGrant),
            "shed" => Ok(Self::Shed),
            "draining" => Ok(Self::Draining),
            "deadline" => Ok(Self::Deadline),
            "cancelled" => Ok(Self::Cancelled),
            _ => Err(Error::syntax("ServerRefusal", text, "a server refusal")),
        }
    }
}

impl From<ServerRefusal> for RefusalReason {
    fn from(refusal: ServerRefusal) -> Self {
        match refusal {
            ServerRefusal::Fenced => Self::Fenced,
            ServerRefusal::NoGrant => Self::NoGrant,
            ServerRefusal::Shed => Self::Shed,
            ServerRefusal::Draining => Self::Draining,
            ServerRefusal::Deadline => Self::DeadlinePassed,
            ServerRefusal::Cancelled => Self::CallerGone,
        }
    }
}

/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use carawayrill_core::answer::refusal::Refusal;
/// use carawayrill_core::answer::refusal::RefusalReason;
/// use carawayrill_core::outcome::Outcome;
///
/// let refusal =
///     Refusal::from(RefusalReason::QueueFull).with_retry_after(Duration::from_millis(1_200));
/// assert_eq!(refusal.outcome(), Outcome::NotRun);
/// assert_eq!(refusal.status(), 503);
/// assert_eq!(refusal.retry_after_secs(), Some(2));
/// ```
impl Refusal {
    /// Creates a refusal with a human-readable `detail` and the default retry delay of the reason.
    #[must_use]
    pub fn new(reason: RefusalReason, detail: impl Into<CompactString>) -> Self {
        Self {
            reason,
            retry_after: reason.retry_after(),
            detail: detail.into(),
        }
    }

    /// Sets the retry delay.
    #[must_use]
    pub fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Returns the outcome to report to the caller.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        self.reason.outcome()
    }

    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        self.reason.status()
    }

    /// Returns the value of `Retry-After`: whole seconds, rounded up, at least 1.
    #[must_use]
    pub fn retry_after_secs(&self) -> Option<u64> {
        let millis = crate::time::millis(self.retry_after?);
        Some(millis.div_ceil(1_000).max(1))
    }

    /// Returns the JSON body.
    #[must_use]
    pub fn body(&self) -> RefusalBody {
        RefusalBody {
            outcome: self.outcome(),
            reason: self.reason,
            detail: self.detail.clone(),
        }
    }
}

impl From<RefusalReason> for Refusal {
    fn from(reason: RefusalReason) -> Self {
        Self::new(reason, format_compact!("{reason}"))
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.outcome(), self.detail)
    }
}
