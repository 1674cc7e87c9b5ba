//! A controller's side of ownership: changes of assignments by intent and evidence.

mod message;

pub use self::message::Action;
pub use self::message::Change;
pub use self::message::Input;
use super::limits::Limits;
use super::limits::Mechanisms;
use crate::id::ControllerId;
use crate::time::Time;

/// The changes that a controller is carrying out.
///
/// It starts with nothing: what it needs is in the store, the routers and the servers.
#[derive(Debug)]
pub struct TakeoverTable {
    me: ControllerId,
    limits: Limits,
    mechanisms: Mechanisms,
}

impl TakeoverTable {
    /// Makes the table of a controller.
    #[must_use]
    pub fn new(me: ControllerId, limits: Limits) -> Self {
        Self {
            me,
            limits,
            mechanisms: Mechanisms::ALL,
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
        let _ = (now, input, &self.me, &self.limits, &self.mechanisms);
        Vec::new()
    }

    /// Runs the systems: call it every 50 ms or so.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let _ = now;
        Vec::new()
    }

    /// Returns the number of changes that are not in force yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        0
    }
}
