//! Faults that tests inject into a stand-in server.

use std::time::Duration;

use carawayrill_core::small_data;
use serde::Deserialize;
use tokio::sync::watch;

small_data! {
    /// A kind of fault of a server.
    #[serde(rename_all = "snake_case")]
    pub enum Fault {
        /// No fault.
        None,
        /// Requests and orders are accepted but not processed until the fault ends. The server's
        /// clock keeps running.
        Freeze,
        /// Requests run longer by the delay.
        Slow,
        /// The connection is closed in the middle of a response body.
        BreakOff,
        /// Requests run, but their connection is closed without a response.
        LoseAnswer,
        /// Orders are applied, but their connection is closed without an acknowledgement.
        LoseAck,
        /// Requests are refused as if the queue were full.
        Shed,
        /// The reported load is always zero.
        LieLoad,
        /// Requests run in time, but their responses are sent after the delay.
        LateAnswer,
        /// Responses carry the id of the request that finished before.
        OtherAnswer,
    }
}

/// A fault to inject, as posted to `/control/fault`. It replaces the fault before.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct FaultSpec {
    /// The kind of fault.
    pub fault: Fault,
    /// The delay of [`Fault::Slow`] and [`Fault::LateAnswer`], in milliseconds. 0 by default.
    #[serde(default)]
    pub ms: u64,
    /// The number of requests or orders that it affects; all if absent.
    pub count: Option<u64>,
}

/// The fault that is injected now.
#[derive(Debug)]
pub struct Faults {
    active: watch::Sender<FaultSpec>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            active: watch::Sender::new(FaultSpec {
                fault: Fault::None,
                ms: 0,
                count: None,
            }),
        }
    }
}

impl Faults {
    /// Replaces the injected fault.
    pub fn set(&self, spec: FaultSpec) {
        self.active.send_replace(spec);
    }

    /// Returns the delay of `fault` if it is injected now, and counts this use against its limit.
    #[must_use]
    pub fn trigger(&self, fault: Fault) -> Option<Duration> {
        let mut delay = None;
        self.active.send_if_modified(|active| {
            if active.fault == fault && active.count != Some(0) {
                active.count = active.count.map(|count| count - 1);
                delay = Some(Duration::from_millis(active.ms));
            }
            false
        });
        delay
    }

    /// Waits until [`Fault::Freeze`] is not injected.
    pub async fn until_unfrozen(&self) {
        let mut active = self.active.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let _active = active.wait_for(|now| now.fault != Fault::Freeze).await;
    }
}
