//! Faults of a server on demand.

use std::time::Duration;

use carawayrill_core::small_data;
use serde::Deserialize;
use tokio::sync::watch;

small_data! {
    /// What goes wrong at a server.
    #[serde(rename_all = "snake_case")]
    pub enum Fault {
        /// Nothing.
        None,
        /// Everything is taken in and nothing goes on until the fault ends; the clock goes on.
        Freeze,
        /// Runs take longer.
        Slow,
        /// Answers break off midway.
        BreakOff,
        /// Requests run, and their connection ends without an answer.
        LoseAnswer,
        /// Orders are obeyed, and their connection ends without an answer.
        LoseAck,
        /// Requests are refused as too many.
        Shed,
        /// The reported load is always nothing.
        LieLoad,
        /// Requests run in time, and their answers come late.
        LateAnswer,
        /// Answers name the request that came before.
        OtherAnswer,
    }
}

/// A change of the fault in force, as posted to `/control/fault`.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct FaultSpec {
    /// What goes wrong from now on.
    pub fault: Fault,
    /// Its delay, in milliseconds.
    #[serde(default)]
    pub ms: u64,
    /// How many requests or orders it hits; all if absent.
    pub count: Option<u64>,
}

/// The fault in force.
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
    /// Replaces the fault in force.
    pub fn set(&self, order: FaultSpec) {
        self.active.send_replace(order);
    }

    /// Tells whether `fault` hits now, uses up one of its hits, and returns its delay.
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

    /// Waits until the server is not frozen.
    pub async fn until_unfrozen(&self) {
        let mut active = self.active.subscribe();
        // The sender lives as long as `self`, so that this can't fail.
        let _active = active.wait_for(|now| now.fault != Fault::Freeze).await;
    }
}
