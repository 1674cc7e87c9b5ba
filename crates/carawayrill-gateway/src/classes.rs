//! Which classes of requests share a service, as far as they send it more than a few requests.

use std::collections::BTreeMap;
use std::collections::HashMap;

use carawayrill_core::direct::priority::classes;
use carawayrill_core::direct::priority::classes::Class;
use carawayrill_core::direct::request_share::RequestShare;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;

use crate::state::Tables;

/// The share of each class in the requests that callers send to this front, by service and priority.
#[derive(Debug, Default)]
pub struct ClassShares {
    services: HashMap<ServiceId, BTreeMap<u32, RequestShare>>,
}

impl Tables {
    /// Counts a request of a service that routes of different priority share.
    pub fn count_class(&mut self, service: &ServiceId, priority: u32, now: Time) {
        let classes = self.routes.shared_services().classes(service);
        if classes.is_empty() {
            return;
        }
        let shares = self.class_shares.services.entry(service.clone());
        let shares = shares.or_default();
        for class in classes {
            let counted = u32::from(class.priority == priority);
            let share = shares.entry(class.priority).or_default();
            share.record(counted, 1, now);
        }
    }

    /// Returns the classes that share a service, send it more than a few requests and give way to one
    /// another, the most urgent first.
    #[must_use]
    pub fn shared_classes(&self, service: &ServiceId) -> Vec<Class> {
        let Some(shares) = self.class_shares.services.get(service) else {
            return Vec::new();
        };
        let classes = self.routes.shared_services().classes(service);
        let is_significant = |class: &&Class| {
            let share = shares.get(&class.priority);
            share.is_some_and(RequestShare::is_significant)
        };
        let significant: Vec<Class> = classes.iter().filter(is_significant).copied().collect();
        classes::contending(&significant)
    }
}
