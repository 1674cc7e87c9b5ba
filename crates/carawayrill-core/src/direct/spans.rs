//! Spans: which server holds which keys of a service, under which fence.

use std::net::SocketAddr;

use crate::data;
use crate::direct::keys::Born;
use crate::direct::keys::Fence;
use crate::direct::keys::Handover;
use crate::direct::keys::KeyRange;
use crate::id::ServerId;

/// The lowest fence.
const FIRST_FENCE: Fence = Fence(1);

/// The fences that are reserved for settling a former holder. Each serves for one order: an order
/// that was not answered may be carried out later, also after the same one was sent again.
pub const SETTLE_FENCES: u64 = 8;

data! {
    /// One life of a server that holds or held keys.
    pub struct Holder {
        /// The server.
        pub server: ServerId,
        /// Its life.
        pub born: Born,
        /// Its address, kept here because a server that left the list may still hold keys.
        pub address: SocketAddr,
    }

    /// Who held a span before, and may still hold it.
    pub struct FormerHolder {
        /// The holder.
        pub holder: Holder,
        /// The fence of its grant.
        pub fence: Fence,
        /// The first of [`SETTLE_FENCES`] fences between its grant and the new one. A grant under
        /// one of them makes the server refuse earlier orders that are still on their way.
        pub settle: Fence,
        /// How long a grant of it could still run when this was recorded, in milliseconds. A
        /// successor of the granter needs it, for it does not know when the last grant was sent.
        pub left_ms: u64,
    }

    /// A range of keys with its holder.
    pub struct Span {
        /// The keys.
        pub range: KeyRange,
        /// The server that holds them, or will once `former` is settled.
        pub holder: Holder,
        /// The fence of its grant.
        pub fence: Fence,
        /// What the last holder handed over.
        pub handover: Option<Handover>,
        /// Who has to let go first.
        pub former: Option<FormerHolder>,
    }

    /// What the store keeps of one service.
    pub struct SpanRecord {
        /// Counts the rewrites of this record, so that each differs from the last.
        pub edition: u64,
        /// The lowest fence that was never used.
        pub next_fence: Fence,
        /// The spans, in order of keys and without gaps.
        pub spans: Vec<Span>,
    }
}

impl Default for SpanRecord {
    fn default() -> Self {
        Self {
            edition: 0,
            next_fence: FIRST_FENCE,
            spans: Vec::new(),
        }
    }
}

impl SpanRecord {
    /// Returns whether all keys of a span stay with its holder, under its fence.
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

    /// Returns whether the spans cover all keys, in order and once each.
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

    /// Takes an unused fence.
    pub fn allocate_fence(&mut self) -> Fence {
        self.allocate_fences(1)
    }

    /// Takes `count` unused fences in a row and returns the first.
    pub fn allocate_fences(&mut self, count: u64) -> Fence {
        let first = self.next_fence;
        self.next_fence = Fence(first.0 + count);
        first
    }
}
