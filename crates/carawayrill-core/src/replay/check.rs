//! Checks the statements of a trace during its replay.

use std::collections::BTreeMap;

use super::StatementResult;
use super::statement::Statement;
use super::table::ReplayedTable;
use super::trace::Trace;
use crate::Error;
use crate::event::Event;
use crate::event::EventKind;
use crate::hlc::Stamp;
use crate::id::NodeId;
use crate::id::ServerId;
use crate::id::ShardId;
use crate::ownership::home::Permit;
use crate::token::Token;

/// The replayed tables of all processes, at most one of each kind per process.
#[derive(Debug, Default)]
struct ReplayState {
    tables: BTreeMap<(NodeId, String), ReplayedTable>,
    /// Decisions that the replayed tables have reported and the trace has not contained yet.
    reported: BTreeMap<NodeId, Vec<EventKind>>,
}

/// Replays a trace and checks its statements.
pub(super) fn check(trace: &Trace) -> Result<Vec<StatementResult>, Error> {
    let mut state = ReplayState::default();
    let mut checks: Vec<StatementCheck> =
        trace.statements.iter().map(StatementCheck::new).collect();
    for (index, (line, event)) in trace.events.iter().enumerate() {
        state.replay(*line, event)?;
        let unexpected = state.match_decision(event);
        let number = index + 1;
        for check in &mut checks {
            check.update(&state, number, event, unexpected.as_ref());
        }
    }
    let has_servers = state.tables.values().any(ReplayedTable::is_server);
    checks
        .into_iter()
        .map(|check| check.finish(&state, trace.events.len(), has_servers))
        .collect()
}

impl ReplayState {
    fn replay(&mut self, line: usize, event: &Event) -> Result<(), Error> {
        let EventKind::Input { table, input } = &event.kind else {
            return Ok(());
        };
        let key = (event.node.clone(), table.to_string());
        if input["input"] == "start" {
            let replayed = ReplayedTable::start(line, table, input, event.at)?;
            self.tables.insert(key, replayed);
            return Ok(());
        }
        let Some(replayed) = self.tables.get_mut(&key) else {
            // The table has no replay code, or its start is not in the trace.
            let reason = format!("no earlier start of table `{table}` of {}", event.node);
            return Err(Error::trace(line, reason));
        };
        let reported = replayed.replay(line, input, event.at)?;
        let decisions = reported.into_iter().filter(is_decision);
        self.reported
            .entry(event.node.clone())
            .or_default()
            .extend(decisions);
        Ok(())
    }

    /// Removes the replayed decision that equals a recorded one. Returns the recorded decision if
    /// replay has not reported it.
    fn match_decision(&mut self, event: &Event) -> Option<EventKind> {
        if !is_decision(&event.kind) {
            return None;
        }
        let reported = self.reported.entry(event.node.clone()).or_default();
        match reported.iter().position(|kind| *kind == event.kind) {
            Some(at) => {
                reported.remove(at);
                None
            }
            None => Some(event.kind.clone()),
        }
    }

    /// Returns the servers that routers may send requests of a shard to, with the tokens. Servers
    /// whose replayed table refuses the token are left out.
    fn permitted_sends(&self, at: Stamp, shard: &ShardId) -> Vec<(ServerId, Token)> {
        let permits = self
            .tables
            .values()
            .filter_map(|replayed| replayed.permit(at, shard));
        permits
            .filter(|permit| !self.server_refuses(at, permit))
            .map(|permit| (permit.server, permit.token))
            .collect()
    }

    /// Returns whether the trace has the inputs of the server of a permit and that server would
    /// refuse the request.
    fn server_refuses(&self, at: Stamp, permit: &Permit) -> bool {
        let Ok(node) = NodeId::try_from(permit.server.as_str()) else {
            return false;
        };
        let replayed = self.tables.get(&(node, "server".to_owned()));
        replayed.is_some_and(|replayed| {
            replayed.accepted_token(at, &permit.shard) != Some(permit.token)
        })
    }

    fn owners(&self, at: Stamp, shard: &ShardId) -> Vec<(String, Token)> {
        self.tables
            .iter()
            .filter_map(|((node, _), replayed)| {
                Some((node.to_string(), replayed.accepted_token(at, shard)?))
            })
            .collect()
    }
}

/// Returns whether an event is a decision of a table, which replay has to reproduce.
fn is_decision(kind: &EventKind) -> bool {
    matches!(
        kind,
        EventKind::Granted { .. }
            | EventKind::Revoked { .. }
            | EventKind::TookOver { .. }
            | EventKind::AuthorityLost { .. }
            | EventKind::Suspected { .. }
    )
}

/// The check of one statement, with its result so far.
#[derive(Debug)]
struct StatementCheck {
    line: usize,
    statement: Statement,
    violation: Option<(usize, String)>,
    /// Start of the time limit of `served_within`.
    started_at: Option<Stamp>,
    /// Whether the shard was served since `started_at`.
    served: bool,
}

impl StatementCheck {
    fn new((line, statement): &(usize, Statement)) -> Self {
        Self {
            line: *line,
            statement: statement.clone(),
            violation: None,
            started_at: None,
            served: false,
        }
    }

    /// Checks the statement on the state after event `number`.
    fn update(
        &mut self,
        state: &ReplayState,
        number: usize,
        event: &Event,
        unexpected: Option<&EventKind>,
    ) {
        if self.violation.is_some() {
            return;
        }
        let at = event.at;
        let found = match &self.statement {
            Statement::SentOnlyTo {
                shard,
                server,
                at_least,
                after,
                until,
            } if in_span(number, *after, *until) => {
                let mut permitted_sends = state.permitted_sends(at, shard).into_iter();
                permitted_sends
                    .find(|(to, token)| to != server || token < at_least)
                    .map(|(to, token)| format!("{to} under {token}"))
            }
            Statement::NotSent {
                shard,
                after,
                until,
            } if in_span(number, *after, *until) => state
                .permitted_sends(at, shard)
                .first()
                .map(|(to, token)| format!("{to} under {token}")),
            Statement::OneOwner { shard } => describe_two_owners(&state.owners(at, shard)),
            Statement::SameDecisions => {
                unexpected.map(|kind| format!("{kind:?}, which replay does not report"))
            }
            Statement::ServedWithin {
                shard,
                after,
                within_ms,
            } => {
                let (shard, after, within_ms) = (shard.clone(), *after, *within_ms);
                self.check_served(state, number, at, &shard, after, within_ms)
            }
            Statement::SentOnlyTo { .. } | Statement::NotSent { .. } => None,
        };
        self.violation = found.map(|found| (number, found));
    }

    fn check_served(
        &mut self,
        state: &ReplayState,
        number: usize,
        at: Stamp,
        shard: &ShardId,
        after: usize,
        within_ms: u64,
    ) -> Option<String> {
        if number == after {
            self.started_at = Some(at);
            return None;
        }
        let started_at = self.started_at?;
        if self.served {
            return None;
        }
        self.served = !state.permitted_sends(at, shard).is_empty();
        let passed = at.wall - started_at.wall;
        (passed > within_ms).then(|| format!("not served after {passed} ms"))
    }

    fn finish(
        self,
        state: &ReplayState,
        count: usize,
        has_servers: bool,
    ) -> Result<StatementResult, Error> {
        let mut violation = self.violation;
        match &self.statement {
            Statement::OneOwner { .. } if !has_servers => {
                let reason = "this statement needs the inputs of servers, and the trace has none";
                return Err(Error::trace(self.line, reason));
            }
            Statement::ServedWithin { .. } if !self.served && violation.is_none() => {
                violation = Some((count, "not served by the end of the trace".to_owned()));
            }
            Statement::SameDecisions if violation.is_none() => {
                let missing = state.reported.values().flatten().next();
                violation = missing
                    .map(|kind| (count, format!("{kind:?}, which the trace does not contain")));
            }
            _ => {}
        }
        let (broken_at, found) = violation.unzip();
        Ok(StatementResult {
            statement: self.statement,
            broken_at,
            found,
        })
    }
}

fn in_span(number: usize, after: usize, until: Option<usize>) -> bool {
    number >= after && until.is_none_or(|until| number <= until)
}

fn describe_two_owners(owners: &[(String, Token)]) -> Option<String> {
    match owners {
        [(first, token), (second, other), ..] => {
            Some(format!("{first} under {token} and {second} under {other}"))
        }
        _ => None,
    }
}
