//! A router's side of ownership: the shards whose home or standby home it is.

mod message;

use std::collections::BTreeMap;
use std::collections::HashSet;

pub use self::message::Action;
pub use self::message::BlockVersion;
pub use self::message::Denial;
pub use self::message::Input;
pub use self::message::Permit;
use super::evidence::Run;
use super::limits::Limits;
use super::limits::Mechanisms;
use super::limits::Policy;
use crate::id::ServiceId;
use crate::id::ShardId;
use crate::time::Time;

/// What a router knows as home and as standby home.
#[derive(Debug)]
pub struct HomeTable {
    me: Run,
    limits: Limits,
    mechanisms: Mechanisms,
    policies: BTreeMap<ServiceId, Policy>,
    rows: HashSet<ShardId>,
    actions: Vec<Action>,
}

impl HomeTable {
    /// Makes the table of one run of a router.
    #[must_use]
    pub fn new(me: Run, limits: Limits) -> Self {
        Self {
            me,
            limits,
            mechanisms: Mechanisms::ALL,
            policies: BTreeMap::new(),
            rows: HashSet::new(),
            actions: Vec::new(),
        }
    }

    /// Takes mechanisms out, for tests.
    #[must_use]
    pub fn mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }

    /// Takes one input and returns the actions that follow from it at once.
    pub fn input(&mut self, now: Time, input: Input) -> Vec<Action> {
        let _ = (now, input);
        std::mem::take(&mut self.actions)
    }

    /// Runs the systems: call it every 50 ms or so.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let _ = now;
        std::mem::take(&mut self.actions)
    }

    /// Chooses the server and token for a request that has just arrived.
    ///
    /// # Errors
    ///
    /// Fails with the reason why no request of the shard may be sent now.
    pub fn permit(&self, now: Time, shard: &ShardId) -> Result<Permit, Denial> {
        let _ = (
            now,
            self.rows.get(shard),
            &self.me,
            &self.limits,
            &self.policies,
        );
        Err(Denial::NotHome { home: None })
    }

    /// Checks a permit directly before the request is written to the server.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the request may not be sent any more.
    pub fn confirm(&self, now: Time, permit: &Permit) -> Result<(), Denial> {
        let _ = (now, permit);
        Err(Denial::Changed)
    }
}
