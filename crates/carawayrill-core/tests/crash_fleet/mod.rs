//! Fronts, a granter and servers that crash under requests, in virtual time.

use std::time::Duration;

use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::quarantine::Admission;
use carawayrill_core::direct::quarantine::Crash;
use carawayrill_core::direct::quarantine::CrashReport;
use carawayrill_core::direct::quarantine::CrashTable;
use carawayrill_core::direct::quarantine::Fingerprints;
use carawayrill_core::direct::quarantine::ReportedCrash;
use carawayrill_core::direct::quarantine::RequestContent;
use carawayrill_core::direct::quarantine::Scope;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The interval between two steps.
const STEP: Duration = Duration::from_millis(5);
/// The interval between two rounds of the granter, and the least interval between two updates for
/// each front.
const ROUND_STEPS: u64 = 8;
const UPDATE_INTERVAL_PER_FRONT: Duration = Duration::from_micros(700);
/// The time of a message.
const MESSAGE_TIME: Duration = Duration::from_millis(10);
/// The time from a crash to the next start of the server.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// How long a server runs a request until it answers or crashes.
const RUN_TIME: Duration = Duration::from_millis(100);
/// The number of callers that repeat the crashing request, and the delay between two attempts.
const CRASHING_CALLERS: u64 = 6;
const CALLERS_OF_AN_OWNER: u64 = 40;
const REPEAT_STEPS: u64 = 100;
/// How long a front holds a request.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// The number of copies that were lost in crashes after which a request must be kept from servers, the
/// time after the last of these from which arrivals count, and the most arrivals after that.
const MAX_CRASHES: usize = 3;
const STABLE_WINDOW: Duration = Duration::from_secs(3);
pub const MAX_LATE_ARRIVALS: usize = 3;
/// How long the fleet has no granter.
const NO_GRANTER: std::ops::Range<Time> = Time(6_000)..Time(8_500);
/// When servers crash without a request being the cause.
const SERVERS_LOST_AT: [Time; 4] = [Time(5_000), Time(5_400), Time(5_800), Time(10_000)];

/// What happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Play {
    /// Callers repeat a request that crashes servers.
    CrashingRequest,
    /// The same, and its query is another one each time.
    CrashingPath,
    /// The same, and the granter is lost as it begins.
    GranterLost,
    /// Many callers repeat one for a key. Until it has its next owner, all fronts hold their copies.
    CrashingOwner,
    /// A third of the servers crash at once, four times, without such a request.
    ServersLost,
}

/// What the servers and the callers got, and what it cost.
#[derive(Debug, Default, serde::Serialize)]
pub struct Outcome {
    pub crashes: usize,
    /// The arrivals of the crashing request later than 3 s after the third crash.
    pub late_arrivals: usize,
    /// The attempts of its callers that were refused at once.
    pub refused: usize,
    /// The other requests that were refused as if they crashed servers.
    pub wrongly_refused: usize,
    pub answered: usize,
    /// The messages that had something to say of crashes, and their bytes.
    pub messages: usize,
    pub bytes: usize,
    /// The most bytes that the granter sent at once.
    pub max_granter_bytes: usize,
}

#[derive(Debug)]
struct Server {
    id: ServerId,
    born: Born,
    up_at: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Crashing,
    /// The same for all callers.
    Popular,
    /// Different for each caller; one that is lost is sent again.
    Unique,
}

/// A request that a front holds, or that is passed on to it.
#[derive(Debug, Clone, Copy)]
struct Held {
    kind: Kind,
    content: Fingerprints,
    front: usize,
    attempt: u32,
    from: Time,
    until: Time,
}

#[derive(Debug, Clone, Copy)]
struct Flight {
    kind: Kind,
    content: Fingerprints,
    front: usize,
    server: usize,
    sent: Time,
    attempt: u32,
}

/// What a front has told the granter, and the granter the front.
#[derive(Debug, Clone, Copy, Default)]
struct Stream {
    reported: u64,
    told: u64,
    is_joined: bool,
}

/// Reports on their way.
#[derive(Debug)]
struct Message {
    arrives: Time,
    to: usize,
    reports: Vec<CrashReport>,
}

pub struct Fleet {
    play: Play,
    now: Time,
    rng: ChaCha8Rng,
    fronts: Vec<CrashTable>,
    streams: Vec<Stream>,
    granter: Option<usize>,
    servers: Vec<Server>,
    flights: Vec<Flight>,
    held: Vec<Held>,
    messages: Vec<Message>,
    updated_at: Time,
    /// The server that owns the key of the crashing request, and when it does.
    owner: (usize, Time),
    crashed_at: Vec<Time>,
    /// When copies of the crashing request were lost in crashes.
    lost_at: Vec<Time>,
    arrivals: Vec<Time>,
    outcome: Outcome,
    next_born: u64,
    next_content: u64,
}

/// Returns the fingerprints of a request.
pub fn content(path: &str, query: &str) -> Fingerprints {
    let content = RequestContent {
        host: "forms.example",
        method: "GET",
        path,
        query,
        key: None,
        body: b"",
    };
    content.fingerprints()
}

impl Fleet {
    pub fn new(fronts: usize, play: Play) -> Self {
        let servers = fronts.max(18);
        let mut fleet = Self {
            play,
            now: Time(0),
            rng: ChaCha8Rng::seed_from_u64(5),
            fronts: (0..fronts).map(|_| CrashTable::default()).collect(),
            streams: vec![Stream::default(); fronts],
            granter: Some(0),
            servers: Vec::new(),
            flights: Vec::new(),
            held: Vec::new(),
            messages: Vec::new(),
            updated_at: Time(0),
            owner: (0, Time(0)),
            crashed_at: Vec::new(),
            lost_at: Vec::new(),
            arrivals: Vec::new(),
            outcome: Outcome::default(),
            next_born: 0,
            next_content: 0,
        };
        fleet.fronts[0].set_trier(true);
        for number in 0..servers {
            let id = format!("i-server{number:04}");
            fleet.servers.push(Server {
                id: id.parse().expect("a name"),
                born: Born(0),
                up_at: Time(0),
            });
        }
        fleet
    }

    pub fn run(mut self, length: Duration) -> Outcome {
        let end = Time(0) + length;
        let mut step = 0;
        while self.now < end {
            self.now = self.now + STEP;
            step += 1;
            self.elect();
            self.send_requests(step);
            self.send_held();
            self.lose_servers();
            self.end_flights();
            for front in 0..self.fronts.len() {
                self.report(front);
            }
            self.update(step);
            self.deliver();
        }
        self.outcome.crashes = self.crashed_at.len();
        if let Some(limiting) = self.lost_at.get(MAX_CRASHES - 1) {
            let from = *limiting + STABLE_WINDOW;
            let late = self.arrivals.iter().filter(|at| **at > from);
            self.outcome.late_arrivals = late.count();
        }
        self.outcome
    }

    fn elect(&mut self) {
        if self.play != Play::GranterLost {
            return;
        }
        let granter = if NO_GRANTER.contains(&self.now) {
            None
        } else {
            Some(usize::from(self.now >= NO_GRANTER.end))
        };
        if granter != self.granter {
            for (front, table) in self.fronts.iter_mut().enumerate() {
                table.set_trier(granter == Some(front));
            }
            self.granter = granter;
            self.streams.fill(Stream::default());
        }
    }

    fn send_requests(&mut self, step: u64) {
        let crashes = self.play != Play::ServersLost && self.now >= Time(5_000);
        let callers = match self.play {
            Play::CrashingOwner => CALLERS_OF_AN_OWNER,
            _ => CRASHING_CALLERS,
        };
        for caller in (0..callers).filter(|_| crashes) {
            if (step + caller * 17).is_multiple_of(REPEAT_STEPS) {
                self.next_content += 1;
                let query = match self.play {
                    Play::CrashingPath => format!("n={}", self.next_content),
                    _ => String::new(),
                };
                self.send(Kind::Crashing, content("/crash", &query), 0);
            }
        }
        // A few requests for each front and second.
        let count = self.fronts.len().div_ceil(10);
        for _request in 0..count {
            self.send(Kind::Popular, content("/popular", ""), 0);
            self.next_content += 1;
            let path = format!("/{}", self.next_content);
            self.send(Kind::Unique, content(&path, "page=1"), 0);
        }
    }

    /// A front takes a request.
    fn send(&mut self, kind: Kind, content: Fingerprints, attempt: u32) {
        let held = Held {
            kind,
            content,
            front: self.rng.random_range(0..self.fronts.len()),
            attempt,
            from: self.now,
            until: self.now + HOLD_TIME,
        };
        self.admit(held);
    }

    /// A front decides on a request: it sends, holds, passes on or refuses it.
    fn admit(&mut self, held: Held) {
        if self.is_owner_awaited(held.kind) {
            self.hold(held);
            return;
        }
        match self.fronts[held.front].begin_send(&held.content, self.now) {
            Admission::Send => self.send_to_server(held),
            Admission::Wait(_) => self.hold(held),
            Admission::PassOn => match self.granter {
                Some(front) => self.held.push(Held {
                    front,
                    from: self.now + MESSAGE_TIME,
                    ..held
                }),
                None => self.send_to_server(held),
            },
            Admission::Refuse(_) => self.refuse(held.kind),
        }
    }

    fn is_owner_awaited(&self, kind: Kind) -> bool {
        let is_owned = self.play == Play::CrashingOwner && kind == Kind::Crashing;
        is_owned && self.owner.1 > self.now
    }

    fn hold(&mut self, held: Held) {
        if self.now < held.until {
            self.held.push(held);
        } else {
            self.refuse(held.kind);
        }
    }

    fn refuse(&mut self, kind: Kind) {
        match kind {
            Kind::Crashing => self.outcome.refused += 1,
            Kind::Popular | Kind::Unique => self.outcome.wrongly_refused += 1,
        }
    }

    /// Fronts decide again on the requests that they hold.
    fn send_held(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|held| held.from <= now);
        self.held = rest;
        for held in due {
            self.admit(held);
        }
    }

    fn send_to_server(&mut self, held: Held) {
        let Held {
            kind,
            content,
            front,
            attempt,
            ..
        } = held;
        let server = match (self.play, kind) {
            (Play::CrashingOwner, Kind::Crashing) => self.owner.0,
            _ => self.rng.random_range(0..self.servers.len()),
        };
        if self.servers[server].up_at > self.now {
            return;
        }
        if kind == Kind::Crashing {
            self.arrivals.push(self.now);
        }
        self.flights.push(Flight {
            kind,
            content,
            front,
            server,
            sent: self.now,
            attempt,
        });
    }

    fn lose_servers(&mut self) {
        if self.play != Play::ServersLost || !SERVERS_LOST_AT.contains(&self.now) {
            return;
        }
        for server in 0..self.servers.len() {
            if self.servers[server].up_at <= self.now && self.rng.random_bool(0.33) {
                self.crash(server);
            }
        }
    }

    fn end_flights(&mut self) {
        let due = |flight: &Flight| self.now.since(flight.sent) >= RUN_TIME;
        let ended: Vec<Flight> = self.flights.iter().copied().filter(due).collect();
        self.flights
            .retain(|flight| self.now.since(flight.sent) < RUN_TIME);
        for flight in ended {
            if flight.kind == Kind::Crashing {
                // It counts as in flight at its own crash.
                self.flights.push(flight);
                self.crash(flight.server);
            } else {
                self.outcome.answered += 1;
                let table = &mut self.fronts[flight.front];
                let _cleared = table.record_served(&flight.content, self.now);
            }
        }
    }

    /// A server crashes: it loses all its requests.
    fn crash(&mut self, server: usize) {
        if self.servers[server].up_at > self.now {
            return;
        }
        self.crashed_at.push(self.now);
        let at = |flight: &Flight| flight.server == server;
        let lost: Vec<Flight> = self.flights.iter().copied().filter(at).collect();
        self.flights.retain(|flight| flight.server != server);
        if self.owner.0 == server {
            self.owner = ((server + 1) % self.servers.len(), self.now + RESTART_TIME);
        }
        for flight in lost {
            if flight.kind == Kind::Crashing {
                self.lost_at.push(self.now);
            }
            let crash = Crash {
                server: self.servers[server].id.clone(),
                born: self.servers[server].born,
                sent: flight.sent,
                ended: self.now,
            };
            let table = &mut self.fronts[flight.front];
            let _crashes = table.record_crash(&flight.content, &crash, self.now);
            let repeats = match flight.kind {
                Kind::Crashing => 1,
                Kind::Popular | Kind::Unique => 3,
            };
            if flight.attempt < repeats {
                self.send(flight.kind, flight.content, flight.attempt + 1);
            }
        }
        self.next_born += 1;
        self.servers[server].born = Born(self.next_born);
        self.servers[server].up_at = self.now + RESTART_TIME;
    }

    /// A front that has observed something new reports it at once.
    fn report(&mut self, front: usize) {
        let Some(granter) = self.granter.filter(|granter| *granter != front) else {
            return;
        };
        let stream = &mut self.streams[front];
        let table = &self.fronts[front];
        let scope = if stream.is_joined {
            Scope::Observed
        } else {
            Scope::All
        };
        if stream.is_joined && table.last_change(scope) <= stream.reported {
            return;
        }
        let reports = table.reports(scope, stream.reported, self.now);
        stream.reported = table.change_count();
        stream.is_joined = true;
        self.post(granter, reports);
    }

    /// The granter tells all fronts what is new.
    fn update(&mut self, step: u64) {
        let fronts = u32::try_from(self.fronts.len()).expect("fits");
        let interval = UPDATE_INTERVAL_PER_FRONT.saturating_mul(fronts);
        let is_due =
            step.is_multiple_of(ROUND_STEPS) && self.now.since(self.updated_at) >= interval;
        let Some(granter) = self.granter.filter(|_| is_due) else {
            return;
        };
        self.updated_at = self.now;
        let mut sent = 0;
        for front in (0..self.fronts.len()).filter(|front| *front != granter) {
            let stream = &mut self.streams[front];
            let table = &self.fronts[granter];
            if !stream.is_joined || table.last_change(Scope::Shared) <= stream.told {
                continue;
            }
            let reports = table.reports(Scope::Shared, stream.told, self.now);
            stream.told = table.change_count();
            sent += self.post(front, reports);
        }
        self.outcome.max_granter_bytes = self.outcome.max_granter_bytes.max(sent);
    }

    fn post(&mut self, to: usize, reports: Vec<CrashReport>) -> usize {
        let bytes: usize = reports.iter().map(encoded_len).sum();
        if !reports.is_empty() {
            self.outcome.messages += 1;
            self.outcome.bytes += bytes;
            let arrives = self.now + MESSAGE_TIME;
            self.messages.push(Message {
                arrives,
                to,
                reports,
            });
        }
        bytes
    }

    fn deliver(&mut self) {
        let now = self.now;
        let is_due = |message: &Message| message.arrives <= now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(is_due);
        self.messages = rest;
        for message in due {
            for report in &message.reports {
                let table = &mut self.fronts[message.to];
                let _refused = if Some(message.to) == self.granter {
                    table.merge(report, now)
                } else {
                    table.merge_shared(report, now)
                };
            }
        }
    }
}

/// Returns about the length of a report in a message: the fingerprint and an age, and for each crash
/// a server, an incarnation and two ages, each with a tag.
fn encoded_len(report: &CrashReport) -> usize {
    let crash_len = |crash: &ReportedCrash| 2 + 2 + crash.server.as_str().len() + 8 + 2 * 4;
    11 + 4 + report.crashes.iter().map(crash_len).sum::<usize>()
}
