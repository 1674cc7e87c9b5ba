//! The regions to which the requests of a route are restricted.
//!
//! It is designed for the loss of all servers of a region and for servers in home regions that are
//! nearly full: a request of a route with homes has no other servers, so requests of routes without
//! homes leave it room, and keys are placed where every route to their service may send.

pub mod room;
pub mod services;

use std::collections::BTreeSet;

use crate::id::RegionId;

/// The home regions of a route. Without any, the requests are not restricted.
///
/// # Examples
///
/// ```
/// use carawayrill_core::direct::homes::Homes;
///
/// let homes: Homes = ["east".parse().unwrap()].into_iter().collect();
/// assert!(homes.allows(Some(&"east".parse().unwrap())));
/// assert!(!homes.allows(Some(&"west".parse().unwrap())));
/// assert!(Homes::default().allows(None));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Homes {
    regions: BTreeSet<RegionId>,
}

impl Homes {
    /// Returns whether the requests are restricted to some regions.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        !self.regions.is_empty()
    }

    /// Returns whether requests may be sent to a region. `None` stands for an unknown region, which
    /// is not a home.
    #[must_use]
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        !self.is_restricted() || region.is_some_and(|region| self.regions.contains(region))
    }

    /// Removes the regions that are not known, and returns them.
    pub fn remove_unknown(&mut self, is_known: impl Fn(&RegionId) -> bool) -> BTreeSet<RegionId> {
        let regions = std::mem::take(&mut self.regions);
        let (known, unknown) = regions.into_iter().partition(is_known);
        self.regions = known;
        unknown
    }

    /// Iterates over the home regions.
    pub fn iter(&self) -> impl Iterator<Item = &RegionId> {
        self.regions.iter()
    }
}

impl FromIterator<RegionId> for Homes {
    fn from_iter<T: IntoIterator<Item = RegionId>>(iter: T) -> Self {
        Self {
            regions: iter.into_iter().collect(),
        }
    }
}
