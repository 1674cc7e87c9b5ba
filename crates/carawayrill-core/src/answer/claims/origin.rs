//! How a router came to be the home of a shard, and what it may know of the shard's claims.

use xxhash_rust::xxh3::xxh3_64;

use crate::assignment::Assignment;
use crate::assignment::Reason;
use crate::number;
use crate::ownership::evidence::RouterIncarnation;
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
    /// The stored assignment with this lineage appoints it. If it was the home by the assignment
    /// before, it has been the home all the time. Else the former home may have handed its claims
    /// over for this lineage.
    Appointed(Lineage),
    /// It stands in for a lost home. Copies that are complete for this lineage have all claims.
    TakenOver(Lineage),
}

/// Tells how this router came to be the home of a shard under `term`, by the assignment that it
/// knows. Returns nothing if that assignment is not the one that the term belongs to: it has to be
/// read first.
///
/// - If the assignment appoints this run of the router, the former home may have handed its claims
///   over for just this assignment.
/// - If this router acts under the reserved term of an assignment that names it as standby home,
///   the home copied its claims for that assignment.
#[must_use]
pub fn origin_of(row: &Assignment, me: &RouterIncarnation, term: Term) -> Option<Origin> {
    let appointed = row.home == me.router && row.home_run == me.incarnation;
    let standby =
        row.standby_home.as_ref() == Some(&me.router) && row.standby_home_run == me.incarnation;
    if row.token.term == term {
        return Some(match row.reason {
            _ if !appointed => Origin::TakenOver(Lineage::UNKNOWN),
            Reason::Initial => Origin::Initial,
            _ => Origin::Appointed(Lineage::of(row)),
        });
    }
    if row.token.term.reserved() == term {
        let lineage = if standby {
            Lineage::of(row)
        } else {
            Lineage::UNKNOWN
        };
        return Some(Origin::TakenOver(lineage));
    }
    None
}
