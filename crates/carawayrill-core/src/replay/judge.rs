//! Judging statements while a trace is replayed.

use std::collections::BTreeMap;

use super::StatementResult;
use super::player::Player;
use super::statement::Statement;
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

/// The replayed tables: one of each kind a process may have.
#[derive(Debug, Default)]
struct Stage {
    players: BTreeMap<(NodeId, String), Player>,
    /// Events that replayed tables have reported and the trace has not yet.
    reported: BTreeMap<NodeId, Vec<EventKind>>,
}

/// Replays a trace and judges its statements.
pub(super) fn judge(trace: &Trace) -> Result<Vec<StatementResult>, Error> {
    let mut stage = Stage::default();
    let mut judged: Vec<Judged> = trace.statements.iter().map(Judged::new).collect();
    for (index, (line, event)) in trace.events.iter().enumerate() {
        stage.play(*line, event)?;
        let unexpected = stage.take_recorded(event);
        let number = index + 1;
        for judged in &mut judged {
            judged.judge(&stage, number, event, unexpected.as_ref());
        }
    }
    let has_servers = stage.players.values().any(Player::is_server);
    judged
        .into_iter()
        .map(|judged| judged.finish(&stage, trace.events.len(), has_servers))
        .collect()
}

impl Stage {
    fn play(&mut self, line: usize, event: &Event) -> Result<(), Error> {
        let EventKind::Input { table, input } = &event.kind else {
            return Ok(());
        };
        let key = (event.node.clone(), table.to_string());
        if input["input"] == "start" {
            let player = Player::start(line, table, input, event.at)?;
            self.players.insert(key, player);
            return Ok(());
        }
        let Some(player) = self.players.get_mut(&key) else {
            // The log of a table that is not replayed here, or whose start is not in the trace.
            let reason = format!("no start of {}'s table `{table}` comes before", event.node);
            return Err(Error::trace(line, reason));
        };
        let reported = player.play(line, input, event.at)?;
        let decisions = reported.into_iter().filter(is_decision);
        self.reported
            .entry(event.node.clone())
            .or_default()
            .extend(decisions);
        Ok(())
    }

    /// Matches a recorded decision with a replayed one. Returns it if there is none.
    fn take_recorded(&mut self, event: &Event) -> Option<EventKind> {
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

    /// Returns where routers may send, as far as the servers of the trace accept it.
    fn sends(&self, at: Stamp, shard: &ShardId) -> Vec<(ServerId, Token)> {
        let permits = self
            .players
            .values()
            .filter_map(|player| player.permit(at, shard));
        permits
            .filter(|permit| !self.refuses(at, permit))
            .map(|permit| (permit.server, permit.token))
            .collect()
    }

    /// Returns whether the trace has the server of a permit, and that would not run the request.
    fn refuses(&self, at: Stamp, permit: &Permit) -> bool {
        let Ok(node) = NodeId::try_from(permit.server.as_str()) else {
            return false;
        };
        let player = self.players.get(&(node, "server".to_owned()));
        player.is_some_and(|player| player.accepts(at, &permit.shard) != Some(permit.token))
    }

    fn owners(&self, at: Stamp, shard: &ShardId) -> Vec<(String, Token)> {
        self.players
            .iter()
            .filter_map(|((node, _), player)| Some((node.to_string(), player.accepts(at, shard)?)))
            .collect()
    }
}

/// Returns whether an event is a decision of a table, to be found again by replay.
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

/// A statement with what was found so far.
#[derive(Debug)]
struct Judged {
    line: usize,
    statement: Statement,
    broken: Option<(usize, String)>,
    /// When the time of `served_within` began, and whether it was served since.
    began: Option<Stamp>,
    served: bool,
}

impl Judged {
    fn new((line, statement): &(usize, Statement)) -> Self {
        Self {
            line: *line,
            statement: statement.clone(),
            broken: None,
            began: None,
            served: false,
        }
    }

    /// Judges the state after event `number`.
    fn judge(
        &mut self,
        stage: &Stage,
        number: usize,
        event: &Event,
        unexpected: Option<&EventKind>,
    ) {
        if self.broken.is_some() {
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
            } if spans(number, *after, *until) => {
                let mut sends = stage.sends(at, shard).into_iter();
                sends
                    .find(|(to, token)| to != server || token < at_least)
                    .map(|(to, token)| format!("{to} under {token}"))
            }
            Statement::NotSent {
                shard,
                after,
                until,
            } if spans(number, *after, *until) => stage
                .sends(at, shard)
                .first()
                .map(|(to, token)| format!("{to} under {token}")),
            Statement::OneOwner { shard } => two_owners(&stage.owners(at, shard)),
            Statement::SameDecisions => {
                unexpected.map(|kind| format!("{kind:?}, which replay does not report"))
            }
            Statement::ServedWithin {
                shard,
                after,
                within_ms,
            } => {
                let (shard, after, within_ms) = (shard.clone(), *after, *within_ms);
                self.judge_served(stage, number, at, &shard, after, within_ms)
            }
            Statement::SentOnlyTo { .. } | Statement::NotSent { .. } => None,
        };
        self.broken = found.map(|found| (number, found));
    }

    fn judge_served(
        &mut self,
        stage: &Stage,
        number: usize,
        at: Stamp,
        shard: &ShardId,
        after: usize,
        within_ms: u64,
    ) -> Option<String> {
        if number == after {
            self.began = Some(at);
            return None;
        }
        let began = self.began?;
        if self.served {
            return None;
        }
        self.served = !stage.sends(at, shard).is_empty();
        let passed = at.wall - began.wall;
        (passed > within_ms).then(|| format!("not served after {passed} ms"))
    }

    fn finish(
        self,
        stage: &Stage,
        count: usize,
        has_servers: bool,
    ) -> Result<StatementResult, Error> {
        let mut broken = self.broken;
        match &self.statement {
            Statement::OneOwner { .. } if !has_servers => {
                let reason = "this statement needs the inputs of servers, and the trace has none";
                return Err(Error::trace(self.line, reason));
            }
            Statement::ServedWithin { .. } if !self.served && broken.is_none() => {
                broken = Some((count, "not served by the end of the trace".to_owned()));
            }
            Statement::SameDecisions if broken.is_none() => {
                let missing = stage.reported.values().flatten().next();
                broken = missing.map(|kind| (count, format!("{kind:?} by replay alone")));
            }
            _ => {}
        }
        let (broken_at, found) = broken.unzip();
        Ok(StatementResult {
            statement: self.statement,
            broken_at,
            found,
        })
    }
}

fn spans(number: usize, after: usize, until: Option<usize>) -> bool {
    number >= after && until.is_none_or(|until| number <= until)
}

fn two_owners(owners: &[(String, Token)]) -> Option<String> {
    match owners {
        [(first, token), (second, other), ..] => {
            Some(format!("{first} under {token} and {second} under {other}"))
        }
        _ => None,
    }
}
