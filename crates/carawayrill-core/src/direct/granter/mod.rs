//! Assigns the keys of one service to servers and renews their grants.
//!
//! A [`Granter`] is a state machine: each [`tick`](Granter::tick) returns [`Action`]s, which are
//! records to store and orders to send to servers, and their results are passed back to it. It
//! handles servers that start, drain, crash or stop answering, and demand that shifts between keys.
//! A fence is sent to a server only after the record that contains it was stored.
//!
//! A span moves in this order: the new record is stored, the former holder releases the keys, and
//! the new holder receives a grant. If the former holder does not answer, the granter waits until
//! its last grant has expired on the slowest clock.

mod plan;
mod row;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use self::row::Row;
use crate::counter;
use crate::direct::demand::KeyDemand;
use crate::direct::keys::Fence;
use crate::direct::keys::Handover;
use crate::direct::keys::KeyRange;
use crate::direct::knowledge::StoredVersion;
use crate::direct::rebalance::Capacities;
use crate::direct::servers::Servers;
use crate::direct::spans::Holder;
use crate::direct::spans::Span;
use crate::direct::spans::SpanRecord;
use crate::id::DataCentreId;
use crate::id::Era;
use crate::id::ServiceId;
use crate::id::Version;
use crate::time::Time;
use crate::time::floor_to_u64;

counter! {
    /// Identifies one order of a granter.
    OrderId;
}

/// The timing and limits of a granter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// The validity of a grant while the lease can be renewed.
    pub hold: Duration,
    /// The validity of a grant while the lease can't be renewed; the longest that servers accept.
    pub long_hold: Duration,
    /// The time between two renewals of a grant.
    pub renewal: Duration,
    /// The least interval between renewals, for each held span. It limits the total rate of orders.
    pub renewal_per_span: Duration,
    /// The maximum number of orders in one tick.
    pub orders_per_tick: usize,
    /// The timeout of a grant order.
    pub grant_timeout: Duration,
    /// The timeout of a release order. A server answers it after its running requests have ended.
    pub release_timeout: Duration,
    /// The fraction by which a server's clock may run slower than this process's clock.
    pub clock_drift: f64,
    /// The safety margin that is added to each computed end of a grant.
    pub margin: Duration,
    /// The minimum interval between two plans.
    pub plan_interval: Duration,
    /// The time after a move during which the same keys are not moved again for balance. During
    /// each move, requests for the keys wait until the former holder has ended its running ones.
    pub move_cooldown: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            hold: Duration::from_millis(3_200),
            long_hold: Duration::from_secs(10),
            renewal: Duration::from_millis(900),
            renewal_per_span: Duration::from_millis(8),
            orders_per_tick: 48,
            grant_timeout: Duration::from_millis(800),
            release_timeout: Duration::from_millis(1_500),
            clock_drift: 0.02,
            margin: Duration::from_millis(100),
            plan_interval: Duration::from_millis(300),
            move_cooldown: Duration::from_millis(2_500),
        }
    }
}

/// The validity and the renewal interval of grants, for the current number of spans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RenewalTiming {
    hold: Duration,
    renewal: Duration,
}

impl Config {
    /// Returns longer times for more spans, because a single front renews all of them.
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

    /// Returns the longest time for which a grant of `hold` may be valid on the slowest server
    /// clock.
    #[must_use]
    pub fn max_grant_duration(&self, hold: Duration) -> Duration {
        hold.mul_f64(1.0 + self.clock_drift) + self.margin
    }
}

/// The content of an order to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Hold the keys for a limited time.
    Grant {
        /// The validity of the grant, counted from its arrival.
        hold: Duration,
        /// The state that the former holder returned with its release.
        handover: Option<Handover>,
    },
    /// Stop serving the keys, and answer once the running requests have ended.
    Release,
}

/// An order to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpanOrder {
    /// The id of the order, which its result refers to.
    pub id: OrderId,
    /// The receiving server.
    pub to: Holder,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token.
    pub fence: Fence,
    /// What the server has to do.
    pub command: Command,
    /// The time after which the result counts as unknown.
    pub timeout: Duration,
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The server executed the order. The result of a release may contain a handover.
    Done(Option<Handover>),
    /// The server refused the order, because it has seen a higher fence for one of the keys.
    Fenced,
    /// The order did not reach the server.
    NotSent,
    /// The order may have been executed, or may still be executed later.
    Unknown,
}

/// An action that the caller has to carry out for the granter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Store the record with a conditional write.
    Write {
        /// The version that the stored record must have.
        expected: StoredVersion,
        /// The record to store.
        record: SpanRecord,
    },
    /// Send the order to its server.
    Order(SpanOrder),
}

/// What the store says of a service's spans.
#[derive(Debug, Clone, Default)]
pub struct StoredSpans {
    /// The version of the record, 0 if there is none, and the era in which it was read.
    pub version: StoredVersion,
    /// The record, if there is one.
    pub record: Option<SpanRecord>,
    /// Whether a missing record may have been lost when the store was restored from an older copy.
    pub may_be_lost: bool,
    /// The version of the lease under which the granter takes over, of the same era.
    pub lease: StoredVersion,
}

/// The inputs of a tick besides the granter's own state.
#[derive(Debug)]
pub struct Inputs<'a> {
    /// The current time.
    pub now: Time,
    /// The listed servers.
    pub servers: &'a Servers,
    /// The request rate by key.
    pub demand: &'a KeyDemand,
    /// The capacity of each server.
    pub capacities: &'a Capacities,
    /// The data centres whose servers may not hold keys of the service. Keys that they hold are
    /// moved to servers elsewhere, as far as there are any.
    pub excluded: &'a BTreeSet<DataCentreId>,
    /// Whether the granter's lease currently can't be renewed in the store.
    pub store_unreachable: bool,
    /// Whether the granter is stopping: it completes the moves in progress and plans no others.
    pub stopping: bool,
}

/// Assigns the spans of one service.
#[derive(Debug)]
pub struct Granter {
    service: ServiceId,
    cfg: Config,
    /// The stored record.
    record: SpanRecord,
    version: StoredVersion,
    /// A record that is being written.
    writing: Option<SpanRecord>,
    /// Whether this granter has stored a record, so that a delayed write of another granter fails
    /// with a version conflict. Until then no orders are sent.
    confirmed: bool,
    rows: BTreeMap<KeyRange, Row>,
    next_order: OrderId,
    next_plan: Time,
    was_store_unreachable: bool,
    /// Whether the record has to be written again, because the store was restored without it.
    rewrite: bool,
    /// The time until which servers that are not recorded may hold keys, because an unknown granter
    /// has granted them. Until then nothing is granted or written.
    withheld_until: Time,
    /// The number of changes of the spans as fronts have to use them.
    change_count: u64,
}

impl Granter {
    /// Creates a granter that takes over the stored spans of the service.
    ///
    /// Orders of an earlier granter may still be in flight, so all stored spans are treated as
    /// possibly granted by it.
    #[must_use]
    pub fn new(service: ServiceId, cfg: Config, stored: StoredSpans, now: Time) -> Self {
        let mut granter = Self {
            service,
            cfg,
            record: SpanRecord::default(),
            version: StoredVersion::default(),
            writing: None,
            confirmed: false,
            rows: BTreeMap::new(),
            next_order: OrderId(0),
            next_plan: now,
            was_store_unreachable: false,
            rewrite: false,
            withheld_until: now,
            change_count: 0,
        };
        granter.inherit(stored, now);
        granter
    }

    /// Discards all state and starts again from the stored record.
    ///
    /// A record of an earlier era is what an older copy of the store says. Its spans may have moved
    /// since, so nothing is granted until all unknown grants have expired, and then only under new
    /// fences.
    pub fn inherit(&mut self, stored: StoredSpans, now: Time) {
        let StoredSpans {
            version,
            record,
            may_be_lost,
            lease,
        } = stored;
        let is_outdated = record
            .as_ref()
            .map_or(may_be_lost, |record| record.era != version.era);
        self.record = record.unwrap_or_default();
        if is_outdated || self.record.era != version.era {
            self.record.enter_era(lease);
        }
        if is_outdated {
            self.withheld_until = now + self.cfg.max_grant_duration(self.cfg.long_hold);
            self.renew_fences();
        }
        let due = self.withheld_until;
        let rows = self.record.spans.iter().map(|span| {
            let row = if is_outdated {
                Row::withheld(span.clone(), due, &self.cfg)
            } else {
                Row::inherited(span.clone(), now, &self.cfg)
            };
            (span.range, row)
        });
        self.rows = rows.collect();
        self.version = version;
        self.writing = None;
        self.confirmed = false;
        self.rewrite = false;
        self.change_count += 1;
    }

    /// Continues after a write conflict, where `stored` was written by another granter.
    ///
    /// A late write of an earlier era may succeed by chance. It says nothing new, so the record is
    /// written again.
    pub fn adopt(&mut self, stored: StoredSpans, now: Time) {
        let is_outdated = stored
            .record
            .as_ref()
            .is_none_or(|record| record.era < self.version.era);
        if self.confirmed && is_outdated {
            self.enter_era(stored.version, stored.lease);
        } else {
            self.inherit(stored, now);
        }
    }

    /// Gives each span a new fence, and forgets moves that an unknown granter may have ended.
    fn renew_fences(&mut self) {
        let mut spans = std::mem::take(&mut self.record.spans);
        for span in &mut spans {
            span.fence = self.record.allocate_fence();
            span.handover = None;
            span.former = None;
        }
        self.record.spans = spans;
    }

    /// Continues after the store was restored from an older copy, while this granter held the lease
    /// all the time: its own state is the truth, and the record is written again. `found` is the
    /// version of the restored record, and `lease` that of the lease as renewed since.
    pub fn enter_era(&mut self, found: StoredVersion, lease: StoredVersion) {
        self.record.enter_era(lease);
        self.version = found;
        self.writing = None;
        self.rewrite = true;
    }

    /// Returns the era for which this granter writes its record.
    #[must_use]
    pub fn era(&self) -> Era {
        self.version.era
    }

    /// Returns the service whose spans this granter assigns.
    #[must_use]
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Returns the version of the stored record.
    #[must_use]
    pub fn version(&self) -> StoredVersion {
        self.version
    }

    /// Returns whether this granter has stored a record. Only then are its spans authoritative.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns a counter that increases with each change that has to be sent to the fronts.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the spans as fronts have to use them: while `former` is set, requests have to wait.
    #[must_use]
    pub fn spans(&self) -> Vec<Span> {
        self.rows.values().map(Row::for_fronts).collect()
    }

    /// Returns the actions to carry out now.
    pub fn tick(&mut self, inputs: &Inputs<'_>) -> Vec<Action> {
        if inputs.now < self.withheld_until {
            return Vec::new();
        }
        if inputs.store_unreachable && !self.was_store_unreachable {
            self.mark_all_due(inputs.now);
        }
        self.was_store_unreachable = inputs.store_unreachable;
        let mut actions = if self.confirmed {
            self.due_orders(inputs)
        } else {
            Vec::new()
        };
        if self.writing.is_none() && !inputs.store_unreachable && inputs.now >= self.next_plan {
            self.next_plan = inputs.now + self.cfg.plan_interval;
            actions.extend(self.plan(inputs));
        }
        actions
    }

    /// Makes all grants due for renewal now, with the longer validity.
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
        let mut actions = Vec::new();
        let mut due: Vec<&mut Row> = self
            .rows
            .values_mut()
            .filter(|row| row.in_flight.is_none() && row.due <= inputs.now)
            .collect();
        // Moving spans come first, because callers wait for them; then the longest overdue. Of those
        // that began to move together, the busiest comes first.
        due.sort_by_cached_key(|row| {
            let is_moving = row.is_moving();
            let rate = if is_moving {
                inputs.demand.range_rate(row.span.range)
            } else {
                0.0
            };
            let rate = Reverse(floor_to_u64(rate * 1_000.0));
            (!is_moving, row.due, rate)
        });
        for row in due {
            if actions.len() >= self.cfg.orders_per_tick {
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
                actions.push(Action::Order(order));
            }
        }
        actions
    }

    fn plan(&mut self, inputs: &Inputs<'_>) -> Option<Action> {
        let rewrite = !self.confirmed || self.rewrite;
        let record = plan::next_record(&self.record, &self.rows, inputs, &self.cfg, rewrite)?;
        self.writing = Some(record.clone());
        Some(Action::Write {
            expected: self.version,
            record,
        })
    }

    /// Records that the record of the last [`Action::Write`] was stored.
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
        self.version.version = version;
        self.rewrite = false;
        self.confirmed = true;
        self.change_count += 1;
    }

    /// Returns whether no span is moving and no record is being written, so that another granter
    /// can take over without a wait.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let recorded = self.record.spans.iter().any(|span| span.former.is_some());
        self.writing.is_none() && !recorded && !self.rows.values().any(Row::is_moving)
    }

    /// Records the result of an order.
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
