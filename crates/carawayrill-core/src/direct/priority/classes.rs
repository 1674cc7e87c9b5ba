//! The services that routes of different priority share.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::admission::RequestProfile;
use crate::direct::manifest::Manifest;
use crate::direct::manifest::Route;
use crate::id::ServiceId;

/// The least ratio of a class's objective to that of a more urgent one with which it gives way. A
/// request with a shorter objective can't wait for room and still be in time, so it would only be
/// refused in the place of the urgent one.
const MIN_OBJECTIVE_RATIO: u32 = 3;

/// The requests of all routes of one priority to one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The shortest objective of the routes.
    pub objective: Duration,
    /// The shortest time limit of the routes.
    pub timeout: Duration,
}

impl Class {
    fn of(route: &Route) -> Self {
        Self {
            priority: route.priority,
            objective: route.objective,
            timeout: route.timeout,
        }
    }

    /// Returns whether requests of this class give way to those of a more urgent one.
    #[must_use]
    pub fn gives_way_to(&self, urgent: &Self) -> bool {
        let is_less_urgent = urgent.priority < self.priority;
        is_less_urgent && self.objective >= urgent.objective * MIN_OBJECTIVE_RATIO
    }

    /// Returns the profile of a request of this class that has just arrived.
    #[must_use]
    pub fn new_request(&self) -> RequestProfile {
        RequestProfile {
            objective_left: self.objective,
            deadline_left: self.timeout,
            size_kib: 0.0,
        }
    }
}

/// The classes of each service that routes of different priority share, in the manifest in force.
///
/// # Examples
///
/// ```
/// use carawayrill_core::direct::manifest::Manifest;
/// use carawayrill_core::direct::priority::classes::SharedServices;
///
/// let shared = SharedServices::new(&Manifest::default());
/// assert!(shared.classes(&"pay".parse().unwrap()).is_empty());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedServices {
    services: HashMap<ServiceId, Vec<Class>>,
}

impl SharedServices {
    /// Finds the shared services of a manifest. A destination without weight receives no requests
    /// and does not count.
    #[must_use]
    pub fn new(manifest: &Manifest) -> Self {
        let mut services: HashMap<ServiceId, Vec<Class>> = HashMap::new();
        for route in &manifest.routes {
            let receiving = route.destinations.iter().filter(|to| to.weight > 0);
            for destination in receiving {
                let classes = services.entry(destination.service.clone()).or_default();
                add_route(classes, route);
            }
        }
        services.retain(|_, classes| classes.len() > 1);
        for classes in services.values_mut() {
            classes.sort_by_key(|class| class.priority);
        }
        Self { services }
    }

    /// Returns the classes of a shared service, the most urgent first. There are none if all routes
    /// of the service have the same priority.
    #[must_use]
    pub fn classes(&self, service: &ServiceId) -> &[Class] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the classes of a shared service that are more urgent than `priority`.
    #[must_use]
    pub fn more_urgent(&self, service: &ServiceId, priority: u32) -> &[Class] {
        let classes = self.classes(service);
        let count = classes.partition_point(|class| class.priority < priority);
        &classes[..count]
    }

    /// Iterates over the shared services and their classes.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &[Class])> {
        self.services
            .iter()
            .map(|(service, classes)| (service, classes.as_slice()))
    }
}

/// Returns those of the classes that give way to another one, or to which another one gives way.
#[must_use]
pub fn contending(classes: &[Class]) -> Vec<Class> {
    let contends = |one: &&Class| {
        let mut others = classes.iter();
        others.any(|other| one.gives_way_to(other) || other.gives_way_to(one))
    };
    classes.iter().filter(contends).copied().collect()
}

fn add_route(classes: &mut Vec<Class>, route: &Route) {
    let present = classes
        .iter_mut()
        .find(|class| class.priority == route.priority);
    match present {
        Some(class) => {
            class.objective = class.objective.min(route.objective);
            class.timeout = class.timeout.min(route.timeout);
        }
        None => classes.push(Class::of(route)),
    }
}
