//! Goodput of one server's queue under overload, in simulated time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::Duration;

use carawayrill_core::answer::fair::QueuedRequest;
use carawayrill_core::answer::queue::Completion;
use carawayrill_core::answer::queue::QueueAction;
use carawayrill_core::answer::queue::ServerLimits;
use carawayrill_core::answer::queue::ServerQueue;
use carawayrill_core::id::RequestId;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 6;
const MEAN_SERVICE_MS: f64 = 10.0;
const DEADLINE_MS: u64 = 200;
const RUN_MS: u64 = 10_000;
const TICK_MS: u64 = 10;

/// A queue under test.
trait Policy {
    fn offer(&mut self, now: Time, request: QueuedRequest) -> Vec<RequestId>;
    fn complete(&mut self, now: Time, request: &RequestId, took: Duration) -> Vec<RequestId>;
    fn tick(&mut self, now: Time) -> Vec<RequestId>;
}

fn sends(actions: Vec<QueueAction>) -> Vec<RequestId> {
    let send = |action| match action {
        QueueAction::Send(request) => Some(request),
        QueueAction::Refuse(..) => None,
    };
    actions.into_iter().filter_map(send).collect()
}

impl Policy for ServerQueue {
    fn offer(&mut self, now: Time, request: QueuedRequest) -> Vec<RequestId> {
        sends(Self::offer(self, now, request).unwrap_or_default())
    }

    fn complete(&mut self, now: Time, request: &RequestId, took: Duration) -> Vec<RequestId> {
        sends(Self::complete(
            self,
            now,
            request,
            Completion::Answered(took),
        ))
    }

    fn tick(&mut self, now: Time) -> Vec<RequestId> {
        sends(Self::tick(self, now))
    }
}

/// The baseline: a FIFO queue that refuses nothing.
#[derive(Default)]
struct Fifo {
    waiting: VecDeque<RequestId>,
    running: u32,
}

impl Fifo {
    fn dispatch(&mut self) -> Vec<RequestId> {
        let free = usize::try_from(SLOTS - self.running).unwrap();
        let sent: Vec<_> = self.waiting.drain(..free.min(self.waiting.len())).collect();
        self.running += u32::try_from(sent.len()).unwrap();
        sent
    }
}

impl Policy for Fifo {
    fn offer(&mut self, _now: Time, request: QueuedRequest) -> Vec<RequestId> {
        self.waiting.push_back(request.request);
        self.dispatch()
    }

    fn complete(&mut self, _now: Time, _request: &RequestId, _took: Duration) -> Vec<RequestId> {
        self.running -= 1;
        self.dispatch()
    }

    fn tick(&mut self, _now: Time) -> Vec<RequestId> {
        Vec::new()
    }
}

/// Draws an exponentially distributed time in milliseconds.
fn exponential(rng: &mut ChaCha8Rng, mean_ms: f64) -> f64 {
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    -draw.ln() * mean_ms
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of the run are small and positive"
)]
fn whole_ms(span: f64) -> u64 {
    span.round() as u64
}

/// Simulates open-loop arrivals at `load` times the capacity. Returns the number of answers per
/// second that arrived before their deadline.
fn goodput(queue: &mut dyn Policy, load: f64, is_exponential: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let gap_ms = MEAN_SERVICE_MS / f64::from(SLOTS) / load;
    let mut next_arrival = 0.0;
    let mut number = 0_u64;
    let mut deadlines: BTreeMap<RequestId, u64> = BTreeMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, RequestId, u64)>> = BinaryHeap::new();
    let mut good = 0_u64;
    for now in 0..RUN_MS {
        let mut sent = Vec::new();
        while ends.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Reverse((_, request, took)) = ends.pop().unwrap();
            good += u64::from(deadlines[&request] >= now);
            sent.extend(queue.complete(Time(now), &request, Duration::from_millis(took)));
        }
        while whole_ms(next_arrival) <= now {
            next_arrival += exponential(&mut rng, gap_ms);
            number += 1;
            let request: RequestId = format!("r{number}").parse().unwrap();
            deadlines.insert(request.clone(), now + DEADLINE_MS);
            let waiting = QueuedRequest {
                request,
                caller: format!("c{}", number % 20).into(),
                deadline: Time(now + DEADLINE_MS),
            };
            sent.extend(queue.offer(Time(now), waiting));
        }
        if now % TICK_MS == 0 {
            sent.extend(queue.tick(Time(now)));
        }
        for request in sent {
            let took = if is_exponential {
                exponential(&mut rng, MEAN_SERVICE_MS)
            } else {
                rng.random_range(5.0..15.0)
            };
            let took = whole_ms(took).max(1);
            ends.push(Reverse((now + took, request, took)));
        }
    }
    good as f64 * 1_000.0 / RUN_MS as f64
}

#[test]
fn goodput_at_five_times_the_load_is_at_least_nine_tenths() {
    let limits = ServerLimits {
        slots: SLOTS,
        connections: 130,
        queue: 256,
        warm_up: Duration::ZERO,
    };
    let mut table = String::new();
    for (distribution, is_exponential) in [("uniform", false), ("exponential", true)] {
        let mut row = Vec::new();
        for load in [0.5, 1.0, 2.0, 5.0] {
            let fair = goodput(&mut ServerQueue::new(limits, Time(0)), load, is_exponential);
            let fifo = goodput(&mut Fifo::default(), load, is_exponential);
            writeln!(
                table,
                "{distribution:11} load {load:.1}: fair {fair:5.0}/s, fifo {fifo:5.0}/s"
            )
            .unwrap();
            row.push(fair);
        }
        assert!(row[3] >= 0.9 * row[1], "{distribution}: {row:?}");
        assert!(row[2] >= 0.9 * row[1], "{distribution}: {row:?}");
    }
    insta::assert_snapshot!(table);
}
