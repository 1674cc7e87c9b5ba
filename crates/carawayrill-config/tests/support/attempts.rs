//! Waits between attempts that take no time.

use async_trait::async_trait;
use carawayrill_config::accept::Pause;

/// Gives up after a number of attempts.
#[derive(Debug)]
pub struct Attempts(pub u32);

#[async_trait]
impl Pause for Attempts {
    async fn pause(&self, attempt: u32) -> bool {
        attempt < self.0
    }
}
