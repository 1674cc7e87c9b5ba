//! Connection to the store, and delays between attempts.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use carawayrill_config::accept::RetryPolicy;
use carawayrill_store::http_store::HttpStore;

use crate::error::Error;

/// The base of the delays between attempts.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The root URL of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreUrl(pub SocketAddr);

impl FromStr for StoreUrl {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.strip_prefix("http://")
            .map(|rest| rest.trim_end_matches('/'))
            .and_then(|rest| rest.parse().ok())
            .map(Self)
            .ok_or_else(|| {
                "expected `http://` with an IP address and a port, as in http://127.0.0.1:20000"
                    .to_owned()
            })
    }
}

impl StoreUrl {
    /// Creates a client of the store.
    pub fn connect(self) -> Result<HttpStore, Error> {
        Ok(HttpStore::new(self.0)?)
    }
}

/// A retry policy whose delays double with each attempt, up to a deadline.
#[derive(Debug)]
pub struct ExponentialBackoff {
    deadline: Instant,
}

impl ExponentialBackoff {
    /// Creates a policy that stops retrying after `span`.
    pub fn new(span: Duration) -> Self {
        Self {
            deadline: Instant::now() + span,
        }
    }
}

#[async_trait]
impl RetryPolicy for ExponentialBackoff {
    async fn wait(&self, attempt: u32) -> bool {
        let uncapped = INITIAL_BACKOFF.saturating_mul(1 << attempt.min(8));
        let delay = uncapped.min(MAX_BACKOFF);
        if Instant::now() + delay >= self.deadline {
            return false;
        }
        tokio::time::sleep(delay).await;
        true
    }
}
