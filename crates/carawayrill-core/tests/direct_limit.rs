//! Fronts that keep to the limit that a server names, in virtual time: what the server gets, and what
//! the callers get.

use std::time::Duration;

use carawayrill_core::direct::fronts::DEFAULT_FRONT_COUNT;
use carawayrill_core::direct::incarnation::Born;
use carawayrill_core::direct::limit::LimitDivision;
use carawayrill_core::direct::limit::LimitStatement;
use carawayrill_core::direct::limit::RequestRate;
use carawayrill_core::direct::limit::ServerLimits;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::Time;
use carawayrill_core::time::floor_to_u64;
use compact_str::CompactString;
use compact_str::format_compact;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// The interval between two steps.
const STEP: Duration = Duration::from_millis(5);
/// The interval between two reports of a front, and two updates of the granter.
const REPORT_INTERVAL_STEPS: u64 = 50;
const UPDATE_INTERVAL_STEPS: u64 = 60;
/// The time from which the limit must be kept.
const SETTLED: Time = Time(3_000);
/// The length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
const LENGTH: Time = Time(30_000);

/// The requests that callers send for one server.
#[derive(Debug, Clone, Copy)]
enum Load {
    /// All fronts get the same.
    Even,
    /// One front in ten gets all requests.
    FewFronts,
    /// Nothing for two seconds, then all at once for half a second.
    Bursts,
}

impl Load {
    /// Returns the requests a second at a front, if the server's limit is `limit`.
    fn rate(self, front: usize, fronts: usize, limit: f64, now: Time) -> f64 {
        let total = 4.0 * limit;
        match self {
            Self::Even => total / fronts as f64,
            Self::FewFronts if front.is_multiple_of(10) => total / fronts.div_ceil(10) as f64,
            Self::Bursts if now.0 % 2_500 >= 2_000 => 5.0 * total / fronts as f64,
            Self::FewFronts | Self::Bursts => 0.0,
        }
    }
}

struct Fleet {
    server: ServerId,
    limit: RequestRate,
    /// The number of fronts that each front assumes, unless it knows it.
    assumed: Option<u32>,
    fronts: Vec<ServerLimits>,
    granter: Option<LimitDivision>,
    rng: ChaCha8Rng,
    /// When each front was first told of the limit by a response.
    told: Vec<Option<Time>>,
    /// When requests reached the server from fronts that it had told half a second before.
    arrivals: Vec<Time>,
    refused: usize,
}

impl Fleet {
    /// Creates a fleet whose fronts were told their number.
    fn new(fronts: usize, limit: RequestRate, has_granter: bool) -> Self {
        let mut fleet = Self::new_uncounted(fronts, limit, has_granter);
        for front in &mut fleet.fronts {
            front.confirm_fronts();
        }
        fleet
    }

    /// Creates a fleet whose fronts assume a number.
    fn new_uncounted(fronts: usize, limit: RequestRate, has_granter: bool) -> Self {
        Self {
            server: "s-1".parse().expect("a name"),
            limit,
            assumed: None,
            fronts: (0..fronts).map(|_| ServerLimits::default()).collect(),
            granter: has_granter.then(LimitDivision::default),
            rng: ChaCha8Rng::seed_from_u64(11),
            told: vec![None; fronts],
            arrivals: Vec::new(),
            refused: 0,
        }
    }

    fn count(&self) -> u32 {
        let fronts = u32::try_from(self.fronts.len()).expect("fits");
        self.assumed.unwrap_or(fronts)
    }

    fn run(mut self, load: Load) -> Self {
        let mut now = Time(0);
        let mut step = 0;
        while now < LENGTH {
            now = now + STEP;
            step += 1;
            for front in 0..self.fronts.len() {
                let rate = load.rate(front, self.fronts.len(), self.limit.per_second(), now);
                if self.rng.random_bool((rate * STEP.as_secs_f64()).min(1.0)) {
                    self.request(front, now);
                }
                self.exchange(front, step, now);
            }
        }
        self
    }

    /// Sends a request of a caller or refuses it. The response names the limit.
    fn request(&mut self, front: usize, now: Time) {
        let fronts = self.count();
        let limits = &mut self.fronts[front];
        if !limits.allows(&self.server, now) {
            limits.record_refused(&self.server);
            self.refused += 1;
            return;
        }
        limits.record_sent(&self.server, now);
        let told = *self.told[front].get_or_insert(now);
        if now.since(told) >= Duration::from_millis(500) {
            self.arrivals.push(now);
        }
        let phase = self.rng.random_range(0.0..1.0);
        let _changed = limits.record(&said(Some(self.limit)), fronts, phase, now);
    }

    fn exchange(&mut self, front: usize, step: u64, now: Time) {
        let fronts = self.count();
        let name = front_name(front);
        let number = u64::try_from(front).expect("fits");
        let limits = &mut self.fronts[front];
        if (step + number).is_multiple_of(REPORT_INTERVAL_STEPS) {
            limits.refresh(fronts, now);
            let reports = limits.take_reports(now);
            for (granter, report) in self.granter.iter_mut().zip(&reports) {
                granter.add_report(&name, report, now);
            }
        }
        let Some(granter) = &mut self.granter else {
            return;
        };
        if (step + 7 * number).is_multiple_of(UPDATE_INTERVAL_STEPS) {
            granter.expire(now);
            for share in granter.shares_of(&name, fronts, now) {
                let phase = self.rng.random_range(0.0..1.0);
                let _changed = limits.apply_share(&share, fronts, phase, now);
            }
        }
    }

    /// Returns the most requests that the server got in a window.
    fn most_in_window(&self) -> usize {
        let settled = self.arrivals.iter().filter(|at| **at >= SETTLED);
        let count = |start: Time| {
            let window = start..start + WINDOW;
            let got = self.arrivals.iter().filter(|at| window.contains(at));
            got.count()
        };
        settled.map(|start| count(*start)).max().unwrap_or(0)
    }

    /// Returns the requests that were served from `SETTLED` on, as a share of the limit.
    fn used(&self) -> f64 {
        let served = self.arrivals.iter().filter(|at| **at >= SETTLED).count();
        let length = LENGTH.since(SETTLED).as_secs_f64();
        served as f64 / (self.limit.per_second() * length)
    }
}

/// Returns what the server says of its limit in a response.
fn said(limit: Option<RequestRate>) -> LimitStatement {
    LimitStatement {
        server: "s-1".parse().expect("a name"),
        born: Born(1),
        limit,
        age: Duration::ZERO,
        cold: None,
    }
}

fn front_name(front: usize) -> CompactString {
    format_compact!("front-{front}")
}

fn allowed(limit: RequestRate) -> usize {
    let allowed = 1.5 * limit.per_second() * WINDOW.as_secs_f64() + 5.0;
    usize::try_from(floor_to_u64(allowed)).expect("fits")
}

/// The server gets no more than its limit and the callers get most of it, whoever asks.
#[rstest]
#[case::two(2, 2_000)]
#[case::small_fleet_low_limit(11, 2_000)]
#[case::small_fleet(11, 9_100)]
#[case::middle_fleet(89, 60_000)]
#[case::large_fleet(300, 200_000)]
fn a_limit_is_kept_and_used(
    #[case] fronts: usize,
    #[case] milli_rate: u64,
    #[values(Load::Even, Load::FewFronts)] load: Load,
) {
    let limit = RequestRate(milli_rate);
    let fleet = Fleet::new(fronts, limit, true).run(load);
    let most = fleet.most_in_window();
    assert!(most <= allowed(limit), "{most} in a window");
    assert!(fleet.used() >= 0.6, "{} of the limit is used", fleet.used());
}

/// Without the granter's word and after pauses in the load, the server is still not overrun.
#[rstest]
fn a_limit_is_kept(
    #[values(2, 11, 89, 300)] fronts: usize,
    #[values(2_000, 9_100, 60_000)] milli_rate: u64,
    #[values(Load::Even, Load::FewFronts, Load::Bursts)] load: Load,
    #[values(false, true)] has_granter: bool,
) {
    let limit = RequestRate(milli_rate);
    let fleet = Fleet::new(fronts, limit, has_granter).run(load);
    let most = fleet.most_in_window();
    assert!(most <= allowed(limit), "{most} in a window");
    assert!(fleet.refused > 0);
}

/// Guards against fronts that start while no granter is reached, and take themselves for a few.
#[rstest]
fn fronts_that_were_not_told_their_number_do_not_guess_their_share_of_a_limit(
    #[values(31, 300)] fronts: usize,
    #[values(9_100, 60_000)] milli_rate: u64,
) {
    let limit = RequestRate(milli_rate);
    let mut fleet = Fleet::new_uncounted(fronts, limit, false);
    fleet.assumed = Some(DEFAULT_FRONT_COUNT);
    let most = fleet.run(Load::Even).most_in_window();
    assert!(most <= allowed(limit), "{most} in a window");
}

/// A limit that is no longer named ends at all fronts, also at those that got no response.
#[test]
fn a_limit_ends_everywhere_once_a_response_names_none() {
    let server: ServerId = "s-1".parse().expect("a name");
    let limit = Some(RequestRate(1_000));
    let mut told = ServerLimits::default();
    let mut other = ServerLimits::default();
    let mut granter = LimitDivision::default();
    assert!(told.record(&said(limit), 2, 0.0, Time(0)));
    for (now, limit) in [(Time(100), limit), (Time(500), None)] {
        let _changed = told.record(&said(limit), 2, 0.0, now);
        for report in told.take_reports(now) {
            granter.add_report(&"front-1".into(), &report, now);
        }
        for share in granter.shares_of("front-2", 2, now) {
            let _changed = other.apply_share(&share, 2, 0.0, now);
        }
        assert_eq!(other.get(&server, now), limit);
        assert_eq!(other.allows(&server, now), limit.is_none());
    }
}

/// A response that was named before a later one, and arrives after it, changes nothing.
#[test]
fn an_older_word_on_a_limit_changes_nothing() {
    let server: ServerId = "s-1".parse().expect("a name");
    let mut limits = ServerLimits::default();
    let limit = |rate| Some(RequestRate(rate));
    assert!(limits.record(&said(limit(2_000)), 2, 0.0, Time(1_000)));
    assert!(!limits.record(&said(None), 2, 0.0, Time(900)));
    assert_eq!(limits.get(&server, Time(1_000)), limit(2_000));
}

/// The next incarnation of a server is not bound by what the one before said.
#[test]
fn a_restarted_server_has_no_limit() {
    let server: ServerId = "s-1".parse().expect("a name");
    let mut limits = ServerLimits::default();
    assert!(limits.record(&said(Some(RequestRate(2_000))), 2, 0.0, Time(0)));
    limits.remove(&server);
    assert_eq!(limits.get(&server, Time(100)), None);
    assert!(limits.allows(&server, Time(100)));
}

#[rstest]
#[case::decimal("7.1", Some(7_100))]
#[case::whole("5", Some(5_000))]
#[case::zero("0", Some(0))]
#[case::negative("-1", None)]
#[case::not_a_number("NaN", None)]
#[case::endless("inf", None)]
#[case::text("many", None)]
fn a_rate_is_read(#[case] text: &str, #[case] expected: Option<u64>) {
    let rate = text.parse::<RequestRate>().ok();
    assert_eq!(rate, expected.map(RequestRate));
}
