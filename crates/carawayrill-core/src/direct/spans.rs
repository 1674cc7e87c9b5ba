//! Spans: contiguous key ranges of a service, each with the server that holds it and its fence.
//!
//! When a span moves, the former holder is *settled* first: the granter makes sure that no order
//! that was sent to it, but not acknowledged, can still take effect.

use std::net::SocketAddr;

use crate::data;
use crate::direct::incarnation::Born;
use crate::direct::keys::Fence;
use crate::direct::keys::Handover;
use crate::direct::keys::KeyRange;
use crate::direct::knowledge::StoredVersion;
use crate::id::Era;
use crate::id::ServerId;

/// The number of fences that each move reserves for orders that settle the former holder.
///
/// Each order needs its own fence: an unacknowledged order may be executed late, even after a retry
/// of it.
pub const SETTLE_FENCES: u64 = 8;

data! {
    /// One incarnation of a server that holds or held keys.
    pub struct Holder {
        /// The server.
        pub server: ServerId,
        /// The start time that identifies the incarnation.
        pub born: Born,
        /// The server's address. It is stored here because a server may still hold keys after it
        /// was removed from the server list.
        pub address: SocketAddr,
    }

    /// The former holder of a span, which may still serve its keys.
    pub struct FormerHolder {
        /// The holder.
        pub holder: Holder,
        /// The fence of its grant.
        pub fence: Fence,
        /// The first of [`SETTLE_FENCES`] fences that lie between its grant and the new holder's. A
        /// grant under one of them makes the server refuse earlier orders that are still in flight.
        pub settle: Fence,
        /// The time for which a grant of this holder could still be valid when the move was
        /// recorded, in milliseconds. The next granter needs it because it does not know when the
        /// last grant was sent.
        pub left_ms: u64,
    }

    /// A contiguous range of keys and the server that holds it.
    pub struct Span {
        /// The keys.
        pub range: KeyRange,
        /// The server that holds the keys, or will hold them once `former` is settled.
        pub holder: Holder,
        /// The fence of the holder's grant.
        pub fence: Fence,
        /// The state that the former holder returned with its release.
        pub handover: Option<Handover>,
        /// The former holder that has to release the keys first; `None` if the move is complete.
        pub former: Option<FormerHolder>,
    }

    /// The stored span table of one service.
    pub struct SpanRecord {
        /// The number of rewrites of this record, so that each version differs from the last.
        pub edition: u64,
        /// The lowest unused fence.
        pub next_fence: Fence,
        /// The era of the store for which the record was written. In a later era it is what an
        /// older copy of the store says, and the spans may have moved since.
        #[serde(default)]
        pub era: Era,
        /// The spans in key order, without gaps.
        pub spans: Vec<Span>,
    }
}

impl Default for SpanRecord {
    fn default() -> Self {
        Self {
            edition: 0,
            next_fence: Fence::ZERO.next(),
            era: Era::default(),
            spans: Vec::new(),
        }
    }
}

impl SpanRecord {
    /// Returns whether this record leaves all keys of `span` with the same holder and fence.
    #[must_use]
    pub fn keeps(&self, span: &Span) -> bool {
        let first = self
            .spans
            .partition_point(|own| own.range.last < span.range.first);
        self.spans[first..]
            .iter()
            .take_while(|own| own.range.first <= span.range.last)
            .all(|own| own.fence == span.fence && own.holder == span.holder)
    }

    /// Returns whether the spans are in order and cover each key exactly once.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let mut next = 0_u32;
        for span in &self.spans {
            if u32::from(span.range.first) != next || span.range.last < span.range.first {
                return false;
            }
            next = u32::from(span.range.last) + 1;
        }
        next == u32::from(u16::MAX) + 1
    }

    /// Returns an empty record that follows this one.
    #[must_use]
    pub fn next(&self) -> Self {
        Self {
            edition: self.edition + 1,
            next_fence: self.next_fence,
            era: self.era,
            spans: Vec::new(),
        }
    }

    /// Continues in the era of `lease`, the granter's lease, with fences that nobody has given out.
    pub fn enter_era(&mut self, lease: StoredVersion) {
        self.era = lease.era;
        self.next_fence = self.next_fence.max(Fence::first_after(lease));
    }

    /// Allocates an unused fence.
    pub fn allocate_fence(&mut self) -> Fence {
        self.allocate_fences(1)
    }

    /// Allocates `count` consecutive fences and returns the first.
    pub fn allocate_fences(&mut self, count: u64) -> Fence {
        let first = self.next_fence;
        self.next_fence = Fence(first.0 + count);
        first
    }
}
