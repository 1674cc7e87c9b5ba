//! What the tables of this front say of evacuated data centres.

use std::collections::BTreeSet;

use carawayrill_core::id::DataCentreId;

use crate::spans::SpanEntry;
use crate::state::Shared;
use crate::state::Tables;

impl Tables {
    /// Returns the data centres that are evacuated.
    #[must_use]
    pub(crate) fn evacuated_data_centres(&self) -> BTreeSet<DataCentreId> {
        self.evacuations.iter().cloned().collect()
    }

    /// Returns the number of keys, of all keyed services, whose owner is in an evacuated data centre.
    #[must_use]
    fn evacuated_keys(&self) -> u64 {
        let is_evacuated = |span: &&SpanEntry| {
            let owner = self.servers.get(&span.server);
            owner.is_some_and(|server| self.evacuations.contains(&server.data_centre))
        };
        let spans = self.spans.values().flat_map(|table| &table.spans);
        spans
            .filter(is_evacuated)
            .map(|span| u64::from(span.range.last - span.range.first) + 1)
            .sum()
    }
}

impl Shared {
    /// Brings the metrics of evacuations up to date.
    pub(crate) fn update_evacuation_metrics(&self) {
        let (data_centres, keys) = {
            let tables = self.tables();
            let data_centres = tables.evacuations.iter().count();
            let keys = if data_centres == 0 {
                0
            } else {
                tables.evacuated_keys()
            };
            (data_centres, keys)
        };
        let gauge = |count: Option<i64>| count.unwrap_or(i64::MAX);
        self.metrics
            .evacuated_data_centres
            .set(gauge(i64::try_from(data_centres).ok()));
        self.metrics
            .evacuated_keys
            .set(gauge(i64::try_from(keys).ok()));
    }
}
