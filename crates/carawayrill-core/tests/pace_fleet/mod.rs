//! Many fronts in virtual time, against servers whose speed changes every 400 ms.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::admission::choose;
use carawayrill_core::direct::load::AttemptResult;
use carawayrill_core::direct::load::LoadReport;
use carawayrill_core::direct::load::ServerLoad;
use carawayrill_core::direct::load::mean;
use carawayrill_core::direct::pace::Pace;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The number of servers, and the slots of each.
const SERVERS: usize = 29;
const SLOTS: u32 = 4;
/// The usual service time.
const SERVICE_MS: f64 = 150.0;
/// How long a server keeps its speed, and the percentage and the probability of the slow one.
const PERIOD_MS: u64 = 400;
const SLOW_PERCENT: f64 = 300.0;
const SLOW_PROBABILITY: f64 = 0.2;
/// The work that counts as none, against rounding errors.
const NEGLIGIBLE_MS: f64 = 1e-6;
/// The time during which requests arrive. Those of the first second are not counted.
const DURATION: Time = Time(40_000);
const COUNTED_FROM: Time = Time(1_000);
/// The time until the objective and the deadline of a request.
const OBJECTIVE: Duration = Duration::from_millis(1_500);
const DEADLINE: Duration = Duration::from_secs(5);

/// What servers say of their speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Figures {
    /// Nothing.
    Absent,
    /// How fast they are.
    True,
    /// How fast they are, but the first one always says that it is 10 times faster than usual.
    OneTooLow,
}

/// The settings of a run.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    pub seed: u64,
    pub fronts: usize,
    pub requests_per_s: f64,
    pub figures: Figures,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The response times of the requests that were served, in milliseconds, in ascending order.
    pub response_ms: Vec<f64>,
    /// The number of requests that were refused.
    pub refused: usize,
    /// The number of requests that each server got.
    pub sent: Vec<usize>,
}

impl Outcome {
    /// Returns the mean response time.
    pub fn mean_ms(&self) -> f64 {
        mean(self.response_ms.iter().copied()).expect("served requests")
    }

    /// Returns the response time that 99 % of the requests don't exceed.
    pub fn p99_ms(&self) -> f64 {
        self.response_ms[self.response_ms.len() * 99 / 100]
    }

    /// Returns the number of requests of a server, as a multiple of the mean.
    pub fn share(&self, server: usize) -> f64 {
        let all: usize = self.sent.iter().sum();
        (self.sent[server] * self.sent.len()) as f64 / all as f64
    }

    /// Returns the largest number of requests of a server, as a multiple of the mean.
    pub fn largest_share(&self) -> f64 {
        (0..self.sent.len())
            .map(|server| self.share(server))
            .fold(0.0, f64::max)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Finish(usize),
}

#[derive(Debug, Clone, Copy)]
struct Request {
    front: usize,
    server: usize,
    arrived: Time,
    total_at_send: f64,
}

/// A server whose speed changes. Its slots end their requests in order of arrival.
#[derive(Debug)]
struct Server {
    id: ServerId,
    /// The start of its first whole period.
    offset_ms: u64,
    /// Whether it is slow, for each period.
    slow: Vec<bool>,
    /// When each slot is free again, in milliseconds.
    free_at: Vec<f64>,
    /// The number of requests that run or wait.
    present: u32,
}

impl Server {
    fn percent(&self, at_ms: f64) -> f64 {
        let period = (floor_to_u64(at_ms) + self.offset_ms) / PERIOD_MS;
        if self.slow[usize::try_from(period).expect("a small number")] {
            SLOW_PERCENT
        } else {
            100.0
        }
    }

    /// Takes a request that arrives at `now`, and returns when it is done.
    fn accept(&mut self, now: Time) -> Time {
        let slots = 0..self.free_at.len();
        let next = slots.min_by(|a, b| self.free_at[*a].total_cmp(&self.free_at[*b]));
        let slot = next.expect("a slot");
        let mut at = self.free_at[slot].max(now.0 as f64);
        let mut left = SERVICE_MS;
        while left > NEGLIGIBLE_MS {
            let into_period = (at + self.offset_ms as f64) % PERIOD_MS as f64;
            let pace = self.percent(at) / 100.0;
            // At the very end of a period, the next moment is that of the next one.
            let step = (PERIOD_MS as f64 - into_period)
                .max(NEGLIGIBLE_MS)
                .min(left * pace);
            at += step;
            left -= step / pace;
        }
        self.free_at[slot] = at;
        self.present += 1;
        Time(floor_to_u64(at.ceil()))
    }
}

/// Runs a fleet of fronts that do not see each other's requests.
pub fn run(settings: Settings) -> Outcome {
    Fleet::new(settings).run()
}

struct Fleet {
    settings: Settings,
    now: Time,
    /// Arrivals and speeds are drawn from a stream of their own: they are the same in runs that differ
    /// only in the figures.
    world_rng: ChaCha8Rng,
    choice_rng: ChaCha8Rng,
    servers: Vec<Server>,
    loads: Vec<Vec<ServerLoad>>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    outcome: Outcome,
}

impl Fleet {
    fn new(settings: Settings) -> Self {
        let mut world_rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut choice_rng = ChaCha8Rng::seed_from_u64(settings.seed);
        choice_rng.set_stream(1);
        // Queues are bounded, so that all requests are done long before twice the duration.
        let periods = 2 * DURATION.0 / PERIOD_MS;
        let servers = (0..SERVERS).map(|number| Server {
            id: format!("s-{number}").parse().expect("a valid name"),
            offset_ms: world_rng.random_range(0..PERIOD_MS),
            slow: (0..periods)
                .map(|_| world_rng.random_bool(SLOW_PROBABILITY))
                .collect(),
            free_at: vec![0.0; SLOTS as usize],
            present: 0,
        });
        let servers: Vec<Server> = servers.collect();
        let mut load = ServerLoad::new(SLOTS, Duration::ZERO, None, Time(0));
        load.set_fronts(u32::try_from(settings.fronts).expect("a small number"));
        Self {
            settings,
            now: Time(0),
            world_rng,
            choice_rng,
            servers,
            loads: vec![vec![load; SERVERS]; settings.fronts],
            requests: Vec::new(),
            events: BinaryHeap::from([Reverse((Time(1), Event::Arrival))]),
            outcome: Outcome {
                sent: vec![0; SERVERS],
                ..Outcome::default()
            },
        }
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival => self.arrive(),
                Event::Finish(request) => self.finish(self.requests[request]),
            }
        }
        self.outcome.response_ms.sort_by(f64::total_cmp);
        self.outcome
    }

    fn arrive(&mut self) {
        let uniform: f64 = self.world_rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap_ms = -uniform.ln() * 1_000.0 / self.settings.requests_per_s;
        let front = self.world_rng.random_range(0..self.settings.fronts);
        let next = Time(self.now.0 + floor_to_u64(gap_ms.round()));
        if next < DURATION {
            self.events.push(Reverse((next, Event::Arrival)));
        }
        let Some(server) = self.choose(front) else {
            self.outcome.refused += 1;
            return;
        };
        let load = &mut self.loads[front][server];
        let total_at_send = load.expected_total(self.now);
        load.begin_request();
        if self.now >= COUNTED_FROM {
            self.outcome.sent[server] += 1;
        }
        let done = self.servers[server].accept(self.now);
        let event = Event::Finish(self.requests.len());
        self.events.push(Reverse((done, event)));
        self.requests.push(Request {
            front,
            server,
            arrived: self.now,
            total_at_send,
        });
    }

    /// Chooses a server like a front does.
    fn choose(&mut self, front: usize) -> Option<usize> {
        let now = self.now;
        let loads = &mut self.loads[front];
        let mean_ms = mean(loads.iter().filter_map(|load| load.service_ms(now)));
        let candidates: Vec<Candidate> = loads
            .iter_mut()
            .zip(&self.servers)
            .map(|(load, server)| {
                if let Some(mean_ms) = mean_ms {
                    load.set_assumed_service_ms(mean_ms);
                }
                Candidate {
                    server: server.id.clone(),
                    distance: Distance::SameDataCentre,
                    response_ms: load.response_ms(now),
                    service_rounds: load.service_rounds(now),
                    requests_ahead: load.expected_total(now),
                    slots: load.slots(),
                    failure_cost_ms: load.failure_cost_ms(now),
                    usable: load.accepts(now),
                }
            })
            .collect();
        let profile = RequestProfile {
            objective_left: OBJECTIVE,
            deadline_left: DEADLINE,
            size_kib: 1.0,
        };
        let fronts = u32::try_from(self.settings.fronts).expect("a small number");
        let idle_ms = mean_ms.unwrap_or(SERVICE_MS);
        match choose(&candidates, &profile, idle_ms, fronts, &mut self.choice_rng) {
            Choice::Send(id) => self.servers.iter().position(|server| server.id == id),
            _ => None,
        }
    }

    fn finish(&mut self, request: Request) {
        let server = &mut self.servers[request.server];
        server.present -= 1;
        let percent = match self.settings.figures {
            Figures::Absent => None,
            Figures::OneTooLow if request.server == 0 => Some(10.0),
            Figures::True | Figures::OneTooLow => Some(server.percent(self.now.0 as f64)),
        };
        let report = LoadReport {
            running: server.present.min(SLOTS),
            waiting: server.present.saturating_sub(SLOTS),
            slots: SLOTS,
            pace: percent.and_then(Pace::from_percent),
        };
        let took = self.now.since(request.arrived);
        let load = &mut self.loads[request.front][request.server];
        if let Some(pace) = report.pace {
            load.record_pace(self.now, pace);
        }
        load.end_request(self.now, AttemptResult::Served, took, request.total_at_send);
        load.apply_report(self.now, report);
        if request.arrived >= COUNTED_FROM {
            self.outcome.response_ms.push(took.as_secs_f64() * 1_000.0);
        }
    }
}
