//! Home regions: key placement, splits, and room on servers in home regions under load.

use std::collections::BTreeSet;
use std::time::Duration;

use carawayrill_core::direct::admission;
use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::homes::room;
use carawayrill_core::direct::homes::services::KeyPlacement;
use carawayrill_core::direct::homes::services::Regions;
use carawayrill_core::direct::homes::services::ServiceHomes;
use carawayrill_core::direct::homes::services::remove_unknown_homes;
use carawayrill_core::direct::manifest::Destination;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::manifest::Route;
use carawayrill_core::direct::priority::reserve::Reserve;
use carawayrill_core::direct::request_share::RequestShare;
use carawayrill_core::direct::routes::Routes;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// The response time of an idle server, in milliseconds.
const IDLE_MS: f64 = 100.0;
/// The slots of a server.
const SLOTS: f64 = 6.0;
/// The simulated time between two steps, in milliseconds.
const STEP_MS: f64 = 10.0;
/// The number of steps: 10 s.
const STEPS: u32 = 1_000;

fn regions() -> Regions {
    let pairs = [("a", "east"), ("b", "east"), ("c", "west"), ("d", "south")];
    pairs
        .into_iter()
        .map(|(data_centre, region)| {
            let data_centre = data_centre.parse().expect("a name");
            (data_centre, region.parse().expect("a name"))
        })
        .collect()
}

/// Returns a manifest with a route for each list of homes, which are separated by spaces.
fn manifest(homes: &[&str], destinations: &[(&str, u32)]) -> Manifest {
    let routes = homes.iter().enumerate().map(|(number, homes)| Route {
        name: format!("r-{number}").into(),
        host: "forms.example".into(),
        prefix: format!("/{number}/").into(),
        destinations: destinations
            .iter()
            .map(|(service, weight)| Destination {
                service: service.parse().expect("a name"),
                weight: *weight,
            })
            .collect(),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(400),
        max_tries: 2,
        priority: 0,
        homes: homes
            .split_whitespace()
            .map(|region| region.parse().expect("a name"))
            .collect(),
    });
    Manifest {
        routes: routes.collect(),
        ..Manifest::default()
    }
}

fn data_centres(names: &str) -> BTreeSet<DataCentreId> {
    names
        .split_whitespace()
        .map(|name| name.parse().expect("a name"))
        .collect()
}

fn excluded(names: &str) -> KeyPlacement {
    KeyPlacement::Excluded(data_centres(names))
}

/// Keys outside of a home of any route would leave that route's requests without an owner.
#[rstest]
#[case::no_homes(&["", ""], "a b c d", KeyPlacement::Unrestricted)]
#[case::one_route(&["east"], "a b c d", excluded("c d"))]
#[case::a_route_without_homes_does_not_matter(&["east", ""], "a b c d", excluded("c d"))]
#[case::common_homes(&["east west", "west south"], "a b c d", excluded("a b d"))]
#[case::no_common_home(&["east", "west"], "a b c d", KeyPlacement::NoCommonHome)]
#[case::region_lost(&["east"], "c d", KeyPlacement::NoServer)]
#[case::data_centre_of_unknown_region(&["east"], "a x", excluded("c d x"))]
fn keys_are_placed_where_all_routes_may_send(
    #[case] homes: &[&str],
    #[case] usable: &str,
    #[case] expected: KeyPlacement,
) {
    let homes = ServiceHomes::new(&manifest(homes, &[("forms", 1)]));
    let service: ServiceId = "forms".parse().expect("a name");
    let usable = data_centres(usable);
    let placement = homes.key_placement(&service, &regions(), &usable, true);
    assert_eq!(placement, expected);
    let other: ServiceId = "signs".parse().expect("a name");
    let placement = homes.key_placement(&other, &regions(), &usable, true);
    assert_eq!(placement, KeyPlacement::Unrestricted);
}

/// Guards against crowding all keys of a service into the homes of a route that is hardly used.
#[rstest]
#[case::beside_a_route_without_homes(&["east", ""], KeyPlacement::FewRequests)]
#[case::all_routes_have_homes(&["east", "east west"], excluded("c d"))]
fn a_few_requests_with_homes_do_not_move_the_keys_of_all_others(
    #[case] homes: &[&str],
    #[case] expected: KeyPlacement,
) {
    let homes = ServiceHomes::new(&manifest(homes, &[("forms", 1)]));
    let service: ServiceId = "forms".parse().expect("a name");
    let usable = data_centres("a b c d");
    let placement = homes.key_placement(&service, &regions(), &usable, false);
    assert_eq!(placement, expected);
}

/// Guards against keys that move back and forth while the share is near the bound.
#[test]
fn the_share_of_requests_with_homes_has_to_fall_well_below_the_bound() {
    let mut share = RequestShare::default();
    let mut second = 0;
    let mut play = |with_homes, seconds| {
        for _second in 0..seconds {
            second += 1;
            share.record(with_homes, 100, Time(second * 1_000));
        }
        share.is_significant()
    };
    assert!(!play(2, 20), "a few requests");
    assert!(play(20, 20), "a fifth of the requests");
    assert!(play(6, 20), "near the bound");
    assert!(play(0, 1), "one second without any");
    assert!(!play(0, 20), "none for long");
}

/// Guards against a placement that depends on the first few requests.
#[test]
fn a_share_of_next_to_no_requests_is_not_known() {
    let mut share = RequestShare::default();
    share.record(4, 4, Time(1_000));
    assert!(!share.is_significant());
}

/// An unknown region must not make the known homes of the route, or those of others, ineffective.
#[test]
fn an_unknown_home_is_removed_and_the_others_stay() {
    let mut manifest = manifest(&["east nowhere", "west"], &[("forms", 1)]);
    let removed = remove_unknown_homes(&mut manifest, &regions());
    assert_eq!(removed.len(), 1);
    assert_eq!(removed[0].route, "r-0");
    assert_eq!(removed[0].region.as_str(), "nowhere");
    let left = |at: usize| -> Vec<String> {
        let homes = manifest.routes[at].homes.iter();
        homes.map(ToString::to_string).collect()
    };
    assert_eq!(left(0), ["east"]);
    assert_eq!(left(1), ["west"]);
}

/// Counts how often each destination is chosen in 60 requests, and whether it has a server at home.
fn shares(routes: &mut Routes, path: &str, with_server: &[&str]) -> (Vec<usize>, bool) {
    let mut counts = vec![0; 3];
    let mut at_home = true;
    for _request in 0..60 {
        let has_server = |_homes: &_, service: &ServiceId| with_server.contains(&service.as_str());
        let found = routes
            .find("forms.example", path, has_server)
            .expect("a route");
        let names = ["forms", "signs", "maps"];
        let index = names
            .iter()
            .position(|name| found.service.as_str() == *name);
        counts[index.expect("a destination")] += 1;
        at_home &= found.has_home_server;
    }
    (counts, at_home)
}

/// A share for a destination without a server in a home would be refused in vain. Without homes the
/// split must stay as it was.
#[rstest]
#[case::all("/0/x", &["forms", "signs", "maps"], &[30, 20, 10], true)]
#[case::one_without_server("/0/x", &["forms", "maps"], &[45, 0, 15], true)]
#[case::none("/0/x", &[], &[30, 20, 10], false)]
#[case::no_homes("/1/x", &[], &[30, 20, 10], true)]
fn a_split_leaves_out_destinations_without_a_server_in_a_home(
    #[case] path: &str,
    #[case] with_server: &[&str],
    #[case] expected: &[usize],
    #[case] at_home: bool,
) {
    let destinations = [("forms", 3), ("signs", 2), ("maps", 1)];
    let mut routes = Routes::new(&manifest(&["east", ""], &destinations));
    let found = shares(&mut routes, path, with_server);
    assert_eq!(found, (expected.to_vec(), at_home));
}

/// After a region is back, its destination must not be sent what it missed.
#[test]
fn a_destination_that_returns_gets_its_usual_share() {
    let destinations = [("forms", 3), ("signs", 2), ("maps", 1)];
    let mut routes = Routes::new(&manifest(&["east"], &destinations));
    shares(&mut routes, "/0/x", &["forms", "maps"]);
    let (counts, _) = shares(&mut routes, "/0/x", &["forms", "signs", "maps"]);
    assert_eq!(counts, [30, 20, 10]);
}

/// While a change of homes propagates, a front with the old manifest must keep to the old homes also
/// for requests that it accepted before it learned the new ones.
#[test]
fn each_request_keeps_the_homes_of_the_manifest_that_accepted_it() {
    let mut at_old = Routes::new(&manifest(&["east"], &[("forms", 1)]));
    let mut at_new = Routes::new(&manifest(&["west"], &[("forms", 1)]));
    let accept = |routes: &mut Routes| {
        let found = routes.find("forms.example", "/0/x", |_homes, _service| true);
        found.expect("a route").route
    };
    let old = accept(&mut at_old);
    let new = accept(&mut at_new);
    at_old = Routes::new(&manifest(&["west"], &[("forms", 1)]));
    let (east, west) = (
        "east".parse().expect("a name"),
        "west".parse().expect("a name"),
    );
    assert!(old.homes.allows(Some(&east)) && !old.homes.allows(Some(&west)));
    assert!(new.homes.allows(Some(&west)) && !new.homes.allows(Some(&east)));
    assert_eq!(accept(&mut at_old).homes, new.homes);
}

/// How requests without homes are sent.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    /// As if no route had homes.
    NoRoom,
    /// They leave room on servers in homes.
    Room,
}

/// The share of the requests of each class that were sent, and where those without homes went.
#[derive(Debug)]
struct Served {
    restricted: f64,
    unrestricted: f64,
    unrestricted_at_home: f64,
}

/// The servers of a region that is a home, and those elsewhere, with the requests at each.
struct Fleet {
    requests: Vec<f64>,
    at_home: usize,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn candidates(&self) -> Vec<Candidate> {
        let servers = self.requests.iter().enumerate();
        servers
            .map(|(number, requests)| {
                let service_rounds = ((requests + 1.0) / SLOTS).max(1.0);
                Candidate {
                    server: format!("s-{number}").parse().expect("a name"),
                    distance: if number < self.at_home {
                        Distance::SameRegion
                    } else {
                        Distance::OtherRegion
                    },
                    response_ms: service_rounds * IDLE_MS,
                    service_rounds,
                    requests_ahead: *requests,
                    slots: 6,
                    failure_cost_ms: 0.0,
                    usable: true,
                }
            })
            .collect()
    }

    /// Sends a request, and returns the number of its server.
    fn send(&mut self, restricted: bool, rule: Rule) -> Option<usize> {
        let profile = RequestProfile {
            objective_left: Duration::from_millis(400),
            deadline_left: Duration::from_secs(1),
            // Large enough that a front keeps requests in its region as long as it can.
            size_kib: 20.0,
        };
        let mut candidates = self.candidates();
        let is_home = |one: &Candidate| one.distance != Distance::OtherRegion;
        if restricted {
            candidates.retain(is_home);
        }
        let rng = &mut self.rng;
        let choice = if restricted || rule == Rule::NoRoom {
            admission::choose(&candidates, &profile, IDLE_MS, 70, rng)
        } else {
            let none = Reserve::default();
            room::choose(&candidates, is_home, &profile, &none, IDLE_MS, 70, rng).choice
        };
        let Choice::Send(server) = choice else {
            return None;
        };
        let number = server.as_str()[2..].parse().expect("a number");
        self.requests[number] += 1.0;
        Some(number)
    }

    /// Lets all servers work for one step.
    fn work(&mut self) {
        for requests in &mut self.requests {
            *requests = (*requests - requests.min(SLOTS) * STEP_MS / IDLE_MS).max(0.0);
        }
    }
}

/// Sends both classes at these rates (requests a second) to 8 servers in the home region, which can
/// do 480 a second, and to `elsewhere` servers, which can do 60 a second each.
fn run(restricted: f64, unrestricted: f64, elsewhere: usize, rule: Rule) -> Served {
    let mut fleet = Fleet {
        requests: vec![0.0; 8 + elsewhere],
        at_home: 8,
        rng: ChaCha8Rng::seed_from_u64(7),
    };
    let (mut due, mut sent, mut asked) = ([0.0; 2], [0.0; 2], [0.0; 2]);
    let mut unrestricted_at_home = 0.0;
    for _step in 0..STEPS {
        due[0] += restricted * STEP_MS / 1_000.0;
        due[1] += unrestricted * STEP_MS / 1_000.0;
        while due.iter().any(|due| *due >= 1.0) {
            for class in 0..2 {
                if due[class] < 1.0 {
                    continue;
                }
                due[class] -= 1.0;
                asked[class] += 1.0;
                if let Some(server) = fleet.send(class == 0, rule) {
                    sent[class] += 1.0;
                    unrestricted_at_home += f64::from(u8::from(class == 1 && server < 8));
                }
            }
        }
        fleet.work();
    }
    Served {
        restricted: sent[0] / asked[0],
        unrestricted: sent[1] / asked[1],
        unrestricted_at_home: unrestricted_at_home / sent[1],
    }
}

/// Servers in homes that are filled by requests which may go elsewhere refuse those which may not.
#[test]
fn requests_without_homes_leave_room_while_servers_elsewhere_have_some() {
    let with_room = run(400.0, 250.0, 5, Rule::Room);
    assert!(with_room.restricted > 0.99, "{with_room:?}");
    assert!(with_room.unrestricted > 0.99, "{with_room:?}");
    let without = run(400.0, 250.0, 5, Rule::NoRoom);
    assert!(without.restricted < 0.9, "{without:?}");
}

/// A rule that kept requests without homes away from idle servers would waste capacity.
#[test]
fn requests_without_homes_use_spare_capacity_in_homes() {
    let served = run(60.0, 300.0, 2, Rule::Room);
    assert!(served.restricted > 0.99, "{served:?}");
    assert!(served.unrestricted > 0.99, "{served:?}");
    assert!(served.unrestricted_at_home > 0.5, "{served:?}");
}

/// Without any server elsewhere the usual limit applies: both classes are served alike.
#[test]
fn without_servers_elsewhere_both_classes_share_the_home_servers() {
    let served = run(300.0, 300.0, 0, Rule::Room);
    let usual = run(300.0, 300.0, 0, Rule::NoRoom);
    let total = |served: &Served| served.restricted + served.unrestricted;
    assert!(
        (total(&served) - total(&usual)).abs() < 0.05,
        "{served:?} {usual:?}"
    );
    assert!(served.unrestricted > 0.6, "{served:?}");
}

/// Guards against filling the links between regions with large responses for the sake of a few slots.
#[rstest]
#[case::small(4.0, true)]
#[case::large(90.0, false)]
fn large_requests_leave_no_room(#[case] size_kib: f64, #[case] leaves: bool) {
    let candidate = |name: &str, distance: Distance, response_ms: f64| Candidate {
        server: name.parse().expect("a name"),
        distance,
        response_ms,
        service_rounds: response_ms / IDLE_MS,
        requests_ahead: 0.0,
        slots: 6,
        failure_cost_ms: 0.0,
        usable: true,
    };
    let candidates = [
        candidate("home", Distance::SameRegion, 300.0),
        candidate("elsewhere", Distance::OtherRegion, 100.0),
    ];
    let profile = RequestProfile {
        objective_left: Duration::from_millis(400),
        deadline_left: Duration::from_secs(1),
        size_kib,
    };
    let is_home = |one: &Candidate| one.distance == Distance::SameRegion;
    let none = Reserve::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let chosen = room::choose(&candidates, is_home, &profile, &none, IDLE_MS, 70, &mut rng);
    assert_eq!(chosen.left_room, leaves);
    let expected = if leaves { "elsewhere" } else { "home" };
    assert_eq!(
        chosen.choice,
        Choice::Send(expected.parse().expect("a name"))
    );
}
