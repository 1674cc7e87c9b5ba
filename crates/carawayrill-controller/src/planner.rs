//! Planning: which changes the leading controller makes next, computed from all tables.

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
use carawayrill_core::placement::Demand;
use carawayrill_core::placement::EndedIncarnations;
use carawayrill_core::placement::Fleet;
use carawayrill_core::placement::Move;
use carawayrill_core::placement::Placement;
use carawayrill_core::placement::ShardShortfall;
use carawayrill_core::placement::Step;
use carawayrill_core::placement::limit_moves;
use carawayrill_core::placement::plan_initial;
use carawayrill_core::placement::plan_replacements;
use carawayrill_core::placement::set_cost_benefit;
use carawayrill_core::time::Time;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;

use crate::blocks::BlockWrite;
use crate::blocks::MergeStep;
use crate::blocks::all_ranges;
use crate::blocks::block_id;
use crate::blocks::first_writes;
use crate::blocks::merge_step;
use crate::blocks::split_write;
use crate::first_placement::is_startup_complete;
use crate::fleet::PlanningInput;
use crate::hold::HoldTable;
use crate::view::MemberEntry;
use crate::view::StoreView;

/// Silence after which the member entry of a lost router is deleted, in multiples of the silence
/// that makes it lost.
const MEMBER_EXPIRY_SILENCES: u32 = 10;

/// The writes and changes to make now.
#[derive(Debug, Default)]
pub struct Plan {
    /// Blocks to write: first placements, splits and merges. None of them changes the owner of a
    /// key that already has one.
    pub writes: Vec<BlockWrite>,
    /// Changes of assignments, to be carried out by the takeover table.
    pub changes: Vec<Change>,
    /// The moves from which these changes were made, for the log.
    pub moves: Vec<Move>,
    /// Shortfalls of first placements, which could not meet rule 1 of ownership or a preference.
    pub degraded: Vec<ShardShortfall>,
    /// Shards that currently can't be placed on any server.
    pub unplaced: Vec<ShardId>,
    /// Member entries of lost routers to delete, with their versions.
    pub expired_members: Vec<(RouterId, Version)>,
}

/// A change that was requested and is not in force yet.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RequestedChange {
    /// The token of the assignment that it replaces.
    from: Token,
    /// The requested placement.
    to: Placement,
    /// Whether it counts against the limit of planned moves in progress.
    planned: bool,
}

/// Makes plans and keeps track of the requested changes.
#[derive(Debug)]
pub struct Planner {
    config: BalanceConfig,
    balancer: Balancer,
    hold: HoldTable,
    requested: BTreeMap<ShardId, RequestedChange>,
    /// The fleet and the change count of the view for which the last plan was made.
    last_input: Option<(Fleet, u64)>,
    /// When the last plan was made.
    planned_at: Time,
}

impl Planner {
    /// Creates the planner of a new leader.
    #[must_use]
    pub fn new(config: BalanceConfig) -> Self {
        Self {
            balancer: Balancer::new(config.clone()),
            config,
            hold: HoldTable::default(),
            requested: BTreeMap::new(),
            last_input: None,
            planned_at: Time(0),
        }
    }

    /// Marks all hot keys as just moved when this controller becomes the leader, since the previous
    /// leader may have split them out a moment ago.
    pub fn on_leading(&mut self, now: Time, view: &StoreView) {
        let hot = view
            .rows()
            .filter(|row| matches!(row.shard.part, ShardPart::Hot(_)));
        for row in hot {
            self.balancer.record_move(now, &row.shard);
        }
    }

    /// Returns the number of changes that are not in force yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.requested.len()
    }

    /// Makes a plan. `demand` is that of a window that has just ended, if any.
    pub fn plan(
        &mut self,
        input: &PlanningInput<'_>,
        demand: Option<&[Demand]>,
        wall: WallTime,
    ) -> Plan {
        let fleet = input.fleet();
        self.hold.on_fleet(input.now, &fleet);
        let state = (fleet, input.view.change_count);
        let is_same = self.last_input.as_ref() == Some(&state);
        if is_same
            && demand.is_none()
            && !self.hold.ends_between(self.planned_at, input.now)
            && !has_unplaced_ranges(input)
        {
            return Plan {
                expired_members: find_expired_members(input),
                ..Plan::default()
            };
        }
        self.planned_at = input.now;
        let fleet = &self.last_input.insert(state).0.clone();
        self.drop_completed(input.view);
        let current: Vec<Placement> = input.view.rows().map(Placement::from).collect();
        let mut plan = place_unassigned(input, fleet, &current, wall);
        let moves = self.repairs(input, fleet, &current, demand.unwrap_or_default());
        self.request_changes(input, &mut plan, moves);
        if let Some(demand) = demand {
            self.balance(input, fleet, &current, demand, &mut plan, wall);
        }
        plan.expired_members = find_expired_members(input);
        plan
    }

    /// Drops requested changes that are stored now or were superseded by another change.
    fn drop_completed(&mut self, view: &StoreView) {
        let tokens: BTreeMap<&ShardId, Token> =
            view.rows().map(|row| (&row.shard, row.token)).collect();
        self.requested
            .retain(|shard, requested| tokens.get(shard) == Some(&requested.from));
    }

    /// Returns the moves that are now due off lost and draining servers and routers.
    fn repairs(
        &self,
        input: &PlanningInput<'_>,
        fleet: &Fleet,
        current: &[Placement],
        demand: &[Demand],
    ) -> Vec<Move> {
        let mut moves = plan_replacements(fleet, current, &ended_incarnations(input.view));
        let fenced = |step: &Move| {
            let service = input.deployment.service(&step.from.shard.service);
            service.is_some_and(|service| service.fencing)
        };
        moves.retain(|step| {
            let requested = self.requested.get(&step.from.shard);
            requested.is_none_or(|requested| requested.to != step.to)
                && !self.hold.defers(input.now, fleet, step, fenced(step))
        });
        set_cost_benefit(&mut moves, &self.config, demand);
        limit_moves(moves, self.free_move_slots())
    }

    /// Returns how many more planned moves may start.
    fn free_move_slots(&self) -> usize {
        let planned = self
            .requested
            .values()
            .filter(|requested| requested.planned);
        self.config.max_moves.saturating_sub(planned.count())
    }

    /// Balances load and splits or merges hot keys.
    fn balance(
        &mut self,
        input: &PlanningInput<'_>,
        fleet: &Fleet,
        current: &[Placement],
        demand: &[Demand],
        plan: &mut Plan,
        wall: WallTime,
    ) {
        let pending: BTreeSet<ShardId> = self.requested.keys().cloned().collect();
        let steps = self
            .balancer
            .round(input.now, fleet, current, demand, &pending);
        let mut moves = Vec::new();
        for step in steps {
            match step {
                Step::Move(step) => moves.push(step),
                Step::Split { to, .. } => {
                    let write = split_write(input.deployment, input.view, &to, wall);
                    plan.writes.extend(write);
                }
                Step::Merge { shard, into } => {
                    match merge_step(input.deployment, input.view, &shard, &into) {
                        MergeStep::Write(write) => plan.writes.push(write),
                        MergeStep::RaiseTerm(step) => moves.push(step),
                        MergeStep::NotFound => {}
                    }
                }
            }
        }
        self.request_changes(input, plan, moves);
    }

    /// Converts moves into changes, records them as requested and adds them to the plan.
    fn request_changes(&mut self, input: &PlanningInput<'_>, plan: &mut Plan, moves: Vec<Move>) {
        for step in moves {
            let Some(change) = to_change(input, &step) else {
                continue;
            };
            if let Some(from) = change.from {
                let planned = !step.urgent && step.changes_owner();
                let to = step.to.clone();
                let requested = RequestedChange { from, to, planned };
                self.requested.insert(change.shard.clone(), requested);
            }
            plan.changes.push(change);
            plan.moves.push(step);
        }
    }
}

/// Returns whether hash ranges are left without an assignment, because too few servers or routers
/// have appeared.
fn has_unplaced_ranges(input: &PlanningInput<'_>) -> bool {
    let services = input.deployment.services.iter();
    let ranges: u64 = services.map(|service| u64::from(service.shards)).sum();
    ranges > input.view.rows().count() as u64
}

/// Places all ranges that have no owner yet.
fn place_unassigned(
    input: &PlanningInput<'_>,
    fleet: &Fleet,
    current: &[Placement],
    wall: WallTime,
) -> Plan {
    if !has_unplaced_ranges(input) || !is_startup_complete(input, fleet) {
        return Plan::default();
    }
    let placed = plan_initial(fleet, &all_ranges(input.deployment), current);
    Plan {
        writes: first_writes(input.deployment, input.view, placed.placed, wall),
        degraded: placed.degraded,
        unplaced: placed.open,
        ..Plan::default()
    }
}

/// Returns the shards whose home or standby home has restarted since it was appointed.
fn ended_incarnations(view: &StoreView) -> EndedIncarnations {
    let mut ended = EndedIncarnations::default();
    for row in view.rows() {
        if has_restarted(view, &row.home, row.home_run) {
            ended.homes.insert(row.shard.clone());
        }
        let standby = row.standby_home.as_ref();
        if standby.is_some_and(|id| has_restarted(view, id, row.standby_home_run)) {
            ended.standby_homes.insert(row.shard.clone());
        }
    }
    ended
}

/// Returns whether a router runs with another incarnation than the appointed one.
fn has_restarted(
    view: &StoreView,
    router: &RouterId,
    incarnation: carawayrill_core::id::Incarnation,
) -> bool {
    let member = view.members.get(router);
    member.is_some_and(|entry| entry.member.incarnation != incarnation)
}

/// Converts a move into a change. Returns `None` if its shard or home is no longer known.
fn to_change(input: &PlanningInput<'_>, step: &Move) -> Option<Change> {
    let row = assignment_of(input.view, input, &step.from.shard)?;
    let current_incarnation = |router: &RouterId| {
        let entry = input.view.members.get(router)?;
        Some(RouterIncarnation {
            router: router.clone(),
            incarnation: entry.member.incarnation,
        })
    };
    Some(Change {
        block: block_id(input.deployment, &step.from.shard)?,
        shard: step.from.shard.clone(),
        from: Some(row.token),
        owner: step.to.owner.clone(),
        standby: step.to.standby.clone(),
        home: current_incarnation(&step.to.home)?,
        standby_home: step.to.standby_home.as_ref().and_then(current_incarnation),
        reason: step.reason,
    })
}

fn assignment_of<'a>(
    view: &'a StoreView,
    input: &PlanningInput<'_>,
    shard: &ShardId,
) -> Option<&'a Assignment> {
    let block = block_id(input.deployment, shard)?;
    view.blocks.get(&block)?.value.row(shard)
}

/// Returns the member entries of routers that were lost long ago and that no assignment names as
/// home or standby home.
fn find_expired_members(input: &PlanningInput<'_>) -> Vec<(RouterId, Version)> {
    let wait = input.deployment.timing.router_silence.0 * MEMBER_EXPIRY_SILENCES;
    let members = input.view.members.values();
    let expired: Vec<&MemberEntry> = members
        .filter(|entry| input.silence(entry).0 >= wait)
        .collect();
    if expired.is_empty() {
        return Vec::new();
    }
    let rows = input.view.rows();
    let used: BTreeSet<&RouterId> = rows
        .flat_map(|row| [Some(&row.home), row.standby_home.as_ref()])
        .flatten()
        .collect();
    expired
        .into_iter()
        .map(|entry| (&entry.member.router, entry.version))
        .filter(|(router, _)| !used.contains(router))
        .map(|(router, version)| (router.clone(), version))
        .collect()
}
