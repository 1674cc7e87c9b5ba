//! How a router became the home of a shard, and what it can know of the shard's claims.

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
    /// The lineage of no assignment; no copy is complete for it.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the lineage of a stored assignment.
    ///
    /// The lineage is a hash of all fields. A standby home that is appointed again after another
    /// one therefore does not use its outdated copy.
    #[must_use]
    pub fn of(row: &Assignment) -> Self {
        let text = serde_json::to_vec(row).unwrap_or_default();
        Self(xxh3_64(&text).max(1))
    }
}

/// How a router became the home of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The shard had no home before.
    Initial,
    /// The stored assignment with this lineage appoints the router. If the previous assignment did
    /// so too, the router has been the home throughout. Otherwise the former home may have handed
    /// over its claims for this lineage.
    Appointed(Lineage),
    /// The router took over as standby home after the home was lost. Copies that are complete for
    /// this lineage hold all claims.
    TakenOver(Lineage),
}

/// Returns how this router became the home of a shard under `term`, according to the assignment
/// `row`. Returns `None` if `term` does not belong to that assignment; the current assignment has
/// to be read first.
///
/// - If the assignment appoints this incarnation of the router, the former home may have handed
///   over its claims for this assignment.
/// - If the assignment names this incarnation as standby home and the router acts under the
///   reserved term, the home copied its claims for this assignment.
#[must_use]
pub fn origin_of(row: &Assignment, own_run: &RouterIncarnation, term: Term) -> Option<Origin> {
    let appointed = row.home == own_run.router && row.home_run == own_run.incarnation;
    let standby = row.standby_home.as_ref() == Some(&own_run.router)
        && row.standby_home_run == own_run.incarnation;
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
