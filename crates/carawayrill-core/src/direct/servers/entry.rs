//! The entries of servers, and which of two is the later word of a server.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::direct::incarnation::Born;
use crate::direct::incarnation::IncarnationOrder;
use crate::id::DataCentreId;
use crate::id::ServerId;
use crate::id::ServiceId;

/// A server's entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// The start time that identifies this incarnation.
    pub born: Born,
    /// The number of this entry among those that this incarnation has written. An entry that differs
    /// from the one before in nothing else may not have been stored, so numbers may be left out.
    pub sequence: u64,
    /// The service that it runs.
    pub service: ServiceId,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it has announced that it will stop.
    pub draining: bool,
    /// The remaining warm-up time, as of its last report. The server is slow until then.
    pub cold_for: Duration,
    /// The version of its software.
    pub software: CompactString,
}

/// What an entry says, compared with what is known of its server.
///
/// A write that got no answer may be carried out seconds later, so that the store lists an entry that
/// its server has replaced. It also lists such entries after it was restored from an older copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It is the latest word of the server.
    Current,
    /// It is older than the known entry of the same incarnation.
    Outdated,
    /// It is of an incarnation that has ended, as far as is known.
    Former,
}

/// The place of an entry among all those of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EntryPosition {
    pub(super) born: Born,
    sequence: u64,
}

impl From<&Server> for EntryPosition {
    fn from(server: &Server) -> Self {
        Self {
            born: server.born,
            sequence: server.sequence,
        }
    }
}

impl EntryPosition {
    /// Returns what an entry at this position says if the entry at `known` is known.
    pub(super) fn freshness(self, known: Self) -> Freshness {
        match self.born.relative_to(known.born) {
            IncarnationOrder::Earlier => Freshness::Former,
            IncarnationOrder::Same if self.sequence < known.sequence => Freshness::Outdated,
            IncarnationOrder::Same | IncarnationOrder::Later => Freshness::Current,
        }
    }
}
