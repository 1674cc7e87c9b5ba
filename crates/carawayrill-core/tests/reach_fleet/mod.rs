//! Fronts, some of which are cut off from all servers, in virtual time.

use std::time::Duration;

use carawayrill_core::direct::admission::Distance;
use carawayrill_core::direct::reach::Peer;
use carawayrill_core::direct::reach::PeerTable;
use carawayrill_core::direct::reach::ServerReach;
use carawayrill_core::direct::reach::choose_peers;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
/// The steps between two requests at one front.
const REQUEST_STEPS: u64 = 6;
/// The steps between two reports of a front, two probes, and two rounds of orders of the granter.
const REPORT_STEPS: u64 = 50;
const PROBE_STEPS: u64 = 50;
const ORDER_STEPS: u64 = 40;
/// The least interval between two updates of the granter, and what each front adds to it.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(300);
const UPDATE_INTERVAL_PER_FRONT: Duration = Duration::from_micros(700);
/// The time until another front is the granter once one has handed over.
const HANDOVER_TIME: Duration = Duration::from_secs(1);
const SERVERS: usize = 54;
const DATA_CENTRES: usize = 6;
/// When the cut begins and ends, from when callers have to be served, and the end of the play.
const CUT_AT: Time = Time(3_000);
const COUNTED_FROM: Time = Time(6_000);
const CUT_END: Time = Time(11_000);
const END: Time = Time(13_000);

/// Which fronts are cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    OneFront,
    Granter,
    MostOfADataCentre,
    HalfOfTheFleet,
}

/// What callers got, and what it cost.
#[derive(Debug, Default, serde::Serialize)]
pub struct Outcome {
    /// The share of the requests at cut fronts that were served, from 3 s after the cut.
    pub served_of_cut: f64,
    /// The most requests that one front served, as a multiple of its own callers' requests.
    pub max_load: f64,
    /// The time until the last cut front had noticed, in milliseconds.
    pub noticed_ms: u64,
    /// The lists of peers that were sent from the beginning of the cut, and their bytes.
    pub lists: usize,
    pub bytes: usize,
    /// The connections that were opened as probes.
    pub probes: usize,
}

#[derive(Debug)]
struct Front {
    peer: Peer,
    reach: ServerReach,
    peers: PeerTable,
    /// What the granter knows.
    reported_cut: bool,
    told: Option<u64>,
    served: usize,
    own: usize,
}

/// An attempt to open a connection.
#[derive(Debug, Clone, Copy)]
struct Connecting {
    front: usize,
    server: usize,
    fails_at: Time,
}

pub struct Fleet {
    now: Time,
    cut: Cut,
    connect_time: Duration,
    fronts: Vec<Front>,
    granter: usize,
    /// When the next granter begins, if one has handed over.
    next_granter_at: Option<Time>,
    changes: u64,
    updated_at: Time,
    connecting: Vec<Connecting>,
    rng: ChaCha8Rng,
    outcome: Outcome,
    cut_requests: (usize, usize),
}

fn server(number: usize) -> ServerId {
    format!("i-{number}").parse().expect("a name")
}

fn data_centre(number: usize) -> DataCentreId {
    let place = number % DATA_CENTRES;
    format!("r{}-{place}", place / 2).parse().expect("a name")
}

fn distance(from: &DataCentreId, to: &DataCentreId) -> Distance {
    if from == to {
        Distance::SameDataCentre
    } else if from.as_str()[..2] == to.as_str()[..2] {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}

impl Fleet {
    /// Creates a fleet in which a connection to a server fails after `connect_time` during the cut.
    pub fn new(fronts: usize, cut: Cut, connect_time: Duration) -> Self {
        let front = |number: usize| Front {
            peer: Peer {
                front: format!("front-{number}").into(),
                address: ([10, 0, 1, 1], u16::try_from(number).expect("fits")).into(),
                data_centre: data_centre(number),
            },
            reach: ServerReach::default(),
            peers: PeerTable::default(),
            reported_cut: false,
            told: None,
            served: 0,
            own: 0,
        };
        Self {
            now: Time(0),
            cut,
            connect_time,
            fronts: (0..fronts).map(front).collect(),
            granter: 0,
            next_granter_at: None,
            changes: 0,
            updated_at: Time(0),
            connecting: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(9),
            outcome: Outcome::default(),
            cut_requests: (0, 0),
        }
    }

    pub fn run(mut self) -> Outcome {
        let mut step = 0;
        while self.now < END {
            self.now = self.now + STEP;
            step += 1;
            self.fail_connections();
            for front in 0..self.fronts.len() {
                let number = u64::try_from(front).expect("fits");
                if (step + number).is_multiple_of(REQUEST_STEPS) {
                    self.request(front);
                }
                if (step + number).is_multiple_of(REPORT_STEPS) {
                    self.report(front);
                }
                if (step + number).is_multiple_of(PROBE_STEPS) {
                    self.probe(front);
                }
            }
            self.act_as_granter(step);
        }
        let (sent, served) = self.cut_requests;
        self.outcome.served_of_cut = served as f64 / sent.max(1) as f64;
        let load = |front: &Front| front.served as f64 / front.own.max(1) as f64;
        self.outcome.max_load = self.fronts.iter().map(load).fold(0.0, f64::max);
        self.outcome
    }

    fn is_cut(&self, front: usize) -> bool {
        let is_chosen = match self.cut {
            Cut::OneFront => front == 1,
            Cut::Granter => front < 2,
            // All of its fronts but one of three.
            Cut::MostOfADataCentre => front % DATA_CENTRES == 1 && (front / DATA_CENTRES) % 3 != 2,
            Cut::HalfOfTheFleet => front.is_multiple_of(2),
        };
        is_chosen && (CUT_AT..CUT_END).contains(&self.now)
    }

    fn is_counted(&self) -> bool {
        (COUNTED_FROM..CUT_END).contains(&self.now)
    }

    /// A caller's request at a front.
    fn request(&mut self, front: usize) {
        let served_by = self.serve(front);
        let counted = self.is_counted();
        if counted && self.is_cut(front) {
            self.cut_requests.0 += 1;
            self.cut_requests.1 += usize::from(served_by.is_some());
        }
        if counted {
            self.fronts[front].own += 1;
            if let Some(by) = served_by {
                self.fronts[by].served += 1;
            }
        }
    }

    /// Returns the front that serves a request, if any does.
    fn serve(&mut self, front: usize) -> Option<usize> {
        if self.fronts[front].reach.is_cut_off() {
            return self.serve_by_peer(front);
        }
        if self.is_cut(front) {
            self.connect(front);
            return None;
        }
        let _change = self.fronts[front].reach.record_connected(self.now);
        Some(front)
    }

    fn serve_by_peer(&mut self, front: usize) -> Option<usize> {
        let mut tried = Vec::new();
        loop {
            let peers = &self.fronts[front].peers;
            let peer = peers.choose(&tried, self.now, &mut self.rng)?;
            let number = usize::from(peer.address.port());
            if !self.is_cut(number) {
                return Some(number);
            }
            let peers = &mut self.fronts[front].peers;
            peers.record_failed(&peer.front, self.now);
            tried.push(peer.front);
        }
    }

    fn connect(&mut self, front: usize) {
        let server = self.rng.random_range(0..SERVERS);
        self.connecting.push(Connecting {
            front,
            server,
            fails_at: self.now + self.connect_time,
        });
    }

    fn fail_connections(&mut self) {
        let now = self.now;
        let is_due = |connecting: &Connecting| connecting.fails_at <= now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.connecting)
            .into_iter()
            .partition(is_due);
        self.connecting = rest;
        for Connecting {
            front, server: to, ..
        } in due
        {
            let reach = &mut self.fronts[front].reach;
            if reach.record_failed(&server(to), SERVERS, now).is_some() {
                self.outcome.noticed_ms = now.0 - CUT_AT.0;
            }
        }
    }

    fn probe(&mut self, front: usize) {
        if !self.fronts[front].reach.is_cut_off() {
            return;
        }
        self.outcome.probes += 1;
        if !self.is_cut(front) {
            let _change = self.fronts[front].reach.record_connected(self.now);
        }
    }

    fn report(&mut self, front: usize) {
        if self.next_granter_at.is_some() {
            return;
        }
        let reporting = &mut self.fronts[front];
        let is_cut_off = reporting.reach.is_cut_off();
        if reporting.told.is_none() || reporting.reported_cut != is_cut_off {
            self.changes += 1;
        }
        reporting.told.get_or_insert(0);
        reporting.reported_cut = is_cut_off;
    }

    fn act_as_granter(&mut self, step: u64) {
        if let Some(at) = self.next_granter_at {
            if at <= self.now {
                self.next_granter_at = None;
                // Another front that is not cut off claims the lease, and all join it.
                let next = (0..self.fronts.len()).find(|front| !self.is_cut(*front));
                self.granter = next.expect("a front that reaches the servers");
                for front in &mut self.fronts {
                    front.told = None;
                }
            }
            return;
        }
        let granter = self.granter;
        if step.is_multiple_of(ORDER_STEPS) && self.is_cut(granter) {
            self.connect(granter);
        }
        let granting = &self.fronts[granter];
        if granting.reach.is_cut_off() && !granting.peers.is_empty() {
            self.next_granter_at = Some(self.now + HANDOVER_TIME);
            return;
        }
        self.update();
    }

    fn update(&mut self) {
        let fronts = u32::try_from(self.fronts.len()).expect("fits");
        let interval = UPDATE_INTERVAL_PER_FRONT.saturating_mul(fronts);
        if self.now.since(self.updated_at) < interval.max(MIN_UPDATE_INTERVAL) {
            return;
        }
        self.updated_at = self.now;
        let changes = self.changes;
        let due = |front: &Front| front.told.is_some_and(|told| told < changes);
        let due: Vec<usize> = (0..self.fronts.len())
            .filter(|number| due(&self.fronts[*number]))
            .collect();
        for number in due {
            let front = &self.fronts[number];
            let place = &front.peer.data_centre;
            let known = self.fronts.iter();
            let reaching = known
                .filter(|other| other.told.is_some() && !other.reported_cut)
                .map(|other| &other.peer);
            let peers = choose_peers(&front.peer.front, reaching, |to| distance(place, to));
            if self.now >= CUT_AT {
                self.outcome.lists += 1;
                self.outcome.bytes += peers.iter().map(encoded_len).sum::<usize>();
            }
            self.fronts[number].peers.set(peers);
            self.fronts[number].told = Some(changes);
        }
    }
}

/// Returns about the length of a peer in a message: three texts, each with a tag and a length.
fn encoded_len(peer: &Peer) -> usize {
    let address = peer.address.to_string();
    2 + 6 + peer.front.len() + address.len() + peer.data_centre.as_str().len()
}
