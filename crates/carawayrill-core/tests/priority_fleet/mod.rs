//! A fleet of fronts and servers under load, in virtual time, for the decisions on priority.
//!
//! The fronts do not see each other. Each knows of the servers only what their responses report.

#![allow(dead_code, reason = "each test uses a part of the fleet")]

mod server;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::admission::choose_with_reserve;
use carawayrill_core::direct::homes::Homes;
use carawayrill_core::direct::load::AttemptResult;
use carawayrill_core::direct::load::LoadReport;
use carawayrill_core::direct::load::ServerLoad;
use carawayrill_core::direct::load::mean;
use carawayrill_core::direct::manifest::Destination;
use carawayrill_core::direct::manifest::Manifest;
use carawayrill_core::direct::manifest::Repeat;
use carawayrill_core::direct::manifest::Route;
use carawayrill_core::direct::priority::classes::Class;
use carawayrill_core::direct::priority::classes::SharedServices;
use carawayrill_core::direct::priority::queue::Ticket;
use carawayrill_core::direct::priority::queue::WaitQueue;
use carawayrill_core::direct::priority::queue::Waiter;
use carawayrill_core::direct::priority::reserve::Reserve;
use carawayrill_core::direct::priority::shares::ClassCounts;
use carawayrill_core::direct::priority::shares::ClassLoads;
use carawayrill_core::direct::priority::shares::KnownShares;
use carawayrill_core::direct::priority::shares::ShareTable;
use carawayrill_core::direct::priority::waiting;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::server::SimServer;

/// The data centres; two neighbouring ones form a region.
const DATA_CENTRES: usize = 6;
/// The response time of an idle server that a front assumes before any was measured.
const ASSUMED_IDLE_MS: f64 = 50.0;
/// The time from the beginning of a burst to the beginning of the next.
const BURST_PERIOD_MS: u64 = 12_000;
/// The interval at which a front with waiting requests looks for servers without another cause.
const WAKE_UP_INTERVAL_MS: f64 = 50.0;
/// The interval at which a front reports to the granter and receives an update.
const REPORT_INTERVAL_MS: f64 = 250.0;
/// The duration of a burst.
const BURST_MS: u64 = 5_000;

/// The requests of one route.
#[derive(Debug, Clone, Copy)]
pub struct RouteLoad {
    pub class: Class,
    pub per_second: f64,
    /// The factor by which the rate is higher in bursts.
    pub burst: f64,
    pub size_kib: f64,
}

/// The fleet and its load.
#[derive(Debug, Clone)]
pub struct Settings {
    pub fronts: usize,
    pub servers: usize,
    pub slots: u32,
    pub service_ms: f64,
    pub routes: Vec<RouteLoad>,
    pub duration: Duration,
    /// Whether the decisions on priority apply.
    pub with_priority: bool,
    /// Whether requests wait at the fronts.
    pub with_queue: bool,
    /// Whether fronts report to a granter and receive shares.
    pub with_shares: bool,
    /// The time during which there is no granter; a new one follows.
    pub granter_lost: Option<(Time, Time)>,
    pub seed: u64,
}

impl Settings {
    fn manifest(&self) -> Manifest {
        let route = |load: &RouteLoad| Route {
            name: "route".into(),
            host: "pay.example".into(),
            prefix: "/".into(),
            destinations: vec![Destination {
                service: "pay".parse().expect("valid name"),
                weight: 1,
            }],
            repeat: Repeat::Idempotent,
            timeout: load.class.timeout,
            objective: load.class.objective,
            max_tries: 1,
            priority: load.class.priority,
            homes: Homes::default(),
        };
        Manifest {
            routes: self.routes.iter().map(route).collect(),
            ..Manifest::default()
        }
    }

    /// Returns the example of the plan: two routes, 29 servers and 70 fronts.
    pub fn example(with_priority: bool, seed: u64) -> Self {
        Self {
            fronts: 70,
            servers: 29,
            slots: 4,
            service_ms: 150.0,
            routes: vec![
                RouteLoad {
                    class: class(0, 500),
                    per_second: 181.0,
                    burst: 1.6,
                    size_kib: 2.0,
                },
                RouteLoad {
                    class: class(2, 2_000),
                    per_second: 214.0,
                    burst: 2.5,
                    size_kib: 90.0,
                },
            ],
            duration: Duration::from_mins(1),
            with_priority,
            with_queue: with_priority,
            with_shares: false,
            granter_lost: None,
            seed,
        }
    }
}

/// Returns a class whose time limit is twice its objective.
pub fn class(priority: u32, objective_ms: u64) -> Class {
    Class {
        priority,
        objective: Duration::from_millis(objective_ms),
        timeout: Duration::from_millis(2 * objective_ms),
    }
}

/// How the requests of one route have ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ended {
    pub offered: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Ended {
    /// Returns the share of the requests that were answered within the objective.
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    route: usize,
    front: usize,
    server: usize,
    arrived: Time,
    sent: Time,
    total_at_send: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a request of a route.
    Arrival(usize),
    /// A request reaches its server.
    AtServer(usize),
    /// A server has finished a request.
    Finished(usize),
    /// A response reaches the front.
    Answered(usize, LoadFigures),
    /// A front reports to the granter.
    Report(usize),
    /// A front looks for servers for its waiting requests.
    WakeUp(usize),
}

/// The figures of a load report: running and waiting requests.
type LoadFigures = (u32, u32);

/// The running fleet.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    names: Vec<ServerId>,
    servers: Vec<SimServer>,
    /// What each front knows of each server.
    loads: Vec<Vec<ServerLoad>>,
    /// The requests that wait at each front.
    queues: Vec<WaitQueue>,
    /// The fronts for which a wake-up is scheduled.
    has_timer: Vec<bool>,
    /// The waiting request of each ticket of a front.
    tickets: BTreeMap<(usize, Ticket), usize>,
    service: ServiceId,
    services: SharedServices,
    /// What each front has observed since its last report, and the shares that it knows.
    class_loads: Vec<ClassLoads>,
    known_shares: Vec<KnownShares>,
    granter: Option<ShareTable>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Time, usize, Event)>>,
    scheduled: usize,
    ended: BTreeMap<usize, Ended>,
    now: Time,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Creates a fleet without load.
    pub fn new(settings: Settings) -> Self {
        let names = (0..settings.servers)
            .map(|server| format!("s-{server}").parse().expect("valid name"))
            .collect();
        let load = ServerLoad::new(settings.slots, Duration::ZERO, None, Time(0));
        let servers = vec![SimServer::new(settings.slots); settings.servers];
        Self {
            names,
            servers,
            loads: vec![vec![load; settings.servers]; settings.fronts],
            queues: (0..settings.fronts).map(|_| WaitQueue::default()).collect(),
            has_timer: vec![false; settings.fronts],
            tickets: BTreeMap::new(),
            service: "pay".parse().expect("valid name"),
            services: SharedServices::new(&settings.manifest()),
            class_loads: (0..settings.fronts)
                .map(|_| ClassLoads::default())
                .collect(),
            known_shares: (0..settings.fronts)
                .map(|_| KnownShares::default())
                .collect(),
            granter: Some(ShareTable::default()),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            ended: BTreeMap::new(),
            now: Time(0),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Runs the load to its end and returns how the requests of each route have ended.
    pub fn run(mut self) -> Vec<Ended> {
        for route in 0..self.settings.routes.len() {
            self.schedule_arrival(route);
        }
        for front in 0..self.settings.fronts {
            let phase = front as f64 / self.settings.fronts as f64;
            self.schedule(REPORT_INTERVAL_MS * phase, Event::Report(front));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival(route) => self.arrive(route),
                Event::AtServer(request) => self.reach_server(request),
                Event::Finished(request) => self.finish(request),
                Event::Answered(request, figures) => self.answer(request, figures),
                Event::Report(front) => self.report(front),
                Event::WakeUp(front) => {
                    self.has_timer[front] = false;
                    self.wake_up(front);
                }
            }
        }
        self.ended.into_values().collect()
    }

    fn schedule(&mut self, after_ms: f64, event: Event) {
        let after = Duration::from_secs_f64(after_ms.max(0.0) / 1_000.0);
        self.scheduled += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn schedule_arrival(&mut self, route: usize) {
        let load = self.settings.routes[route];
        let in_burst = self.now.0 % BURST_PERIOD_MS < BURST_MS;
        let factor = if in_burst { load.burst } else { 1.0 };
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap_ms = -uniform.ln() * 1_000.0 / (load.per_second * factor);
        if self.now.since(Time(0)) < self.settings.duration {
            self.schedule(gap_ms, Event::Arrival(route));
        }
    }

    fn arrive(&mut self, route: usize) {
        self.schedule_arrival(route);
        let front = self.rng.random_range(0..self.settings.fronts);
        self.requests.push(Request {
            route,
            front,
            server: 0,
            arrived: self.now,
            sent: self.now,
            total_at_send: 0.0,
        });
        self.ended.entry(route).or_default().offered += 1;
        let id = self.requests.len() - 1;
        let offered = ClassCounts {
            offered: 1.0,
            ..ClassCounts::default()
        };
        self.record_class(id, offered);
        let idle_ms = self.candidates(front).1;
        let waiter = self.waiter(id, idle_ms);
        if self.settings.with_queue
            && self.queues[front].has_before(&self.service, &waiter, self.now)
        {
            self.wait_or_refuse(id, waiter);
            return;
        }
        match self.choose(id, self.settings.routes[route].class.priority) {
            (Choice::Send(server), _) => self.send(id, &server),
            (choice, idle_ms) => {
                let reserve_classes = self.more_urgent(self.settings.routes[route].class.priority);
                let reserve = Reserve::new(&reserve_classes);
                let left = waiter.send_by.since(self.now);
                let may_wait = waiting::may_wait(&choice, &reserve, None, left);
                let waiter = self.waiter(id, idle_ms);
                if self.settings.with_queue && may_wait {
                    self.wait_or_refuse(id, waiter);
                } else {
                    self.refuse(id);
                }
            }
        }
    }

    fn record_class(&mut self, id: usize, counts: ClassCounts) {
        let request = self.requests[id];
        let priority = self.settings.routes[request.route].class.priority;
        self.class_loads[request.front].record(&self.service, priority, counts);
    }

    /// Exchanges a report and an update between a front and the granter.
    fn report(&mut self, front: usize) {
        if self.now.since(Time(0)) > self.settings.duration || !self.settings.with_shares {
            return;
        }
        self.schedule(REPORT_INTERVAL_MS, Event::Report(front));
        let lost = self.settings.granter_lost;
        if lost.is_some_and(|(from, to)| self.now >= from && self.now < to) {
            self.granter = None;
            return;
        }
        let recent = self.known_shares[front].recent(self.now);
        let now = self.now;
        let granter = self
            .granter
            .get_or_insert_with(|| ShareTable::start_from(&recent, now));
        granter.add_report(&self.class_loads[front].take());
        let _changes = granter.update(&self.services, now);
        self.known_shares[front].set(granter.shares(), now);
    }

    fn refuse(&mut self, id: usize) {
        let route = self.requests[id].route;
        self.ended.entry(route).or_default().refused += 1;
        let refused = ClassCounts {
            refused: 1.0,
            ..ClassCounts::default()
        };
        self.record_class(id, refused);
    }

    fn waiter(&self, id: usize, idle_ms: f64) -> Waiter {
        let request = self.requests[id];
        let class = self.settings.routes[request.route].class;
        let objective = request.arrived + class.objective;
        Waiter {
            priority: class.priority,
            received: request.arrived,
            objective,
            send_by: waiting::send_by(objective, idle_ms),
            is_excess: false,
            bytes: 1_000,
        }
    }

    fn wait_or_refuse(&mut self, id: usize, waiter: Waiter) {
        let front = self.requests[id].front;
        match self.queues[front].add(&self.service, waiter, self.now) {
            Ok(ticket) => {
                self.tickets.insert((front, ticket), id);
                self.start_timer(front);
            }
            Err(_no_room) => self.refuse(id),
        }
    }

    fn start_timer(&mut self, front: usize) {
        if !self.queues[front].is_empty() && !self.has_timer[front] {
            self.has_timer[front] = true;
            self.schedule(WAKE_UP_INTERVAL_MS, Event::WakeUp(front));
        }
    }

    /// Looks for servers for the first waiting requests of a front.
    fn wake_up(&mut self, front: usize) {
        self.queues[front].begin_wake_up();
        while let Some(ticket) = self.queues[front].next(&self.service, self.now) {
            let id = self.tickets[&(front, ticket)];
            self.examine(front, ticket, id);
        }
        self.start_timer(front);
    }

    fn examine(&mut self, front: usize, ticket: Ticket, id: usize) {
        let priority = self.settings.routes[self.requests[id].route].class.priority;
        let idle_ms = self.candidates(front).1;
        let waiter = self.waiter(id, idle_ms);
        if self.now > waiter.send_by {
            self.queues[front].remove(&self.service, ticket);
            self.refuse(id);
            return;
        }
        let now_priority = waiter.priority_at(self.now);
        let has_credit = self.queues[front].has_floor_credit(&self.service);
        let gained = now_priority < priority && has_credit;
        if let (Choice::Send(server), _) = self.choose(id, priority) {
            self.queues[front].remove_sent(&self.service, ticket, self.now);
            self.send(id, &server);
        } else if gained && let (Choice::Send(server), _) = self.choose(id, now_priority) {
            self.queues[front].use_floor_credit(&self.service);
            self.queues[front].remove_sent(&self.service, ticket, self.now);
            self.send(id, &server);
        }
    }

    fn choose(&mut self, id: usize, priority: u32) -> (Choice, f64) {
        let request = self.requests[id];
        let load = self.settings.routes[request.route];
        let profile = RequestProfile {
            objective_left: (request.arrived + load.class.objective).since(self.now),
            deadline_left: (request.arrived + load.class.timeout).since(self.now),
            size_kib: load.size_kib,
        };
        let (candidates, idle_ms) = self.candidates(request.front);
        let more_urgent: Vec<Class> = self.more_urgent(priority);
        let share = self.known_shares[request.front].share(&self.service, priority, self.now);
        let reserve = Reserve::new(&more_urgent).with_share(share);
        let fronts = u32::try_from(self.settings.fronts).expect("small");
        let choice = choose_with_reserve(
            &candidates,
            &profile,
            &reserve,
            idle_ms,
            fronts,
            &mut self.rng,
        );
        (choice, idle_ms)
    }

    fn more_urgent(&self, priority: u32) -> Vec<Class> {
        let classes = self.settings.routes.iter().map(|route| route.class);
        classes
            .filter(|class| self.settings.with_priority && class.priority < priority)
            .collect()
    }

    fn candidates(&mut self, front: usize) -> (Vec<Candidate>, f64) {
        let now = self.now;
        let loads = &mut self.loads[front];
        let mean_ms = mean(loads.iter().filter_map(|load| load.service_ms(now)));
        let fronts = u32::try_from(self.settings.fronts).expect("small");
        let mut candidates = Vec::with_capacity(loads.len());
        for (server, load) in loads.iter_mut().enumerate() {
            load.set_fronts(fronts);
            if let Some(mean_ms) = mean_ms {
                load.set_assumed_service_ms(mean_ms);
            }
            candidates.push(Candidate {
                server: self.names[server].clone(),
                distance: distance(front, server),
                response_ms: load.response_ms(now),
                service_rounds: load.service_rounds(now),
                requests_ahead: load.expected_total(now),
                slots: load.slots(),
                failure_cost_ms: load.failure_cost_ms(now),
                usable: load.accepts(now),
            });
        }
        (candidates, mean_ms.unwrap_or(ASSUMED_IDLE_MS))
    }

    fn send(&mut self, id: usize, server: &ServerId) {
        let chosen = self.names.iter().position(|name| name == server);
        let server = chosen.expect("a candidate");
        let request = &mut self.requests[id];
        let load = &mut self.loads[request.front][server];
        if self.settings.routes[request.route].class.priority == 0 {
            self.queues[request.front].record_urgent_sent(&self.service);
        }
        request.server = server;
        request.sent = self.now;
        request.total_at_send = load.expected_total(self.now);
        load.begin_request();
        let one_way_ms = distance(request.front, server).round_trip_ms() / 2.0;
        self.schedule(one_way_ms, Event::AtServer(id));
    }

    fn reach_server(&mut self, id: usize) {
        let server = self.requests[id].server;
        if self.servers[server].accept(id) {
            self.run_request(id);
        }
    }

    fn run_request(&mut self, id: usize) {
        let factor = self.rng.random_range(0.5..1.5);
        self.schedule(self.settings.service_ms * factor, Event::Finished(id));
    }

    fn finish(&mut self, id: usize) {
        let request = self.requests[id];
        let server = &mut self.servers[request.server];
        let next = server.finish();
        let figures = server.figures();
        if let Some(next) = next {
            self.run_request(next);
        }
        let one_way_ms = distance(request.front, request.server).round_trip_ms() / 2.0;
        self.schedule(one_way_ms, Event::Answered(id, figures));
    }

    fn answer(&mut self, id: usize, figures: LoadFigures) {
        let request = self.requests[id];
        let load = &mut self.loads[request.front][request.server];
        let took = self.now.since(request.sent);
        load.end_request(self.now, AttemptResult::Served, took, request.total_at_send);
        let (running, waiting) = figures;
        load.apply_report(
            self.now,
            LoadReport {
                running,
                waiting,
                slots: self.settings.slots,
                pace: None,
            },
        );
        let objective = self.settings.routes[request.route].class.objective;
        let ended = self.ended.entry(request.route).or_default();
        if self.now.since(request.arrived) <= objective {
            ended.in_time += 1;
        } else {
            ended.late += 1;
            let late = ClassCounts {
                late: 1.0,
                ..ClassCounts::default()
            };
            self.record_class(id, late);
        }
        if self.settings.with_queue {
            self.wake_up(request.front);
        }
    }
}

/// Returns the distance between a front and a server; both are spread evenly over the data centres.
fn distance(front: usize, server: usize) -> Distance {
    let (one, other) = (front % DATA_CENTRES, server % DATA_CENTRES);
    if one == other {
        Distance::SameDataCentre
    } else if one / 2 == other / 2 {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}
