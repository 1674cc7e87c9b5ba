//! Three regions with fronts and servers in virtual time, without a network.
//!
//! All fronts see the servers as they were up to 200 ms ago, and report to the granter every 250 ms.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use carawayrill_core::direct::admission;
use carawayrill_core::direct::admission::Candidate;
use carawayrill_core::direct::admission::Choice;
use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::admission::RequestProfile;
use carawayrill_core::direct::egress::EgressConfig;
use carawayrill_core::direct::egress::RegionCapacity;
use carawayrill_core::direct::egress::choice;
use carawayrill_core::direct::egress::facts::EgressFacts;
use carawayrill_core::direct::egress::table::EgressTable;
use carawayrill_core::direct::egress::table::ServiceInputs;
use carawayrill_core::direct::service_load::ServiceLoad;
use carawayrill_core::id::RegionId;
use carawayrill_core::id::ServerId;
use carawayrill_core::id::ServiceId;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The regions.
pub const REGIONS: [&str; 3] = ["east", "south", "west"];
/// The fronts in each region.
const FRONTS_PER_REGION: usize = 10;
/// The slots of a server.
const SLOTS: usize = 4;
/// The service time, in milliseconds.
const SERVICE_MS: u64 = 100;
/// The objective of the requests.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// The time limit of the requests.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The simulated time between two steps, in milliseconds.
const STEP_MS: u64 = 10;
/// The interval at which fronts learn the load of the servers, in milliseconds.
const VIEW_MS: u64 = 200;
/// The interval between the reports of a front, in milliseconds.
const REPORT_MS: u64 = 250;
/// The time before the first counted request, in milliseconds.
pub const WARM_UP_MS: u64 = 3_000;

/// What is simulated.
pub struct Scenario {
    /// The bytes of a request and its response.
    pub bytes: u64,
    /// The bandwidth between two regions, in Mbit/s.
    pub link_mbps: f64,
    /// Whether the granter's shares are used.
    pub enabled: bool,
    /// The requests per second that fronts in a region accept at a time in milliseconds.
    pub demand: fn(region: usize, now: u64) -> f64,
    /// The number of servers in each region.
    pub servers: [usize; 3],
    /// The time at which the servers of the first region are lost, and that until which they are
    /// listed all the same, in milliseconds.
    pub lost: Option<(u64, u64)>,
    /// The time from which fronts receive no more shares, in milliseconds.
    pub granter_lost: Option<u64>,
}

/// What the callers and the links saw after the warm-up.
#[derive(Debug, Default)]
pub struct Seen {
    pub offered: u32,
    pub in_time: u32,
    pub refused: u32,
    /// The requests that crossed, by region that they left.
    pub crossed: [u32; 3],
    /// The KiB that crossed.
    pub crossed_kib: f64,
    /// The most KiB that crossed between two regions in a second.
    pub busiest_link_kib: f64,
    /// The share of the first region's requests that leaves, every 100 ms from the start.
    pub shares: Vec<f64>,
}

impl Seen {
    /// Returns the share of requests that were answered within the objective.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }
}

struct Server {
    id: ServerId,
    region: usize,
    /// The ends of the requests at the server, in milliseconds.
    ends: VecDeque<u64>,
    /// The number of requests that fronts know of.
    seen: f64,
    is_lost: bool,
}

struct Front {
    region: usize,
    facts: EgressFacts,
    load: ServiceLoad,
    /// The requests that the front has sent to each server since it last learned its load.
    own: Vec<f64>,
}

struct Fleet {
    scenario: Scenario,
    service: ServiceId,
    regions: Vec<RegionId>,
    servers: Vec<Server>,
    fronts: Vec<Front>,
    table: EgressTable,
    rng: ChaCha8Rng,
    seen: Seen,
    /// The KiB that crossed between two regions in the current second.
    links: BTreeMap<(usize, usize), f64>,
    /// The time at which the link between two regions has sent all that was given to it.
    link_free: BTreeMap<(usize, usize), f64>,
}

/// Runs a scenario.
pub fn run(scenario: Scenario, seed: u64, until: u64) -> Seen {
    let regions = REGIONS.map(|region| region.parse::<RegionId>().expect("a name"));
    let servers = (0..3).flat_map(|region| {
        (0..scenario.servers[region]).map(move |number| Server {
            id: format!("s-{region}-{number}").parse().expect("a name"),
            region,
            ends: VecDeque::new(),
            seen: 0.0,
            is_lost: false,
        })
    });
    let servers: Vec<Server> = servers.collect();
    let fronts = (0..3 * FRONTS_PER_REGION).map(|number| Front {
        region: number % 3,
        facts: EgressFacts::default(),
        load: ServiceLoad::default(),
        own: vec![0.0; servers.len()],
    });
    let mut fleet = Fleet {
        fronts: fronts.collect(),
        service: "forms".parse().expect("a name"),
        regions: regions.to_vec(),
        servers,
        table: EgressTable::new(Time(0)),
        rng: ChaCha8Rng::seed_from_u64(seed),
        seen: Seen::default(),
        links: BTreeMap::new(),
        link_free: BTreeMap::new(),
        scenario,
    };
    let mut now = 0;
    while now < until {
        fleet.step(now);
        now += STEP_MS;
    }
    fleet.seen
}

impl Fleet {
    fn step(&mut self, now: u64) {
        for server in &mut self.servers {
            server.is_lost =
                server.region == 0 && self.scenario.lost.is_some_and(|(lost, _)| now >= lost);
            server.ends.retain(|end| *end > now);
        }
        if now.is_multiple_of(VIEW_MS) {
            for server in &mut self.servers {
                server.seen = server.ends.len() as f64;
            }
            for front in &mut self.fronts {
                front.own.fill(0.0);
            }
        }
        if now.is_multiple_of(1_000) {
            self.links.clear();
        }
        for region in 0..3 {
            let mut expected = (self.scenario.demand)(region, now) * STEP_MS as f64 / 1_000.0;
            while expected > 0.0 {
                if self.rng.random_range(0.0..1.0) < expected {
                    let front = self.rng.random_range(0..FRONTS_PER_REGION) * 3 + region;
                    self.request(front, now);
                }
                expected -= 1.0;
            }
        }
        self.exchange(now);
    }

    /// Passes reports and shares between the fronts and the granter.
    fn exchange(&mut self, now: u64) {
        for (number, front) in self.fronts.iter_mut().enumerate() {
            let phase = number as u64 * STEP_MS % REPORT_MS;
            if now % REPORT_MS == phase {
                let load = std::mem::take(&mut front.load);
                let region = &self.regions[front.region];
                self.table.add_report(region, &self.service, &load);
            }
        }
        if !now.is_multiple_of(100) {
            return;
        }
        let services = BTreeMap::from([(self.service.clone(), self.inputs(now))]);
        let cfg = EgressConfig {
            link_mbps: self.scenario.link_mbps,
            ..EgressConfig::default()
        };
        self.table.update(&services, &cfg, Time(now));
        let leaving = self.table.shares_of(&self.regions[0]);
        let share = leaving.iter().map(|share| share.share).sum();
        self.seen.shares.push(share);
        if self.scenario.granter_lost.is_none_or(|lost| now < lost) && self.scenario.enabled {
            for front in &mut self.fronts {
                let shares = self.table.shares_of(&self.regions[front.region]);
                front.facts.update(&shares, Time(now), Time(now));
            }
        }
    }

    fn inputs(&self, now: u64) -> ServiceInputs {
        let mut regions: BTreeMap<RegionId, RegionCapacity> = BTreeMap::new();
        let is_listed = |server: &&Server| {
            !server.is_lost || self.scenario.lost.is_some_and(|(_, until)| now < until)
        };
        for server in self.servers.iter().filter(is_listed) {
            let region = self.regions[server.region].clone();
            let capacity = regions.entry(region).or_default();
            capacity.per_second += SLOTS as f64 * 1_000.0 / SERVICE_MS as f64;
            capacity.slots += SLOTS as f64;
            capacity.servers += 1.0;
        }
        ServiceInputs {
            objective: OBJECTIVE,
            timeout: TIMEOUT,
            regions,
        }
    }

    fn candidates(&self, front: &Front) -> Vec<Candidate> {
        let servers = self.servers.iter().zip(&front.own);
        let candidates = servers.map(|(server, own)| {
            let ahead = server.seen + own;
            let rounds = ((ahead + 1.0) / SLOTS as f64).max(1.0);
            Candidate {
                server: server.id.clone(),
                distance: if server.region == front.region {
                    Distance::SameRegion
                } else {
                    Distance::OtherRegion
                },
                response_ms: rounds * SERVICE_MS as f64,
                service_rounds: rounds,
                requests_ahead: ahead,
                slots: u32::try_from(SLOTS).expect("few slots"),
                failure_cost_ms: 0.0,
                usable: !server.is_lost,
            }
        });
        candidates.collect()
    }

    fn choose(&mut self, front: usize, now: u64) -> Choice {
        let front = &self.fronts[front];
        let profile = RequestProfile {
            objective_left: OBJECTIVE,
            deadline_left: TIMEOUT,
            size_kib: self.scenario.bytes as f64 / 1_024.0,
        };
        let candidates = self.candidates(front);
        let count = u32::try_from(self.fronts.len()).expect("few fronts");
        let idle_ms = SERVICE_MS as f64;
        let shares = front.facts.get(&self.service, Time(now)).map(<[_]>::to_vec);
        let rng = &mut self.rng;
        let Some(shares) = shares else {
            return admission::choose(&candidates, &profile, idle_ms, count, rng);
        };
        let target = choice::draw(&shares, rng).cloned();
        let region = |candidate: &Candidate| {
            let mut servers = self.servers.iter();
            let server = servers.find(|server| server.id == candidate.server)?;
            Some(&self.regions[server.region])
        };
        choice::choose(
            &candidates,
            &shares,
            target.as_ref(),
            region,
            |subset, _| admission::choose(subset, &profile, idle_ms, count, rng),
        )
    }

    fn request(&mut self, front: usize, now: u64) {
        let counted = now >= WARM_UP_MS;
        let choice = self.choose(front, now);
        let region = self.fronts[front].region;
        self.fronts[front].load.offered += 1;
        self.seen.offered += u32::from(counted);
        let Choice::Send(id) = choice else {
            self.seen.refused += u32::from(counted);
            return;
        };
        let chosen = self.servers.iter().position(|server| server.id == id);
        let chosen = chosen.expect("a listed server");
        self.fronts[front].own[chosen] += 1.0;
        let server = &mut self.servers[chosen];
        let free_at = if server.ends.len() < SLOTS {
            now
        } else {
            server.ends[server.ends.len() - SLOTS]
        };
        let end = free_at + SERVICE_MS;
        server.ends.push_back(end);
        let mut took = end - now;
        let to = server.region;
        if to != region {
            let transfer_ms = self.scenario.bytes as f64 * 8.0 / 1_000.0 / self.scenario.link_mbps;
            let free = self.link_free.entry((region.min(to), region.max(to)));
            let free = free.or_default();
            *free = free.max(now as f64) + transfer_ms;
            took += 17 + floor_to_u64(*free - now as f64);
            self.fronts[front].load.sent_away += 1;
            self.seen.crossed[region] += u32::from(counted);
            let link = self.links.entry((region.min(to), region.max(to)));
            let kib = link.or_default();
            *kib += self.scenario.bytes as f64 / 1_024.0;
            if counted {
                self.seen.crossed_kib += self.scenario.bytes as f64 / 1_024.0;
                self.seen.busiest_link_kib = self.seen.busiest_link_kib.max(*kib);
            }
        }
        let load = &mut self.fronts[front].load;
        load.bytes += self.scenario.bytes;
        load.responses += 1;
        self.seen.in_time += u32::from(counted && u128::from(took) <= OBJECTIVE.as_millis());
    }
}
