//! The keys of an evacuated data centre under load: a granter against servers and a store that do what
//! they are told after a delay, with three data centres of which the others are nearly full.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use carawayrill_core::direct::demand::KeyDemand;
use carawayrill_core::direct::granter::Action;
use carawayrill_core::direct::granter::Config;
use carawayrill_core::direct::granter::Granter;
use carawayrill_core::direct::granter::Inputs;
use carawayrill_core::direct::granter::OrderId;
use carawayrill_core::direct::granter::OrderResult;
use carawayrill_core::direct::granter::StoredSpans;
use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::keys::Fence;
use carawayrill_core::direct::keys::KeyRange;
use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::rebalance::Capacities;
use carawayrill_core::direct::servers::Server;
use carawayrill_core::direct::servers::Servers;
use carawayrill_core::direct::spans::Holder;
use carawayrill_core::direct::spans::Span;
use carawayrill_core::direct::spans::SpanRecord;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use rstest::rstest;

/// The interval between two ticks.
const TICK: Duration = Duration::from_millis(40);
/// The time until the result of an order or a write arrives: packets to another region and back, and
/// the requests that a former holder still runs.
const RESULT_DELAY: Duration = Duration::from_millis(160);
/// The servers of each data centre.
const SERVERS: u16 = 30;
/// The data centres.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
/// The requests a second that a server can serve.
const CAPACITY: f64 = 20.0;
/// The demand in shares of the capacity of two of the three data centres.
const LOAD: f64 = 0.92;
/// The share of the bound for which requests may follow the owners of their keys: keys that leave
/// within it are never refused for the evacuation.
const OWNER_TIME: Duration = Duration::from_secs(3);
/// The highest utilisation to which moves may fill a server, as a factor of the mean.
const MAX_FILL: f64 = 1.35;
/// The least ratio of the mean rate of the ranges that leave first to that of the others.
const MIN_RATIO: f64 = 1.2;

fn data_centre(name: &str) -> DataCentreId {
    name.parse().expect("a name")
}

fn servers() -> Servers {
    let listed = DATA_CENTRES.iter().flat_map(|place| {
        (0..SERVERS).map(move |number| Server {
            id: format!("{place}-{number}").parse().expect("a name"),
            born: Born(1),
            sequence: 1,
            service: "forms".parse().expect("a name"),
            address: "127.0.0.1:2000".parse().expect("an address"),
            data_centre: data_centre(place),
            slots: 3,
            draining: false,
            cold_for: Duration::ZERO,
            software: "v1".into(),
        })
    });
    let mut servers = Servers::default();
    servers.replace_all(listed.collect(), Time(0), Time(0));
    servers
}

/// Returns a skewed demand: each 64th key gets more requests than the others.
fn demand() -> KeyDemand {
    let mut demand = KeyDemand::new(Duration::from_secs(1));
    let total = LOAD * CAPACITY * f64::from(SERVERS) * 2.0;
    let hot = 1_024_u32;
    let elapsed = Duration::from_secs(1_000);
    for number in 0..hot {
        // The hottest of them get twice the mean.
        let weight = 0.5 + f64::from(number * 7 % hot) * 1.5 / f64::from(hot);
        let requests = total / f64::from(hot) * weight * elapsed.as_secs_f64() / 1.25;
        let key = u16::try_from(number * 64).expect("a key");
        let requests = u32::try_from(floor_to_u64(requests)).expect("few requests");
        demand.add(key, requests);
    }
    demand.advance(elapsed);
    demand
}

/// Returns a record of 512 spans that are held in turns, so that each server holds several that are not
/// neighbours.
fn scattered_spans() -> StoredSpans {
    let servers = servers();
    let holders: Vec<&Server> = servers.iter().collect();
    let spans = (0..512_u16).map(|number| {
        let holder = holders[usize::from(number) * 7 % holders.len()];
        Span {
            range: KeyRange {
                first: number * 128,
                last: number * 128 + 127,
            },
            holder: Holder {
                server: holder.id.clone(),
                born: holder.born,
                address: holder.address,
            },
            fence: Fence(u64::from(number) + 1),
            handover: None,
            former: None,
        }
    });
    let record = SpanRecord {
        edition: 1,
        next_fence: Fence(1_000),
        spans: spans.collect(),
        ..SpanRecord::default()
    };
    let version = StoredVersion {
        version: Version(1),
        ..StoredVersion::default()
    };
    StoredSpans {
        version,
        record: Some(record),
        ..StoredSpans::default()
    }
}

/// What arrives at the granter later.
enum Pending {
    Stored(Version),
    Order(OrderId),
}

struct Run {
    now: Time,
    granter: Granter,
    servers: Servers,
    demand: KeyDemand,
    excluded: BTreeSet<DataCentreId>,
    stored: (Version, SpanRecord),
    pending: VecDeque<(Time, Pending)>,
}

impl Run {
    /// Starts a granter without a stored record, and waits until all keys are granted.
    fn start() -> Self {
        Self::start_from(StoredSpans::default())
    }

    fn start_from(stored: StoredSpans) -> Self {
        let mut run = Self {
            now: Time(0),
            granter: new_granter(stored, Time(0)),
            servers: servers(),
            demand: demand(),
            excluded: BTreeSet::new(),
            stored: (Version(0), SpanRecord::default()),
            pending: VecDeque::new(),
        };
        run.run(Duration::from_secs(20));
        for place in DATA_CENTRES {
            assert!(run.keys_in(place) > 0, "no keys in {place}");
        }
        run
    }

    fn evacuate(&mut self, places: &[&str]) {
        self.excluded = places.iter().map(|place| data_centre(place)).collect();
    }

    /// Replaces the granter by one that knows only the stored record, as the loss of its machine does.
    fn lose_granter(&mut self) {
        self.pending.clear();
        let (version, record) = self.stored.clone();
        let stored = StoredSpans {
            version: StoredVersion {
                version,
                ..StoredVersion::default()
            },
            record: Some(record),
            ..StoredSpans::default()
        };
        self.granter = new_granter(stored, self.now);
    }

    fn capacities(&self) -> Capacities {
        let mut capacities = Capacities::default();
        for server in self.servers.iter() {
            if !self.excluded.contains(&server.data_centre) {
                capacities.set(server.id.clone(), CAPACITY);
            }
        }
        capacities
    }

    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver();
            let capacities = self.capacities();
            let actions = self.granter.tick(&Inputs {
                now: self.now,
                servers: &self.servers,
                demand: &self.demand,
                capacities: &capacities,
                excluded: &self.excluded,
                store_unreachable: false,
                stopping: false,
            });
            let cfg = Config::default();
            assert!(actions.len() <= cfg.orders_per_tick + 1);
            for action in actions {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        let pending = match action {
            Action::Write { expected, record } => {
                self.stored = (expected.version.next(), record);
                Pending::Stored(expected.version.next())
            }
            Action::Order(order) => Pending::Order(order.id),
        };
        self.pending.push_back((self.now + RESULT_DELAY, pending));
    }

    fn deliver(&mut self) {
        while self.pending.front().is_some_and(|(at, _)| *at <= self.now) {
            match self.pending.pop_front() {
                Some((_, Pending::Stored(version))) => {
                    self.granter.record_stored(version, self.now);
                }
                Some((_, Pending::Order(id))) => {
                    self.granter
                        .order_ended(id, &OrderResult::Done(None), self.now);
                }
                None => {}
            }
        }
    }

    fn place_of(&self, server: &ServerId) -> DataCentreId {
        let listed = self.servers.get(server).expect("a listed server");
        listed.data_centre.clone()
    }

    /// Returns the number of keys whose requests are sent to a data centre or wait to be.
    fn keys_in(&self, place: &str) -> usize {
        let place = data_centre(place);
        let spans = self.granter.spans();
        let held = spans
            .iter()
            .filter(|span| self.place_of(&span.holder.server) == place);
        held.map(key_count).sum()
    }

    /// Runs until no server of the evacuated data centres holds a key. Returns how long it took.
    fn run_until_empty(&mut self) -> Duration {
        let started = self.now;
        let is_empty = |run: &Self| {
            let spans = run.granter.spans();
            spans.iter().all(|span| {
                span.former.is_none() && !run.excluded.contains(&run.place_of(&span.holder.server))
            })
        };
        while !is_empty(self) {
            self.run(TICK);
            let elapsed = self.now.since(started);
            assert!(elapsed < Duration::from_mins(1), "keys did not leave");
        }
        self.now.since(started)
    }

    fn highest_utilisation(&self) -> f64 {
        let mut rates: BTreeMap<ServerId, f64> = BTreeMap::new();
        for span in self.granter.spans() {
            *rates.entry(span.holder.server).or_default() += self.demand.range_rate(span.range);
        }
        rates
            .values()
            .fold(0.0, |one, rate| one.max(rate / CAPACITY))
    }
}

fn new_granter(stored: StoredSpans, now: Time) -> Granter {
    let service = "forms".parse().expect("a name");
    Granter::new(service, Config::default(), stored, now)
}

fn key_count(span: &Span) -> usize {
    usize::from(span.range.last - span.range.first) + 1
}

/// Guards against keys that stay while their requests are refused, and against servers elsewhere that
/// are filled beyond the room that they have.
#[test]
fn keys_leave_within_the_time_for_owners_and_fill_no_server() {
    let mut run = Run::start();
    run.evacuate(&["a"]);
    let took = run.run_until_empty();
    eprintln!("keys left after {took:?}");
    assert!(took <= OWNER_TIME, "{took:?}");
    let highest = run.highest_utilisation();
    assert!(highest <= LOAD * MAX_FILL, "{highest}");
}

/// Guards against large ranges that are placed last, on servers whose room is used up by small ones.
#[test]
fn scattered_ranges_overload_no_server() {
    let mut run = Run::start_from(scattered_spans());
    run.evacuate(&["a"]);
    run.run_until_empty();
    let highest = run.highest_utilisation();
    assert!(highest < 1.0, "{highest}");
}

/// Guards against busy keys that wait for their new owner behind idle ones.
#[test]
fn busy_keys_leave_first() {
    let mut run = Run::start_from(scattered_spans());
    let mut held: Vec<Span> = run.granter.spans();
    held.retain(|span| run.place_of(&span.holder.server) == data_centre("a"));
    run.evacuate(&["a"]);
    // The rate and the time at which each of the ranges was first served elsewhere.
    let mut left: Vec<(Duration, f64)> = Vec::new();
    let started = run.now;
    while !held.is_empty() {
        run.run(TICK);
        let spans = run.granter.spans();
        let has_left = |span: &Span| {
            let now = spans
                .iter()
                .filter(|now| now.range.overlaps(span.range))
                .collect::<Vec<_>>();
            now.iter().all(|now| {
                now.former.is_none() && run.place_of(&now.holder.server) != data_centre("a")
            })
        };
        let elapsed = run.now.since(started);
        for span in held.iter().filter(|span| has_left(span)) {
            left.push((elapsed, run.demand.range_rate(span.range)));
        }
        held.retain(|span| !has_left(span));
        assert!(elapsed < Duration::from_mins(1), "keys did not leave");
    }
    let half = left.len() / 2;
    let mean = |part: &[(Duration, f64)]| {
        part.iter().map(|(_, rate)| rate).sum::<f64>() / part.len() as f64
    };
    let (first, last) = (mean(&left[..half]), mean(&left[half..]));
    eprintln!(
        "{} ranges: {first} requests a second, then {last}",
        left.len()
    );
    assert!(
        first > last * MIN_RATIO,
        "{first} requests a second, then {last}"
    );
}

/// The new granter knows only the stored record, in which some keys are on the move.
#[rstest]
#[case::before_the_first_order(200)]
#[case::during_the_releases(400)]
#[case::during_the_grants(800)]
fn keys_leave_although_the_granter_is_lost_in_the_middle(#[case] after_ms: u64) {
    let mut run = Run::start();
    run.evacuate(&["a"]);
    run.run(Duration::from_millis(after_ms));
    run.lose_granter();
    let took = run.run_until_empty();
    eprintln!("keys left {took:?} after the loss");
    run.run(Duration::from_secs(5));
    assert_eq!(run.keys_in("a"), 0);
}

#[test]
fn keys_leave_two_data_centres_at_a_time() {
    let mut run = Run::start();
    run.evacuate(&["a", "b"]);
    run.run_until_empty();
    assert_eq!(run.keys_in("a") + run.keys_in("b"), 0);
    assert_eq!(run.keys_in("c"), 1 << 16);
}

/// With nowhere to go, keys stay where they are, and are served again once there is a place.
#[test]
fn keys_stay_if_all_data_centres_are_evacuated() {
    let mut run = Run::start();
    let before = run.granter.spans();
    run.evacuate(&DATA_CENTRES);
    run.run(Duration::from_secs(10));
    let holders = |spans: &[Span]| -> Vec<ServerId> {
        spans
            .iter()
            .map(|span| span.holder.server.clone())
            .collect()
    };
    assert_eq!(holders(&run.granter.spans()), holders(&before));
    run.evacuate(&["a"]);
    run.run_until_empty();
}

/// Taken back while keys move: they may go on to their new owners, and return by the usual
/// balancing. No key may be left without an owner.
#[rstest]
#[case::at_once(40)]
#[case::halfway(400)]
#[case::when_empty(5_000)]
fn an_evacuation_can_be_taken_back(#[case] after_ms: u64) {
    let mut run = Run::start();
    run.evacuate(&["a"]);
    run.run(Duration::from_millis(after_ms));
    run.evacuate(&[]);
    run.run(Duration::from_secs(20));
    let spans = run.granter.spans();
    assert!(spans.iter().all(|span| span.former.is_none()));
    assert_eq!(spans.iter().map(key_count).sum::<usize>(), 1 << 16);
    assert!(run.keys_in("a") > 0, "no key has returned");
}
