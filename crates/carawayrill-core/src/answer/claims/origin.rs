//! How a router came to be the home of a shard, and what it may know of the shard's claims.

use xxhash_rust::xxh3::xxh3_64;

use crate::assignment::Assignment;
use crate::assignment::Reason;
use crate::number;
use crate::ownership::evidence::Run;
use crate::token::Term;

number! {
    /// Identifies one stored assignment of a shard. A copy of claims is complete for one lineage.
    Lineage;
}

impl Lineage {
    /// No copy is complete for this lineage.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the lineage of a stored assignment: a hash of all its fields, so that a standby
    /// home that is named again after another one does not trust its old copy.
    #[must_use]
    pub fn of(row: &Assignment) -> Self {
        let text = serde_json::to_vec(row).unwrap_or_default();
        Self(xxh3_64(&text).max(1))
    }
}

/// How a router came to be the home of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The shard has never had a home before.
    Initial,
    /// Another home may have had it before. Copies that are complete for this lineage have all its
    /// claims.
    TakenOver(Lineage),
}

/// Tells how this router came to be the home of a shard under `term`, by the assignment that it
/// knows.
///
/// The assignment may be older or newer than the authority under which this router acts; the
/// answer is then that claims may be missing.
///
/// - If the assignment appoints this run of the router, the former home may have handed its claims
///   over for just this assignment.
/// - If this router acts under the reserved term of an assignment that names it as standby home,
///   the home copied its claims for that assignment.
#[must_use]
pub fn origin_of(row: Option<&Assignment>, me: &Run, term: Term) -> Origin {
    let Some(row) = row else {
        return Origin::TakenOver(Lineage::UNKNOWN);
    };
    let appointed = row.home == me.router && row.home_run == me.incarnation;
    let standby =
        row.standby_home.as_ref() == Some(&me.router) && row.standby_home_run == me.incarnation;
    if appointed && row.token.term == term {
        return match row.reason {
            Reason::Initial => Origin::Initial,
            _ => Origin::TakenOver(Lineage::of(row)),
        };
    }
    if standby && row.token.term.reserved() == term {
        return Origin::TakenOver(Lineage::of(row));
    }
    Origin::TakenOver(Lineage::UNKNOWN)
}
