//! A retry policy without delays.

use async_trait::async_trait;
use carawayrill_config::accept::RetryPolicy;

/// Stops retrying after this number of attempts.
#[derive(Debug)]
pub struct MaxAttempts(pub u32);

#[async_trait]
impl RetryPolicy for MaxAttempts {
    async fn wait(&self, attempt: u32) -> bool {
        attempt < self.0
    }
}
