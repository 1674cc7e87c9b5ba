//! Traits of the external systems.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use carawayrill_core::data;
use carawayrill_core::id::Era;
use carawayrill_core::id::Revision;
use carawayrill_core::id::Version;
use carawayrill_core::order::Order;
use carawayrill_core::order::OrderReply;
use compact_str::CompactString;

use crate::Error;

/// Maximum size of the value of one object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One object of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Name, as in `assignments/forms/0`.
    pub name: CompactString,
    /// Version; 0 in the response to a watch denotes a deleted object.
    pub version: Version,
    /// Value of the object.
    pub value: Bytes,
}

impl Object {
    /// Returns the last segment of the name.
    #[must_use]
    pub fn short_name(&self) -> &str {
        self.name.rsplit('/').next().unwrap_or(&self.name)
    }
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The era of the store in which these objects were read. If it is not that of the revision
    /// after which they were asked for, they don't continue from there.
    pub era: Era,
    /// The revision from which the next watch continues.
    pub revision: Revision,
    /// The changed objects in their latest state. Empty if the wait expired without a change.
    pub objects: Vec<Object>,
}

/// The platform's object store.
#[async_trait]
pub trait ObjectStore: Debug + Send + Sync {
    /// Returns the latest era that a response of the store has named.
    ///
    /// Versions and revisions that were read in an earlier era must not be used any more. Stores
    /// that are never restored from a copy stay in the first era.
    fn era(&self) -> Era {
        Era::default()
    }

    /// Reads one object, linearizably.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or does not respond in time.
    async fn get(&self, name: &str) -> Result<Option<Object>, Error>;

    /// Reads only the version of one object, linearizably; 0 if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or does not respond in time.
    async fn version(&self, name: &str) -> Result<Version, Error>;

    /// Writes one object if its version is still `expected` (0: if there is no such object), and
    /// returns the new version.
    ///
    /// # Errors
    ///
    /// Fails with a conflict if the object has another version. After an error with
    /// [`CallOutcome::Unknown`](crate::CallOutcome::Unknown), the caller has to read back to learn
    /// whether the write took effect.
    async fn put(&self, name: &str, value: Bytes, expected: Version) -> Result<Version, Error>;

    /// Deletes one object if its version is still `expected`.
    ///
    /// # Errors
    ///
    /// As for [`put`](Self::put).
    async fn delete(&self, name: &str, expected: Version) -> Result<(), Error>;

    /// Waits up to `wait` for changes after the revision `after` to objects whose names start with
    /// `prefix`. From revision 0 it returns all such objects at once.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or does not respond in time.
    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error>;
}

data! {
    /// The state of a VM as reported by the platform.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum VmState {
        /// The VM is running.
        Live,
        /// The VM will be stopped soon.
        Leaving,
    }

    /// One entry of the list of VMs.
    pub struct Vm {
        /// Name of the server or router that runs on the VM.
        pub name: CompactString,
        /// State of the VM, possibly outdated.
        pub state: VmState,
    }
}

/// The platform's list of VMs, which may be outdated.
#[async_trait]
pub trait VmList: Debug + Send + Sync {
    /// Reads the complete list.
    ///
    /// # Errors
    ///
    /// Fails if the list can't be reached or does not respond in time.
    async fn vms(&self) -> Result<Vec<Vm>, Error>;
}

/// The control interface of servers.
#[async_trait]
pub trait ServerControl: Debug + Send + Sync {
    /// Sends orders to the server at `address` and waits for its acknowledgements. An empty list
    /// only queries the server's clock, incarnation and load.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached or does not respond within `wait`. Each order may then
    /// have been accepted, unless the outcome is
    /// [`CallOutcome::NotDone`](crate::CallOutcome::NotDone).
    async fn order(
        &self,
        address: SocketAddr,
        orders: Vec<Order>,
        wait: Duration,
    ) -> Result<OrderReply, Error>;

    /// Cancels a request that runs or waits at the server.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached or does not respond within `wait`.
    async fn cancel(&self, address: SocketAddr, request: &str, wait: Duration)
    -> Result<(), Error>;
}
