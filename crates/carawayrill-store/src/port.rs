//! The traits behind which the outside systems stand.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use carawayrill_core::data;
use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use carawayrill_core::order::Order;
use carawayrill_core::order::OrderReply;
use compact_str::CompactString;

use crate::Error;

/// The longest value of one object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One object as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Its name, as in `assignments/forms/0`.
    pub name: CompactString,
    /// Its version; 0 in a watch's answer stands for a deleted object.
    pub version: Version,
    /// Its value.
    pub value: Bytes,
}

impl Object {
    /// Returns the last part of its name.
    #[must_use]
    pub fn short_name(&self) -> &str {
        self.name.rsplit('/').next().unwrap_or(&self.name)
    }
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Where the next watch goes on.
    pub revision: Revision,
    /// Objects that changed, each in its latest state. Empty if the wait ran out.
    pub objects: Vec<Object>,
}

/// The platform's object store.
#[async_trait]
pub trait ObjectStore: Debug + Send + Sync {
    /// Reads one object, linearizably.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or does not answer in time.
    async fn get(&self, name: &str) -> Result<Option<Object>, Error>;

    /// Reads only the version of one object, linearizably; 0 if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or does not answer in time.
    async fn version(&self, name: &str) -> Result<Version, Error>;

    /// Writes one object if its version is still `expected` (0: if there is no such object), and
    /// returns the new version.
    ///
    /// # Errors
    ///
    /// Fails with a conflict if the version is another one. An error whose fate is unknown has to
    /// be settled by reading back.
    async fn put(&self, name: &str, value: Bytes, expected: Version) -> Result<Version, Error>;

    /// Deletes one object if its version is still `expected`.
    ///
    /// # Errors
    ///
    /// As for [`put`](Self::put).
    async fn delete(&self, name: &str, expected: Version) -> Result<(), Error>;

    /// Waits up to `wait` for changes after `after` to objects whose names start with `prefix`.
    /// From revision 0 it answers at once with all such objects.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or does not answer in time.
    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error>;
}

data! {
    /// What the platform says of one VM.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum VmState {
        /// It runs.
        Live,
        /// It will be stopped soon.
        Leaving,
    }

    /// One line of the list of VMs.
    pub struct Vm {
        /// The name of the server or router that runs there.
        pub name: CompactString,
        /// Its state; it may lag.
        pub state: VmState,
    }
}

/// The platform's list of VMs. It lags.
#[async_trait]
pub trait VmList: Debug + Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails if the list can't be reached or does not answer in time.
    async fn vms(&self) -> Result<Vec<Vm>, Error>;
}

/// The control side of servers.
#[async_trait]
pub trait ServerControl: Debug + Send + Sync {
    /// Sends orders to the server at `address` and waits for its acknowledgements. An empty list
    /// asks for its clock, incarnation and load alone.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached or does not answer within `wait`. Each order then
    /// counts as possibly accepted, unless the fate is [`CallOutcome::NotDone`](crate::Fate::NotDone).
    async fn order(
        &self,
        address: SocketAddr,
        orders: Vec<Order>,
        wait: Duration,
    ) -> Result<OrderReply, Error>;

    /// Asks the server to stop a request that runs or waits there.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached or does not answer within `wait`.
    async fn cancel(&self, address: SocketAddr, request: &str, wait: Duration)
    -> Result<(), Error>;
}
