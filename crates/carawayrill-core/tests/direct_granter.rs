//! A granter against servers and a store that do what they are told at once.

use std::collections::BTreeSet;
use std::time::Duration;

use carawayrill_core::direct::demand::KeyDemand;
use carawayrill_core::direct::granter::Action;
use carawayrill_core::direct::granter::Command;
use carawayrill_core::direct::granter::Config;
use carawayrill_core::direct::granter::Granter;
use carawayrill_core::direct::granter::Inputs;
use carawayrill_core::direct::granter::OrderResult;
use carawayrill_core::direct::granter::SpanOrder;
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
use carawayrill_core::id::Era;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;

/// The interval between two ticks.
const TICK: Duration = Duration::from_millis(40);

fn id(number: u16) -> ServerId {
    format!("s-{number}").parse().expect("a name")
}

fn holder(number: u16) -> Holder {
    Holder {
        server: id(number),
        born: Born(1),
        address: "127.0.0.1:2000".parse().expect("an address"),
    }
}

fn servers(count: u16) -> Servers {
    servers_in(0..count, |_number| "a")
}

/// Returns servers in the data centres that `data_centre` names.
fn servers_in(
    numbers: impl IntoIterator<Item = u16>,
    data_centre: impl Fn(u16) -> &'static str,
) -> Servers {
    let listed = numbers.into_iter().map(|number| Server {
        id: id(number),
        born: Born(1),
        sequence: 1,
        service: "forms".parse().expect("a name"),
        address: holder(number).address,
        data_centre: data_centre(number).parse().expect("a name"),
        slots: 6,
        draining: false,
        cold_for: Duration::ZERO,
        software: "v1".into(),
    });
    let mut servers = Servers::default();
    servers.replace_all(listed.collect(), Time(0), Time(0));
    servers
}

/// Returns a record of `count` spans of the same size, whose holders are given by `holder_of`.
fn record(count: u16, holder_of: impl Fn(u16) -> u16, era: u64) -> SpanRecord {
    let bound = |at: u16| u32::from(at) * (1 << 16) / u32::from(count);
    let key = |key: u32| u16::try_from(key).expect("a key");
    let spans = (0..count).map(|at| Span {
        range: KeyRange {
            first: key(bound(at)),
            last: key(bound(at + 1) - 1),
        },
        holder: holder(holder_of(at)),
        fence: Fence(u64::from(at) + 1),
        handover: None,
        former: None,
    });
    SpanRecord {
        edition: 1,
        next_fence: Fence(1_000),
        era: Era(era),
        spans: spans.collect(),
    }
}

fn version(era: u64, version: u64) -> StoredVersion {
    StoredVersion {
        era: Era(era),
        version: Version(version),
    }
}

/// A granter and what it has ordered and stored.
struct Run {
    now: Time,
    granter: Granter,
    servers: Servers,
    excluded: BTreeSet<DataCentreId>,
    orders: Vec<(Time, SpanOrder)>,
    records: Vec<(Time, SpanRecord)>,
}

impl Run {
    fn new(stored: StoredSpans, servers: Servers) -> Self {
        let service = "forms".parse().expect("a name");
        let granter = Granter::new(service, Config::default(), stored, Time(0));
        Self {
            now: Time(0),
            granter,
            servers,
            excluded: BTreeSet::new(),
            orders: Vec::new(),
            records: Vec::new(),
        }
    }

    /// Runs for some time, and calls `check` after each tick.
    fn run(&mut self, length: Duration, mut check: impl FnMut(&Granter)) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + TICK;
            let mut capacities = Capacities::default();
            for server in self.servers.iter() {
                if !self.excluded.contains(&server.data_centre) {
                    capacities.set(server.id.clone(), 60.0);
                }
            }
            let actions = self.granter.tick(&Inputs {
                now: self.now,
                servers: &self.servers,
                demand: &KeyDemand::new(Duration::from_secs(1)),
                capacities: &capacities,
                excluded: &self.excluded,
                store_unreachable: false,
                stopping: false,
            });
            for action in actions {
                self.carry_out(action);
            }
            check(&self.granter);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Write { expected, record } => {
                self.granter
                    .record_stored(expected.version.next(), self.now);
                self.records.push((self.now, record));
            }
            Action::Order(order) => {
                self.granter
                    .order_ended(order.id, &OrderResult::Done(None), self.now);
                self.orders.push((self.now, order));
            }
        }
    }
}

#[test]
fn neighbouring_spans_of_one_holder_are_merged_without_a_pause() {
    let stored = StoredSpans {
        version: version(0, 5),
        record: Some(record(64, |at| at / 32, 0)),
        ..StoredSpans::default()
    };
    let mut run = Run::new(stored, servers(2));
    // The granter takes over, and rewrites the record.
    run.run(Duration::from_secs(15), |granter| {
        assert!(granter.spans().iter().all(|span| span.former.is_none()));
    });
    let spans = run.granter.spans();
    assert_eq!(spans.len(), 2);
    assert!(spans.iter().all(|span| span.fence >= Fence(1_000)));
    let granted = |span: &Span| {
        run.orders.iter().any(|(_, order)| {
            let is_grant = matches!(order.command, Command::Grant { .. });
            is_grant && order.range == span.range && order.fence == span.fence
        })
    };
    assert!(spans.iter().all(granted));
    assert!(
        !run.orders
            .iter()
            .any(|(_, order)| order.command == Command::Release)
    );
}

/// Each of 2,000 spans is renewed before its grant ends.
#[test]
fn two_thousand_spans_are_renewed_in_time() {
    let stored = StoredSpans {
        version: version(0, 5),
        record: Some(record(2_000, |at| at % 500, 0)),
        ..StoredSpans::default()
    };
    let mut run = Run::new(stored, servers(500));
    run.run(Duration::from_secs(30), |_granter| {});
    let mut ends = std::collections::BTreeMap::new();
    for (at, order) in &run.orders {
        let Command::Grant { hold, .. } = &order.command else {
            continue;
        };
        let end = ends.insert(order.range, *at + *hold);
        assert!(end.is_none_or(|end| end >= *at), "{} lapsed", order.range);
    }
    assert!(ends.len() >= 2_000);
    assert!(ends.values().all(|end| *end >= run.now), "a grant lapsed");
}

/// An outdated record says nothing of grants since: nothing is granted before they have expired.
#[test]
fn an_outdated_record_is_granted_late_and_under_new_fences() {
    let stored = StoredSpans {
        version: version(2, 5),
        record: Some(record(8, |at| at % 4, 1)),
        may_be_lost: false,
        lease: version(2, 7),
    };
    let mut run = Run::new(stored, servers(4));
    run.run(Duration::from_secs(14), |_granter| {});
    let first_order = run.orders.first().expect("orders").0;
    let first_record = run.records.first().expect("records").0;
    let cfg = Config::default();
    let longest = cfg.max_grant_duration(cfg.long_hold);
    assert!(first_record >= Time(0) + longest, "{first_record}");
    assert!(first_order >= first_record);
    let lowest = Fence::first_after(version(2, 7));
    assert!(run.orders.iter().all(|(_, order)| order.fence >= lowest));
    assert!(run.records.iter().all(|(_, record)| record.era == Era(2)));
}

/// The granter that held the lease all the time knows better than the restored record.
#[test]
fn a_granter_goes_on_from_its_own_state_after_a_restore() {
    let stored = StoredSpans {
        version: version(1, 5),
        record: Some(record(4, |at| at, 1)),
        may_be_lost: false,
        lease: version(1, 4),
    };
    let mut run = Run::new(stored, servers(4));
    run.run(Duration::from_secs(3), |_granter| {});
    let before = run.granter.spans();
    run.granter.enter_era(version(2, 3), version(2, 4));
    run.run(Duration::from_secs(3), |_granter| {});
    assert_eq!(run.granter.spans(), before);
    let (_, last) = run.records.last().expect("a record");
    assert_eq!(last.era, Era(2));
    assert!(last.next_fence >= Fence::first_after(version(2, 4)));
}

/// Each earlier granter of the era stored records under versions below that of this lease, and each
/// record gives out nine fences a key at most.
#[test]
fn a_granter_without_a_record_starts_above_the_fences_of_earlier_ones() {
    let most_fences_of_a_record = 9 << 16;
    let earlier = Fence::first_after(version(2, 7));
    let later = Fence::first_after(version(2, 8));
    assert!(later.0 >= earlier.0 + most_fences_of_a_record);
    let next_era = Fence::first_after(version(3, 0));
    assert!(next_era > Fence::first_after(version(2, (1 << 28) - 1)));
}

/// Returns whether servers with numbers below 2, in data centre `a`, hold all keys, or none.
fn held_in_a(granter: &Granter) -> (bool, bool) {
    let in_a = |span: &Span| [id(0), id(1)].contains(&span.holder.server);
    let spans = granter.spans();
    (spans.iter().all(in_a), !spans.iter().any(in_a))
}

fn run_in_two_data_centres() -> Run {
    let stored = StoredSpans {
        version: version(0, 5),
        record: Some(record(8, |at| at % 4, 0)),
        ..StoredSpans::default()
    };
    let data_centre = |number| if number < 2 { "a" } else { "b" };
    let mut run = Run::new(stored, servers_in(0..4, data_centre));
    run.run(Duration::from_secs(3), |_granter| {});
    run
}

/// A change of the homes of a keyed service moves the keys out of the data centre that is excluded
/// now. A grant before the former holder's release would give a key two owners.
#[test]
fn keys_leave_an_excluded_data_centre_by_handover_and_may_return() {
    let mut run = run_in_two_data_centres();
    assert_eq!(held_in_a(&run.granter), (false, false));
    for (excluded, expected) in [("b", (true, false)), ("a", (false, true))] {
        let before = run.granter.spans();
        run.orders.clear();
        run.excluded = BTreeSet::from([excluded.parse().expect("a name")]);
        run.run(Duration::from_secs(10), |_granter| {});
        assert_eq!(held_in_a(&run.granter), expected, "without {excluded}");
        let spans = run.granter.spans();
        assert!(spans.iter().all(|span| span.former.is_none()));
        for (at, order) in &run.orders {
            let former = before
                .iter()
                .find(|span| span.range.contains(order.range.first))
                .expect("all keys were held");
            let is_grant = matches!(order.command, Command::Grant { .. });
            if !is_grant || former.holder == order.to {
                continue;
            }
            let is_release = |(released, earlier): &(Time, SpanOrder)| {
                earlier.command == Command::Release
                    && earlier.to == former.holder
                    && earlier.range.contains(order.range.first)
                    && released <= at
            };
            assert!(run.orders.iter().any(is_release), "{order:?}");
        }
    }
}

/// When all servers of a home region are lost, the granter's caller excludes no data centre any more,
/// and the keys must find owners elsewhere instead of staying without one.
#[test]
fn keys_are_placed_elsewhere_when_their_home_region_is_lost() {
    let mut run = run_in_two_data_centres();
    run.excluded = BTreeSet::from(["b".parse().expect("a name")]);
    run.run(Duration::from_secs(10), |_granter| {});
    assert_eq!(held_in_a(&run.granter), (true, false));
    run.servers = servers_in(2..4, |_number| "b");
    run.excluded.clear();
    run.run(Duration::from_secs(15), |_granter| {});
    assert_eq!(held_in_a(&run.granter), (false, true));
}

/// The list of servers may be behind the record, or name a former incarnation by a late write.
#[test]
fn a_holder_of_which_a_former_incarnation_is_listed_is_not_taken_for_ended() {
    let stored = StoredSpans {
        version: version(0, 5),
        record: Some(record(8, |at| at % 4, 0)),
        ..StoredSpans::default()
    };
    let mut run = Run::new(stored, servers(4));
    run.run(Duration::from_secs(3), |_granter| {});
    let mut listed: Vec<Server> = servers(4).iter().cloned().collect();
    listed[0].born = Born(0);
    listed[0].address = "127.0.0.1:2999".parse().expect("an address");
    run.servers = Servers::default();
    run.servers.replace_all(listed, Time(0), Time(0));
    run.orders.clear();
    run.run(Duration::from_secs(10), |_granter| {});
    let held = |range: KeyRange| (range.first / 8_192).is_multiple_of(4);
    let mut released = BTreeSet::new();
    for (_, order) in run.orders.iter().filter(|(_, order)| held(order.range)) {
        if order.command == Command::Release && order.to == holder(0) {
            released.insert(order.range.first);
        }
        let is_new = order.to != holder(0);
        assert!(
            !is_new || released.contains(&order.range.first),
            "{order:?}"
        );
    }
    assert!(!released.is_empty(), "the keys did not move");
}
