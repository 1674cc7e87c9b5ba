//! Fronts that reach no server of one service: whether they count as cut off.

use std::collections::BTreeSet;
use std::time::Duration;

use carawayrill_core::direct::reach::PROBES;
use carawayrill_core::direct::reach::ReachChange;
use carawayrill_core::direct::reach::ServerReach;
use carawayrill_core::direct::reach::ServiceSizes;
use carawayrill_core::direct::reach::choose_probes;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(5);
/// The time for which an attempt to connect to a server takes that does not respond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const FAULT_AT: Time = Time(2_000);
const END: Time = Time(12_000);

fn service(name: &str) -> ServiceId {
    name.parse().expect("a name")
}

fn servers(of: &str, count: u16) -> Vec<Server> {
    let server = |number: u16| Server {
        id: format!("i-{of}-{number}").parse().expect("a name"),
        born: "1".parse().expect("a start time"),
        sequence: 1,
        service: service(of),
        address: ([10, 0, 1, 1], 1_000 + number).into(),
        data_centre: "a".parse().expect("a name"),
        slots: 2,
        draining: false,
        cold_for: Duration::ZERO,
        software: "v1".into(),
    };
    (0..count).map(server).collect()
}

fn sizes(servers: &[Server]) -> ServiceSizes {
    let mut sizes = ServiceSizes::new();
    for server in servers {
        *sizes.entry(server.service.clone()).or_insert(0) += 1;
    }
    sizes
}

/// What a fault does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// All servers of service `x` refuse connections, and all but one of `crashed` others.
    OneService { crashed_elsewhere: usize },
    /// Attempts to connect to any server time out.
    Cut,
    /// All servers refuse connections.
    Refused,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    lost_after: Option<Duration>,
    probes: usize,
}

/// One front that sends requests to a service, or to all, in virtual time.
struct Play<'a> {
    servers: &'a [Server],
    fault: Fault,
    reach: ServerReach,
    pending: Vec<(Time, Server)>,
    outcome: Outcome,
    rng: ChaCha8Rng,
}

impl Play<'_> {
    fn run(mut self, targets: &[Server]) -> Outcome {
        let mut now = Time(0);
        while now < END {
            now = now + STEP;
            let (due, pending) = std::mem::take(&mut self.pending)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.pending = pending;
            let due: Vec<(Time, Server)> = due;
            for (_, server) in due {
                self.fail(&server, now);
            }
            let target = &targets[self.rng.random_range(0..targets.len())];
            self.connect(target, now);
            self.probe(now);
        }
        self.outcome
    }

    fn connect(&mut self, server: &Server, now: Time) {
        let number = usize::from(server.address.port() - 1_000);
        let fails = now >= FAULT_AT
            && match self.fault {
                Fault::OneService { crashed_elsewhere } => {
                    server.service.as_str() == "x" || number < crashed_elsewhere
                }
                Fault::Cut | Fault::Refused => true,
            };
        if !fails {
            let _change = self.reach.record_connected(now);
        } else if self.fault == Fault::Cut {
            self.pending.push((now + CONNECT_TIMEOUT, server.clone()));
        } else {
            self.fail(server, now);
        }
    }

    fn fail(&mut self, server: &Server, now: Time) {
        let sizes = sizes(self.servers);
        let change = self
            .reach
            .record_failed_of(&server.id, &server.service, &sizes, now);
        if let Some(ReachChange::Lost(_)) = change {
            let after = now.since(FAULT_AT);
            self.outcome.lost_after.get_or_insert(after);
        }
    }

    fn probe(&mut self, now: Time) {
        let Some(suspected) = self.reach.begin_probe(now) else {
            return;
        };
        let chosen = choose_probes(self.servers.iter(), &suspected, &mut self.rng);
        self.outcome.probes += chosen.len();
        for server in chosen {
            self.connect(server, now);
        }
    }
}

fn play(servers: &[Server], targets: &[Server], fault: Fault, seed: u64) -> Outcome {
    let play = Play {
        servers,
        fault,
        reach: ServerReach::default(),
        pending: Vec::new(),
        outcome: Outcome::default(),
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    play.run(targets)
}

/// Guards against a granter that releases its lease, and fronts that pass requests on to each other,
/// while one service is down (issue 28). Each front tries a server every 5 ms throughout.
#[rstest]
fn the_outage_of_one_service_cuts_off_nobody(
    #[values(1, 2, 50)] of_service: u16,
    #[values((1, 0), (2, 1), (50, 0), (50, 2))] elsewhere: (u16, usize),
    #[values(false, true)] sends_to_all: bool,
) {
    let (others, crashed_elsewhere) = elsewhere;
    let down = servers("x", of_service);
    let all = [down.clone(), servers("y", others)].concat();
    let targets = if sends_to_all { &all } else { &down };
    for seed in 0..20 {
        let fault = Fault::OneService { crashed_elsewhere };
        let outcome = play(&all, targets, fault, seed);
        assert_eq!(outcome.lost_after, None, "{seed}");
        // One probe a second at most.
        assert!(outcome.probes <= 11 * PROBES, "{outcome:?}");
    }
}

/// Guards against fronts that are cut off and do not notice it in time, whatever their requests use.
#[rstest]
fn a_cut_is_noticed_within_two_seconds(
    #[values(1, 2, 50)] of_service: u16,
    #[values(1, 2, 50)] others: u16,
    #[values(false, true)] sends_to_all: bool,
    #[values(Fault::Cut, Fault::Refused)] fault: Fault,
) {
    let used = servers("x", of_service);
    let all = [used.clone(), servers("y", others)].concat();
    let targets = if sends_to_all { &all } else { &used };
    for seed in 0..20 {
        let outcome = play(&all, targets, fault, seed);
        let lost_after = outcome.lost_after.expect("noticed");
        assert!(lost_after <= Duration::from_secs(2), "{outcome:?}");
    }
}

/// In a deployment with one service nothing else can be probed.
#[test]
fn one_service_is_judged_by_itself() {
    let all = servers("x", 50);
    let sizes = sizes(&all);
    let mut reach = ServerReach::default();
    let mut fail = |number: usize| {
        let id = &all[number].id;
        reach.record_failed_of(id, &service("x"), &sizes, Time(100))
    };
    assert_eq!(fail(0), None);
    assert_eq!(fail(1), None);
    assert_eq!(fail(2), Some(ReachChange::Lost(3)));
    assert_eq!(reach.begin_probe(Time(100)), None);
}

/// Guards against a probe right after each failure while a service is down.
#[test]
fn a_probe_is_not_repeated_within_a_second() {
    let all = [servers("x", 3), servers("y", 50)].concat();
    let sizes = sizes(&all);
    let mut reach = ServerReach::default();
    for (at, expected) in [(100, true), (1_050, false), (1_100, true)] {
        for server in &all[..3] {
            let change = reach.record_failed_of(&server.id, &service("x"), &sizes, Time(at));
            assert_eq!(change, None);
        }
        assert_eq!(reach.begin_probe(Time(at)).is_some(), expected, "{at}");
        if expected {
            assert_eq!(reach.record_connected(Time(at)), None);
        }
    }
}

#[test]
fn probes_go_to_different_servers_of_other_services() {
    let all = [servers("x", 9), servers("y", 9), servers("z", 9)].concat();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..100 {
        let chosen = choose_probes(all.iter(), &service("x"), &mut rng);
        let ids: BTreeSet<_> = chosen.iter().map(|server| &server.id).collect();
        assert_eq!(ids.len(), PROBES);
        assert!(chosen.iter().all(|server| server.service != service("x")));
    }
}
