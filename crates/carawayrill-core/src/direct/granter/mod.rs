//! Decides which server holds which keys of one service, and keeps their grants renewed.
//!
//! A [`Granter`] turns time and results into [`Action`]s: a record to write, an order to a server.
//! No server hears of a fence before the record with it is stored. Load answered: servers that
//! come, leave, crash or fall silent, and keys whose demand moves.
//!
//! A span changes hands in this order: the record is stored, the former holder releases, the new
//! holder is granted. If the former holder can't be asked, the granter waits until its last grant
//! has run out on any clock.

mod plan;
mod row;

use std::collections::BTreeMap;
use std::time::Duration;

use self::row::Row;
use crate::counter;
use crate::direct::demand::KeyDemand;
use crate::direct::keys::Fence;
use crate::direct::keys::Handover;
use crate::direct::keys::KeyRange;
use crate::direct::rebalance::Capacities;
use crate::direct::servers::Servers;
use crate::direct::spans::Holder;
use crate::direct::spans::Span;
use crate::direct::spans::SpanRecord;
use crate::id::ServiceId;
use crate::id::Version;
use crate::time::Time;

counter! {
    /// Names one order of a granter.
    OrderId;
}

/// Times of the granter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// How long a grant holds while the lease can be renewed.
    pub hold: Duration,
    /// How long a grant holds while the lease can't be renewed; the longest that servers accept.
    pub long_hold: Duration,
    /// The time between two renewals of a grant.
    pub renewal: Duration,
    /// The least time between two renewals for each span that is held.
    pub renewal_per_span: Duration,
    /// The most orders that are sent in one tick.
    pub orders_per_tick: usize,
    /// The time limit of a grant's call.
    pub grant_timeout: Duration,
    /// The time limit of a release's call: running work ends first.
    pub release_timeout: Duration,
    /// How much slower a server's clock may run, as a share.
    pub clock_drift: f64,
    /// What is added to each computed end of a grant.
    pub margin: Duration,
    /// The shortest time between two plans.
    pub plan_interval: Duration,
    /// How long keys that have moved are not moved again by choice: each move costs their
    /// requests the time in which the former holder ends its work.
    pub move_cooldown: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            hold: Duration::from_millis(3_200),
            long_hold: Duration::from_secs(10),
            renewal: Duration::from_millis(900),
            renewal_per_span: Duration::from_millis(8),
            orders_per_tick: 12,
            grant_timeout: Duration::from_millis(800),
            release_timeout: Duration::from_millis(1_500),
            clock_drift: 0.02,
            margin: Duration::from_millis(100),
            plan_interval: Duration::from_millis(300),
            move_cooldown: Duration::from_millis(2_500),
        }
    }
}

/// How long grants hold and how often they are renewed, for the present number of spans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RenewalTiming {
    hold: Duration,
    renewal: Duration,
}

impl Config {
    /// Fits hold and renewal to the number of spans: one front renews them all.
    fn renewal_timing(&self, spans: usize) -> RenewalTiming {
        let spans = u32::try_from(spans).unwrap_or(u32::MAX);
        let renewal = self
            .renewal_per_span
            .saturating_mul(spans)
            .min(self.long_hold / 4)
            .max(self.renewal);
        let hold = self.hold + renewal.saturating_sub(self.renewal) * 2;
        RenewalTiming {
            hold: hold.min(self.long_hold),
            renewal,
        }
    }

    /// Returns how long a grant may run on the slowest server clock.
    #[must_use]
    pub fn max_grant_duration(&self, hold: Duration) -> Duration {
        hold.mul_f64(1.0 + self.clock_drift) + self.margin
    }
}

/// What an order tells a server to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Hold the keys for this long.
    Grant {
        /// How long, from arrival.
        hold: Duration,
        /// What the last holder handed over.
        handover: Option<Handover>,
    },
    /// Let the keys go once running work has ended.
    Release,
}

/// One order to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpanOrder {
    /// Its number.
    pub id: OrderId,
    /// The server.
    pub to: Holder,
    /// The keys.
    pub range: KeyRange,
    /// The fence.
    pub fence: Fence,
    /// What to do.
    pub command: Command,
    /// When to give up.
    pub timeout: Duration,
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The server did it. A release may come with a handover.
    Done(Option<Handover>),
    /// The server has seen a higher fence on one of the keys.
    Fenced,
    /// The order did not reach the server.
    NotSent,
    /// The order may have been carried out, or may still be.
    Unknown,
}

/// What the granter wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Store this record under the version that the granter last saw.
    Write {
        /// The version that must not have changed.
        expected: Version,
        /// The new record.
        record: SpanRecord,
    },
    /// Send this order.
    Order(SpanOrder),
}

/// What a tick depends on besides the granter's own state.
#[derive(Debug)]
pub struct Inputs<'a> {
    /// The time.
    pub now: Time,
    /// The servers as listed.
    pub servers: &'a Servers,
    /// The demand by key.
    pub demand: &'a KeyDemand,
    /// What each server can serve.
    pub capacities: &'a Capacities,
    /// Whether the lease can't be renewed at present.
    pub store_unreachable: bool,
    /// Whether the granter is about to stop: only what is under way is brought to its end.
    pub stopping: bool,
}

/// The granter of one service.
#[derive(Debug)]
pub struct Granter {
    service: ServiceId,
    cfg: Config,
    /// The record as stored.
    record: SpanRecord,
    version: Version,
    /// A record that is being written.
    writing: Option<SpanRecord>,
    /// Whether the inherited record was rewritten, so that no late write of another granter can
    /// succeed. Until then nothing is ordered.
    confirmed: bool,
    rows: BTreeMap<KeyRange, Row>,
    next_order: OrderId,
    next_plan: Time,
    was_store_unreachable: bool,
    /// Counts what fronts have to be told.
    change_count: u64,
}

impl Granter {
    /// Takes over the service's spans as stored; `record` is `None` if nothing is stored.
    ///
    /// Former orders of another granter may still be on their way, so that nothing is taken for
    /// settled.
    #[must_use]
    pub fn new(
        service: ServiceId,
        cfg: Config,
        stored: Option<(Version, SpanRecord)>,
        now: Time,
    ) -> Self {
        let mut granter = Self {
            service,
            cfg,
            record: SpanRecord::default(),
            version: Version(0),
            writing: None,
            confirmed: false,
            rows: BTreeMap::new(),
            next_order: OrderId(0),
            next_plan: now,
            was_store_unreachable: false,
            change_count: 0,
        };
        granter.inherit(stored, now);
        granter
    }

    /// Starts anew from what is stored: another granter's write came after this one began.
    pub fn inherit(&mut self, stored: Option<(Version, SpanRecord)>, now: Time) {
        let (version, record) = stored.unwrap_or_default();
        self.rows = record
            .spans
            .iter()
            .map(|span| (span.range, Row::inherited(span.clone(), now, &self.cfg)))
            .collect();
        self.record = record;
        self.version = version;
        self.writing = None;
        self.confirmed = false;
        self.change_count += 1;
    }

    /// Returns the service.
    #[must_use]
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Returns the version of the record as stored.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns whether the inherited record was rewritten, so that the spans can be relied on.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns a count that rises with each change that fronts have to be told.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the spans as fronts should use them: `former` is set while nobody may be asked.
    #[must_use]
    pub fn spans(&self) -> Vec<Span> {
        self.rows.values().map(Row::for_fronts).collect()
    }

    /// Returns what is to be done now.
    pub fn tick(&mut self, inputs: &Inputs<'_>) -> Vec<Action> {
        if inputs.store_unreachable && !self.was_store_unreachable {
            self.mark_all_due(inputs.now);
        }
        self.was_store_unreachable = inputs.store_unreachable;
        let mut steps = if self.confirmed {
            self.due_orders(inputs)
        } else {
            Vec::new()
        };
        if self.writing.is_none() && !inputs.store_unreachable && inputs.now >= self.next_plan {
            self.next_plan = inputs.now + self.cfg.plan_interval;
            steps.extend(self.plan(inputs));
        }
        steps
    }

    /// Makes all grants due: the next renewal is to hold for longer.
    fn mark_all_due(&mut self, now: Time) {
        for row in self.rows.values_mut() {
            row.due = row.due.min(now);
        }
    }

    fn due_orders(&mut self, inputs: &Inputs<'_>) -> Vec<Action> {
        let usual = self.cfg.renewal_timing(self.rows.len());
        let timing = if inputs.store_unreachable {
            RenewalTiming {
                hold: self.cfg.long_hold,
                ..usual
            }
        } else {
            usual
        };
        let mut steps = Vec::new();
        let mut due: Vec<&mut Row> = self
            .rows
            .values_mut()
            .filter(|row| row.in_flight.is_none() && row.due <= inputs.now)
            .collect();
        // What has waited longest goes first, and spans that callers wait for before all others.
        due.sort_by_key(|row| (!row.is_moving(), row.due));
        for row in due {
            if steps.len() >= self.cfg.orders_per_tick {
                break;
            }
            let before = row.is_moving();
            row.holder_changing = self
                .writing
                .as_ref()
                .is_some_and(|record| !record.keeps(&row.span));
            let order = row.order(inputs, &self.cfg, timing, self.next_order);
            if before != row.is_moving() {
                self.change_count += 1;
            }
            if let Some(order) = order {
                self.next_order = self.next_order.next();
                steps.push(Action::Order(order));
            }
        }
        steps
    }

    fn plan(&mut self, inputs: &Inputs<'_>) -> Option<Action> {
        let rewrite = !self.confirmed;
        let record = plan::next_record(&self.record, &self.rows, inputs, &self.cfg, rewrite)?;
        self.writing = Some(record.clone());
        Some(Action::Write {
            expected: self.version,
            record,
        })
    }

    /// Takes in that the record of the last [`Action::Write`] is stored.
    pub fn record_stored(&mut self, version: Version, now: Time) {
        let Some(record) = self.writing.take() else {
            return;
        };
        let old = std::mem::take(&mut self.rows);
        for span in &record.spans {
            let row = row::carry_over(&old, span, now, &self.cfg);
            self.rows.insert(span.range, row);
        }
        self.record = record;
        self.version = version;
        self.confirmed = true;
        self.change_count += 1;
    }

    /// Returns whether no span is changing hands and nothing is being written, so that another
    /// granter could go on without a wait.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let recorded = self.record.spans.iter().any(|span| span.former.is_some());
        self.writing.is_none() && !recorded && !self.rows.values().any(Row::is_moving)
    }

    /// Takes in the end of an order.
    pub fn order_ended(&mut self, id: OrderId, result: &OrderResult, now: Time) {
        for row in self.rows.values_mut() {
            if row.in_flight.as_ref().is_some_and(|order| order.id == id) {
                let before = row.is_moving();
                row.order_ended(result, now, &self.cfg);
                if before != row.is_moving() {
                    self.change_count += 1;
                }
            }
        }
    }
}
