//! Counts the requests of services that fronts have accepted.

use super::GranterRuntime;
use super::Report;
use crate::clock;

impl GranterRuntime {
    /// Counts the requests of services that another front has accepted. This front has counted its
    /// own.
    pub(super) fn record_service_loads(&self, report: &Report) {
        if report.front == self.shared.cfg.front {
            return;
        }
        let now = clock::now();
        let mut tables = self.shared.tables();
        for (service, load) in &report.service_loads {
            tables.homes.record_load(service, load, now);
        }
    }
}
