//! The records of the store as a granter finds them, also after the store was restored from an older
//! copy.

use std::collections::BTreeMap;
use std::sync::Arc;

use carawayrill_core::direct::granter::StoredSpans;
use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::spans::SpanRecord;
use carawayrill_core::id::Era;
use carawayrill_core::id::ServiceId;
use carawayrill_core::id::Version;
use carawayrill_store::Error;
use carawayrill_store::port::ObjectStore;

use super::GranterRuntime;
use super::state::State;
use super::stored::read_stored;
use crate::lease_manager::LeaseManager;

/// The stored records of the services that no granter has taken over yet.
#[derive(Debug)]
pub(super) struct StoredRecords {
    records: BTreeMap<ServiceId, (Version, SpanRecord)>,
    /// The version of this front's lease, in the era in which the records were read.
    lease: StoredVersion,
    /// Whether the records are being read anew, because the store is in a later era.
    is_reading: bool,
    /// Whether a missing record may have been lost when the store was restored.
    may_be_lost: bool,
}

impl StoredRecords {
    /// Reads all records for the front that holds the lease.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read, or was restored since the lease was written.
    pub(super) async fn read(
        store: &dyn ObjectStore,
        lease_manager: &LeaseManager,
    ) -> Result<Self, Error> {
        let (era, records) = read_stored(store).await?;
        let lease = lease_manager.version();
        if era != lease.era {
            return Err(Error::malformed("the store was restored"));
        }
        Ok(Self {
            records,
            lease,
            is_reading: false,
            may_be_lost: !lease_manager.is_first_era(),
        })
    }

    /// Takes what is stored of one service.
    pub(super) fn take(&mut self, service: &ServiceId) -> StoredSpans {
        let read = self.records.remove(service);
        let version = read.as_ref().map_or(Version(0), |(version, _)| *version);
        StoredSpans {
            version: self.in_era(version),
            record: read.map(|(_, record)| record),
            may_be_lost: self.may_be_lost,
            lease: self.lease,
        }
    }

    fn in_era(&self, version: Version) -> StoredVersion {
        StoredVersion {
            era: self.lease.era,
            version,
        }
    }
}

impl GranterRuntime {
    /// Starts to write the records anew if the store was restored from an older copy and this front
    /// has renewed its lease since.
    pub(super) fn follow_era(self: &Arc<Self>) {
        let era = self.store.era();
        let mut state = self.state();
        let renewed = self.lease_manager.version().era == era && self.is_current();
        if era != state.stored.lease.era && renewed && !state.stored.is_reading {
            state.stored.is_reading = true;
            tokio::spawn(Arc::clone(self).enter_era(era));
        }
    }

    async fn enter_era(self: Arc<Self>, era: Era) {
        let read = read_stored(&*self.store).await;
        let lease = self.lease_manager.version();
        let mut state = self.state();
        state.stored.is_reading = false;
        match read {
            Ok((read_era, records)) if read_era == era && lease.era == era => {
                log::warn!("the store was restored: writing the spans again in era {era}");
                state.enter_era(lease, records);
            }
            Ok((read_era, _)) => log::info!("read spans of era {read_era} instead of era {era}"),
            Err(err) => log::info!("could not read the restored spans: {err}"),
        }
    }
}

impl State {
    /// Continues in a later era of the store, which has these `records`; `lease` is the version of
    /// the lease as renewed in that era.
    fn enter_era(
        &mut self,
        lease: StoredVersion,
        records: BTreeMap<ServiceId, (Version, SpanRecord)>,
    ) {
        self.stored = StoredRecords {
            records,
            lease,
            is_reading: false,
            may_be_lost: true,
        };
        for (service, granter) in &mut self.granters {
            let found = self.stored.take(service);
            granter.enter_era(found.version, lease);
        }
    }
}
