//! What a leading controller wants next, decided from all tables.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use carawayrill_core::assignment::Assignment;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ShardId;
use carawayrill_core::id::ShardPart;
use carawayrill_core::id::Version;
use carawayrill_core::ownership::evidence::RouterIncarnation;
use carawayrill_core::ownership::takeover::Change;
use carawayrill_core::placement::BalanceConfig;
use carawayrill_core::placement::Balancer;
use carawayrill_core::placement::Degraded;
use carawayrill_core::placement::Demand;
use carawayrill_core::placement::EndedRuns;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::Move;
use carawayrill_core::placement::Placed;
use carawayrill_core::placement::Step;
use carawayrill_core::placement::bound;
use carawayrill_core::placement::initial;
use carawayrill_core::placement::price;
use carawayrill_core::placement::replace;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;

use crate::blocks::BlockWrite;
use crate::blocks::Merging;
use crate::blocks::all_ranges;
use crate::blocks::block_id;
use crate::blocks::first_writes;
use crate::blocks::merge_write;
use crate::blocks::split_write;
use crate::fleet::Judge;
use crate::hold::HoldTable;
use crate::round::is_settled;
use crate::view::MemberSeen;
use crate::view::View;

/// Silences after which the entry of a lost router is taken out of the store.
const FORGET_SILENCES: u32 = 10;

/// What is to be done now.
#[derive(Debug, Default)]
pub struct Plan {
    /// Blocks to write: first placements, splits and merges. None of them moves a key.
    pub writes: Vec<BlockWrite>,
    /// Changes of assignments, to be carried out by intent and evidence.
    pub changes: Vec<Change>,
    /// Moves behind these changes, for the log.
    pub moves: Vec<Move>,
    /// What falls short of rule 1 in first placements.
    pub degraded: Vec<Degraded>,
    /// Shards that no server can take now.
    pub open: Vec<ShardId>,
    /// Entries of lost routers to take out of the store.
    pub forget: Vec<(RouterId, Version)>,
}

/// A change that was wanted and is not in force yet.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Wanted {
    /// The token of the assignment that it replaces.
    from: Token,
    /// The placement wanted.
    to: Placed,
    /// Whether it counts against the bound on moves under way.
    planned: bool,
}

/// Decides, and remembers what it wanted.
#[derive(Debug)]
pub struct Planner {
    config: BalanceConfig,
    balancer: Balancer,
    hold: HoldTable,
    wanted: BTreeMap<ShardId, Wanted>,
    /// The fleet and the state of the store that the last plan was made for.
    last: Option<(Fleet, u64)>,
    /// When that was.
    planned: Time,
}

impl Planner {
    /// Makes the planner of a controller that begins to lead at `now`.
    #[must_use]
    pub fn new(config: BalanceConfig) -> Self {
        Self {
            balancer: Balancer::new(config.clone()),
            config,
            hold: HoldTable::default(),
            wanted: BTreeMap::new(),
            last: None,
            planned: Time(0),
        }
    }

    /// Takes in that a controller begins to lead: keys that were split out by the one before it
    /// may have been split out just now.
    pub fn on_leading(&mut self, now: Time, view: &View) {
        let hot = view
            .rows()
            .filter(|row| matches!(row.shard.part, ShardPart::Hot(_)));
        for row in hot {
            self.balancer.note_moved(now, &row.shard);
        }
    }

    /// Returns the number of changes that are not in force yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.wanted.len()
    }

    /// Decides what to do now. `demand` is that of a window that has just ended, if one has.
    pub fn plan(&mut self, judge: &Judge<'_>, demand: Option<&[Demand]>, wall: WallTime) -> Plan {
        let fleet = judge.fleet();
        self.hold.on_fleet(judge.now, &fleet);
        let state = (fleet, judge.view.changes);
        let is_same = self.last.as_ref() == Some(&state);
        if is_same
            && demand.is_none()
            && !self.hold.ends_between(self.planned, judge.now)
            && !is_waiting(judge)
        {
            return Plan {
                forget: forgettable(judge),
                ..Plan::default()
            };
        }
        self.planned = judge.now;
        let fleet = &self.last.insert(state).0.clone();
        self.drop_done(judge.view);
        let current: Vec<Placed> = judge.view.rows().map(Placed::from).collect();
        let mut plan = place_new(judge, fleet, &current, wall);
        let moves = self.repairs(judge, fleet, &current, demand.unwrap_or_default());
        self.want(judge, &mut plan, moves);
        if let Some(demand) = demand {
            self.balance(judge, fleet, &current, demand, &mut plan, wall);
        }
        plan.forget = forgettable(judge);
        plan
    }

    /// Drops what was wanted and stands in the store, or was overtaken by another change.
    fn drop_done(&mut self, view: &View) {
        let tokens: BTreeMap<&ShardId, Token> =
            view.rows().map(|row| (&row.shard, row.token)).collect();
        self.wanted
            .retain(|shard, wanted| tokens.get(shard) == Some(&wanted.from));
    }

    /// Lists the moves off lost and leaving servers and routers that are due now.
    fn repairs(
        &self,
        judge: &Judge<'_>,
        fleet: &Fleet,
        current: &[Placed],
        demand: &[Demand],
    ) -> Vec<Move> {
        let mut moves = replace(fleet, current, &ended_runs(judge.view));
        let fenced = |step: &Move| {
            let service = judge.deployment.service(&step.from.shard.service);
            service.is_some_and(|service| service.fencing)
        };
        moves.retain(|step| {
            let wanted = self.wanted.get(&step.from.shard);
            wanted.is_none_or(|wanted| wanted.to != step.to)
                && !self.hold.holds(judge.now, fleet, step, fenced(step))
        });
        price(&mut moves, &self.config, demand);
        bound(moves, self.room())
    }

    /// Returns how many planned moves may begin.
    fn room(&self) -> usize {
        let planned = self.wanted.values().filter(|wanted| wanted.planned);
        self.config.max_moves.saturating_sub(planned.count())
    }

    /// Balances load and splits or merges hot keys.
    fn balance(
        &mut self,
        judge: &Judge<'_>,
        fleet: &Fleet,
        current: &[Placed],
        demand: &[Demand],
        plan: &mut Plan,
        wall: WallTime,
    ) {
        let pending: BTreeSet<ShardId> = self.wanted.keys().cloned().collect();
        let steps = self
            .balancer
            .round(judge.now, fleet, current, demand, &pending);
        let mut moves = Vec::new();
        for step in steps {
            match step {
                Step::Move(step) => moves.push(step),
                Step::Split { to, .. } => {
                    let write = split_write(judge.deployment, judge.view, &to, wall);
                    plan.writes.extend(write);
                }
                Step::Merge { shard, into } => {
                    match merge_write(judge.deployment, judge.view, &shard, &into) {
                        Merging::Write(write) => plan.writes.push(write),
                        Merging::Raise(step) => moves.push(step),
                        Merging::Gone => {}
                    }
                }
            }
        }
        self.want(judge, plan, moves);
    }

    /// Turns moves into changes and remembers them.
    fn want(&mut self, judge: &Judge<'_>, plan: &mut Plan, moves: Vec<Move>) {
        for step in moves {
            let Some(change) = change(judge, &step) else {
                continue;
            };
            if let Some(from) = change.from {
                let planned = !step.urgent && step.changes_owner();
                let to = step.to.clone();
                let wanted = Wanted { from, to, planned };
                self.wanted.insert(change.shard.clone(), wanted);
            }
            plan.changes.push(change);
            plan.moves.push(step);
        }
    }
}

/// Tells whether shards wait for routers to show up.
fn is_waiting(judge: &Judge<'_>) -> bool {
    let services = judge.deployment.services.iter();
    let ranges: u64 = services.map(|service| u64::from(service.shards)).sum();
    ranges > judge.view.rows().count() as u64
}

/// Places all ranges that have no owner yet.
fn place_new(judge: &Judge<'_>, fleet: &Fleet, current: &[Placed], wall: WallTime) -> Plan {
    if !is_waiting(judge) || !is_settled(judge, fleet) {
        return Plan::default();
    }
    let placed = initial(fleet, &all_ranges(judge.deployment), current);
    Plan {
        writes: first_writes(judge.deployment, judge.view, placed.placed, wall),
        degraded: placed.degraded,
        open: placed.open,
        ..Plan::default()
    }
}

/// Finds the assignments whose routers run anew since.
fn ended_runs(view: &View) -> EndedRuns {
    let mut ended = EndedRuns::default();
    for row in view.rows() {
        if has_ended(view, &row.home, row.home_run) {
            ended.homes.insert(row.shard.clone());
        }
        let standby = row.standby_home.as_ref();
        if standby.is_some_and(|id| has_ended(view, id, row.standby_home_run)) {
            ended.standby_homes.insert(row.shard.clone());
        }
    }
    ended
}

/// Tells whether a router runs, but not the run that was appointed.
fn has_ended(view: &View, router: &RouterId, run: carawayrill_core::id::Incarnation) -> bool {
    let member = view.members.get(router);
    member.is_some_and(|seen| seen.member.incarnation != run)
}

/// Makes the change of a move; `None` if its shard or home is not known any more.
fn change(judge: &Judge<'_>, step: &Move) -> Option<Change> {
    let row = row_of(judge.view, judge, &step.from.shard)?;
    let run = |router: &RouterId| {
        let seen = judge.view.members.get(router)?;
        Some(RouterIncarnation {
            router: router.clone(),
            incarnation: seen.member.incarnation,
        })
    };
    Some(Change {
        block: block_id(judge.deployment, &step.from.shard)?,
        shard: step.from.shard.clone(),
        from: Some(row.token),
        owner: step.to.owner.clone(),
        standby: step.to.standby.clone(),
        home: run(&step.to.home)?,
        standby_home: step.to.standby_home.as_ref().and_then(run),
        reason: step.reason,
    })
}

/// Returns the assignment of a shard.
fn row_of<'a>(view: &'a View, judge: &Judge<'_>, shard: &ShardId) -> Option<&'a Assignment> {
    let block = block_id(judge.deployment, shard)?;
    view.blocks.get(&block)?.value.row(shard)
}

/// Lists the entries of routers that were lost long ago and are nobody's home.
fn forgettable(judge: &Judge<'_>) -> Vec<(RouterId, Version)> {
    let wait = judge.deployment.timing.router_silence.0 * FORGET_SILENCES;
    let members = judge.view.members.values();
    let gone: Vec<&MemberSeen> = members
        .filter(|seen| judge.silence(seen).0 >= wait)
        .collect();
    if gone.is_empty() {
        return Vec::new();
    }
    let rows = judge.view.rows();
    let used: BTreeSet<&RouterId> = rows
        .flat_map(|row| [Some(&row.home), row.standby_home.as_ref()])
        .flatten()
        .collect();
    gone.into_iter()
        .map(|seen| (&seen.member.router, seen.version))
        .filter(|(router, _)| !used.contains(router))
        .map(|(router, version)| (router.clone(), version))
        .collect()
}
