//! Fronts and a granter that keep up with a store that changes once a second, in virtual time.

use std::time::Duration;

use carawayrill_core::direct::knowledge::Freshness;
use carawayrill_core::direct::knowledge::Limits;
use carawayrill_core::direct::knowledge::NextRead;
use carawayrill_core::direct::knowledge::confirmed_time;
use carawayrill_core::direct::knowledge::spread_delay;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The interval between two steps.
const STEP: Duration = Duration::from_millis(10);
/// The time of a call to the store.
const CALL_TIME: Duration = Duration::from_millis(20);
/// The interval between two updates of the granter for each front.
const UPDATE_INTERVAL_PER_FRONT: Duration = Duration::from_micros(700);
/// The least interval between two updates of the granter.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(300);
/// The interval between two reports of a front.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The longest delay of a front after a change before its next watch.
const BATCH_DELAY: Duration = Duration::from_millis(900);
/// The interval between two changes in the store.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// When the fault begins and ends.
const FAULT_AT: Time = Time(8_000);
const FAULT_END: Time = Time(12_000);
/// The timeout of a call to the store, added to its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The delay before the next call after one that timed out.
const BACKOFF: Duration = Duration::from_millis(600);
/// The time after a fault of the store until its bounds hold again.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// A fault of the granter or of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The granter ends and the fronts notice it at once. Another one starts later.
    Lost,
    /// The granter sends nothing.
    Silent,
    /// The granter does nothing, and then sends what it knew before.
    Frozen,
    /// The granter sends updates and can't reach the store.
    CutFromStore,
    /// The granter's updates take 600 ms.
    Slow,
    /// The store takes calls without answering, also those that were waiting.
    SilentStore,
}

/// What the fronts had and what it cost.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The greatest true age of a front's knowledge: the time for which it has lacked a change.
    pub max_age: Duration,
    /// The calls to the store.
    pub calls: usize,
    pub max_calls_per_100_ms: usize,
}

/// A watch in progress.
#[derive(Debug, Clone, Copy)]
struct Call {
    sent: Time,
    /// When it is answered without a change.
    until: Time,
    /// Whether the store never answers it.
    lost: bool,
}

impl Call {
    fn new(sent: Time, wait: Duration) -> Self {
        Self {
            sent,
            until: sent + wait,
            lost: false,
        }
    }
}

#[derive(Debug, Default)]
struct Front {
    freshness: Freshness,
    /// The time up to which this front knows all changes.
    known: Time,
    call: Option<Call>,
    /// Whether the last call timed out.
    has_failed: bool,
    /// When the front decides again.
    next: Time,
    /// When the granter received the last report, and when this front sent it.
    echo: Time,
    next_report: Time,
}

#[derive(Debug)]
struct Update {
    arrives: Time,
    to: usize,
    known: Time,
    confirmed: Time,
}

pub struct Fleet {
    now: Time,
    fault: Fault,
    fronts: Vec<Front>,
    granter: Front,
    updates: Vec<Update>,
    next_update: Time,
    limits: Limits,
    rng: ChaCha8Rng,
    outcome: Outcome,
    calls_at: Vec<Time>,
}

impl Fleet {
    /// Creates fronts that use a server for `drain` after it began to drain.
    pub fn new(fronts: usize, fault: Fault, drain: Duration) -> Self {
        let mut fleet = Self {
            now: Time(0),
            fault,
            fronts: (0..fronts).map(|_| Front::default()).collect(),
            granter: Front::default(),
            updates: Vec::new(),
            next_update: Time(0),
            limits: Limits::for_drain(drain),
            rng: ChaCha8Rng::seed_from_u64(7),
            outcome: Outcome::default(),
            calls_at: Vec::new(),
        };
        // All fronts have read the store when they start.
        fleet.granter.freshness.confirm(Time(0));
        for front in &mut fleet.fronts {
            front.freshness.confirm(Time(0));
        }
        fleet
    }

    pub fn run(mut self, length: Duration) -> Outcome {
        let end = Time(0) + length;
        while self.now < end {
            self.now = self.now + STEP;
            self.step_granter();
            self.deliver();
            for at in 0..self.fronts.len() {
                self.step_front(at);
            }
            self.record_age();
        }
        let window = Duration::from_millis(100);
        let calls = &self.calls_at;
        let burst = |at: Time| {
            calls
                .iter()
                .filter(|other| (at..at + window).contains(*other))
                .count()
        };
        self.outcome.max_calls_per_100_ms = calls.iter().map(|at| burst(*at)).max().unwrap_or(0);
        self.outcome.calls = calls.len();
        self.outcome
    }

    fn is_faulty(&self) -> bool {
        (FAULT_AT..FAULT_END).contains(&self.now)
    }

    fn last_change(&self) -> Time {
        let period = u64::try_from(CHANGE_INTERVAL.as_millis()).expect("fits");
        Time(self.now.0 / period * period)
    }

    fn step_granter(&mut self) {
        let stopped = matches!(self.fault, Fault::Lost | Fault::Frozen) && self.is_faulty();
        if stopped {
            return;
        }
        let no_store = self.fault == Fault::CutFromStore && self.is_faulty();
        let next = self
            .granter
            .freshness
            .next_read(self.now, true, &self.limits, 0.0);
        if let NextRead::Watch(wait) = next
            && self.granter.call.is_none()
            && !no_store
        {
            self.calls_at.push(self.now);
            let wait = if self.granter.has_failed {
                Duration::ZERO
            } else {
                wait
            };
            self.granter.call = Some(Call::new(self.now, wait));
        }
        self.lose_calls();
        if no_store {
            self.granter.call = None;
        }
        let changed = self.last_change();
        let _has_changes = finish_call(&mut self.granter, self.now, changed);
        if self.now >= self.next_update {
            self.send_updates();
        }
    }

    /// Loses all calls in progress while the store is silent.
    fn lose_calls(&mut self) {
        if self.fault != Fault::SilentStore || !self.is_faulty() {
            return;
        }
        let fronts = self.fronts.iter_mut().chain([&mut self.granter]);
        for call in fronts.filter_map(|front| front.call.as_mut()) {
            call.lost = true;
        }
    }

    fn send_updates(&mut self) {
        let fronts = u32::try_from(self.fronts.len()).expect("fits");
        let interval = UPDATE_INTERVAL_PER_FRONT.saturating_mul(fronts);
        self.next_update = self.now + interval.max(MIN_UPDATE_INTERVAL);
        if self.fault == Fault::Silent && self.is_faulty() {
            return;
        }
        let slow = self.fault == Fault::Slow && self.is_faulty();
        let delay = Duration::from_millis(if slow { 600 } else { 10 });
        let age = self.granter.freshness.age(self.now).unwrap_or_default();
        for (to, front) in self.fronts.iter().enumerate() {
            // The granter sends to one front after the other.
            let position = u32::try_from(to).expect("fits");
            self.updates.push(Update {
                arrives: self.now + delay + Duration::from_micros(100) * position,
                to,
                known: self.granter.known,
                confirmed: front.echo - age,
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.updates)
            .into_iter()
            .partition(|update| update.arrives <= now);
        self.updates = rest;
        for update in due {
            let front = &mut self.fronts[update.to];
            front.known = front.known.max(update.known);
            front.freshness.confirm(update.confirmed);
        }
    }

    fn step_front(&mut self, at: usize) {
        let now = self.now;
        let granter_reads =
            !(matches!(self.fault, Fault::Lost | Fault::Frozen) && self.is_faulty());
        let spread = self.rng.random_range(0.0..=1.0);
        let changed = self.last_change();
        let front = &mut self.fronts[at];
        if now >= front.next_report && granter_reads {
            front.next_report = now + REPORT_INTERVAL;
            front.echo = now;
        }
        if finish_call(front, now, changed) {
            front.next = now + spread_delay(BATCH_DELAY, spread);
        }
        if front.call.is_some() || now < front.next {
            return;
        }
        match front.freshness.next_read(now, false, &self.limits, spread) {
            NextRead::NotBefore(delay) => front.next = now + delay,
            NextRead::Watch(wait) => {
                let wait = if front.has_failed {
                    Duration::ZERO
                } else {
                    wait
                };
                front.call = Some(Call::new(now, wait));
                self.calls_at.push(now);
            }
        }
    }

    fn record_age(&mut self) {
        let unstable = FAULT_AT..FAULT_END + STABLE_WINDOW;
        if self.fault == Fault::SilentStore && unstable.contains(&self.now) {
            return;
        }
        let changed = self.last_change();
        for front in &self.fronts {
            if front.known < changed {
                let lacked = self.now.since(front.known + CHANGE_INTERVAL);
                self.outcome.max_age = self.outcome.max_age.max(lacked);
            }
        }
    }
}

/// Ends the watch of a front if something has changed or its wait is over. Returns whether it ended
/// with changes.
fn finish_call(front: &mut Front, now: Time, changed: Time) -> bool {
    let Some(Call { sent, until, lost }) = front.call else {
        return false;
    };
    if lost {
        if now >= until + CALL_TIMEOUT {
            front.call = None;
            front.has_failed = true;
            front.next = now + BACKOFF;
        }
        return false;
    }
    let arrived = sent + CALL_TIME;
    let has_changes = changed > front.known && now >= arrived;
    if !has_changes && now < until {
        return false;
    }
    front.call = None;
    front.has_failed = false;
    front.known = front.known.max(changed);
    let confirmed = confirmed_time(sent, now, until.since(sent), has_changes);
    front.freshness.confirm(confirmed);
    has_changes
}
