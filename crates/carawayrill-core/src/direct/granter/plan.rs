//! Plans the next record: replaces holders that are lost or draining, or else moves keys for
//! balance.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::granter::Config;
use crate::direct::granter::Inputs;
use crate::direct::granter::row::Row;
use crate::direct::incarnation::IncarnationOrder;
use crate::direct::keys::KeyRange;
use crate::direct::rebalance;
use crate::direct::rebalance::HeldRange;
use crate::direct::rebalance::Move;
use crate::direct::servers::Server;
use crate::direct::spans::FormerHolder;
use crate::direct::spans::Holder;
use crate::direct::spans::SETTLE_FENCES;
use crate::direct::spans::Span;
use crate::direct::spans::SpanRecord;
use crate::id::ServerId;
use crate::time::Time;
use crate::time::millis;

/// The number of spans that merging has to save for a record to be written for it alone.
const MIN_MERGES: usize = 16;

/// Returns the record to write next, or `None` if the stored one needs no change.
///
/// With `rewrite`, it returns a record even if nothing else changes.
pub(super) fn next_record(
    stored: &SpanRecord,
    rows: &BTreeMap<KeyRange, Row>,
    inputs: &Inputs<'_>,
    cfg: &Config,
    rewrite: bool,
) -> Option<SpanRecord> {
    if stored.spans.is_empty() {
        return first_record(stored, inputs);
    }
    let mut moves = replacements(rows, inputs);
    if inputs.stopping {
        moves.clear();
    } else if moves.is_empty() && !rewrite {
        let held_ranges = held_ranges(rows, inputs);
        moves = rebalance::balance(&held_ranges, inputs.demand, inputs.capacities);
    }
    let settled = stored
        .spans
        .iter()
        .any(|span| span.former.is_some() && is_settled(rows, span.range));
    let mergeable = mergeable_spans(rows, inputs.now);
    let merges = mergeable >= MIN_MERGES && !inputs.stopping;
    if moves.is_empty() && !settled && !rewrite && !merges {
        return None;
    }
    let mut record = stored.next();
    for row in rows.values() {
        append_spans(&mut record, row, &moves, inputs, cfg);
    }
    if merges {
        merge_spans(&mut record, rows, inputs.now);
    }
    Some(record)
}

/// Returns whether two neighbouring spans can be merged.
fn can_merge(one: &Row, next: &Row, now: Time) -> bool {
    let same_holder = one.span.holder == next.span.holder;
    same_holder && one.is_mergeable(now) && next.is_mergeable(now)
}

/// Returns how many spans merging would save.
fn mergeable_spans(rows: &BTreeMap<KeyRange, Row>, now: Time) -> usize {
    let pairs = rows.values().zip(rows.values().skip(1));
    pairs
        .filter(|(one, next)| can_merge(one, next, now))
        .count()
}

/// Merges neighbouring spans of the same holder that are not changed by the record. Each span is
/// renewed by an order of its own, so fewer spans let one granter serve more servers.
fn merge_spans(record: &mut SpanRecord, rows: &BTreeMap<KeyRange, Row>, now: Time) {
    let unchanged = |span: &Span| rows.get(&span.range).filter(|row| row.span == *span);
    let spans = std::mem::take(&mut record.spans);
    let mut merged: Vec<Span> = Vec::with_capacity(spans.len());
    // The row of the last span in `merged`, if it is unchanged or was merged.
    let mut last_row: Option<&Row> = None;
    for span in spans {
        let row = unchanged(&span);
        let joins = last_row
            .zip(row)
            .is_some_and(|(last, row)| can_merge(last, row, now));
        last_row = row;
        match merged.last_mut() {
            Some(last) if joins => {
                last.range.last = span.range.last;
                last.fence = record.allocate_fence();
                last.handover = None;
            }
            _ => merged.push(span),
        }
    }
    record.spans = merged;
}

fn is_settled(rows: &BTreeMap<KeyRange, Row>, range: KeyRange) -> bool {
    rows.get(&range)
        .is_some_and(|row| row.span.former.is_none() && !row.is_moving())
}

fn holder(server: &Server) -> Holder {
    Holder {
        server: server.id.clone(),
        born: server.born,
        address: server.address,
    }
}

/// Distributes all keys over the eligible servers, in proportion to their capacity.
fn first_record(stored: &SpanRecord, inputs: &Inputs<'_>) -> Option<SpanRecord> {
    let servers = eligible_servers(inputs);
    if servers.is_empty() {
        return None;
    }
    let mut record = stored.next();
    let weights: Vec<f64> = servers
        .iter()
        .map(|server| inputs.capacities.of(&server.id))
        .collect();
    for (range, server) in rebalance::split_by_weight(&weights)
        .into_iter()
        .zip(&servers)
    {
        let fence = record.allocate_fence();
        record.spans.push(Span {
            range,
            holder: holder(server),
            fence,
            handover: None,
            former: None,
        });
    }
    Some(record)
}

/// Returns the servers that may receive keys.
fn eligible_servers<'a>(inputs: &Inputs<'a>) -> Vec<&'a Server> {
    inputs
        .servers
        .iter()
        .filter(|server| !server.draining && inputs.capacities.has(&server.id))
        .filter(|server| !inputs.excluded.contains(&server.data_centre))
        .collect()
}

/// Returns whether the holder of a row has to be replaced.
fn needs_new_holder(row: &Row, inputs: &Inputs<'_>) -> bool {
    !has_usable_holder(row, inputs) || is_excluded(row, inputs)
}

/// Returns whether the holder of a row is listed, and neither draining, restarted nor lost.
fn has_usable_holder(row: &Row, inputs: &Inputs<'_>) -> bool {
    let holder = &row.span.holder;
    listed_holder(holder, inputs).is_some_and(|server| !server.draining && !row.is_lost())
}

/// Returns the entry of a holder, if that incarnation of the server is the listed one.
fn listed_holder<'a>(holder: &Holder, inputs: &Inputs<'a>) -> Option<&'a Server> {
    let server = inputs.servers.get(&holder.server)?;
    (server.born.relative_to(holder.born) == IncarnationOrder::Same).then_some(server)
}

/// Returns whether the holder of a row is in a data centre that may not hold the keys.
fn is_excluded(row: &Row, inputs: &Inputs<'_>) -> bool {
    let server = inputs.servers.get(&row.span.holder.server);
    server.is_some_and(|server| inputs.excluded.contains(&server.data_centre))
}

/// Returns the ranges whose holder has to be replaced, in the order in which others take them over.
///
/// Keys that nobody serves come first. Those of an excluded data centre follow, the busiest first,
/// so that the busiest ones get the least used servers.
fn ranges_to_replace(rows: &BTreeMap<KeyRange, Row>, inputs: &Inputs<'_>) -> Vec<KeyRange> {
    let replaceable = rows
        .values()
        .filter(|row| needs_new_holder(row, inputs) && row.is_replaceable());
    let (excluded, mut ranges): (Vec<&Row>, Vec<&Row>) =
        replaceable.partition(|row| has_usable_holder(row, inputs));
    let mut excluded: Vec<(f64, &Row)> = excluded
        .into_iter()
        .map(|row| (inputs.demand.range_rate(row.span.range), row))
        .collect();
    excluded.sort_by(|one, other| other.0.total_cmp(&one.0));
    ranges.extend(excluded.into_iter().map(|(_, row)| row));
    ranges.into_iter().map(|row| row.span.range).collect()
}

/// Plans new holders for all rows whose holder has to be replaced.
fn replacements(rows: &BTreeMap<KeyRange, Row>, inputs: &Inputs<'_>) -> Vec<Move> {
    // A restarted server is not lost, even if its former incarnation did not answer.
    let is_same_incarnation = |row: &Row| listed_holder(&row.span.holder, inputs).is_some();
    let lost: Vec<ServerId> = rows
        .values()
        .filter(|row| row.is_lost() && is_same_incarnation(row))
        .map(|row| row.span.holder.server.clone())
        .collect();
    let targets: Vec<ServerId> = eligible_servers(inputs)
        .into_iter()
        .map(|server| server.id.clone())
        .filter(|id| !lost.contains(id))
        .collect();
    let to_replace = ranges_to_replace(rows, inputs);
    if to_replace.is_empty() || targets.is_empty() {
        return Vec::new();
    }
    let held_ranges = held_ranges(rows, inputs);
    rebalance::replace_holders(
        &to_replace,
        &held_ranges,
        &targets,
        inputs.demand,
        inputs.capacities,
    )
}

fn held_ranges(rows: &BTreeMap<KeyRange, Row>, inputs: &Inputs<'_>) -> Vec<HeldRange> {
    rows.values()
        .map(|row| HeldRange {
            range: row.span.range,
            server: row.span.holder.server.clone(),
            movable: row.is_movable(inputs.now) && !needs_new_holder(row, inputs),
        })
        .collect()
}

/// Appends the spans that result from applying `moves` to one row.
fn append_spans(
    record: &mut SpanRecord,
    row: &Row,
    moves: &[Move],
    inputs: &Inputs<'_>,
    cfg: &Config,
) {
    let mut row_moves: Vec<&Move> = moves
        .iter()
        .filter(|planned| row.span.range.contains(planned.range.first))
        .collect();
    row_moves.sort_by_key(|planned| planned.range.first);
    let mut next = Some(row.span.range.first);
    for planned in row_moves {
        let Some(server) = inputs.servers.get(&planned.to) else {
            continue;
        };
        if let Some(first) = next.filter(|first| *first < planned.range.first) {
            push_unmoved(record, row, first, planned.range.first - 1);
        }
        let grant_left = row.grant_left(inputs.now, cfg);
        push_moved(record, row, planned.range, holder(server), grant_left);
        next = planned.range.last.checked_add(1);
    }
    if let Some(first) = next.filter(|first| *first <= row.span.range.last) {
        push_unmoved(record, row, first, row.span.range.last);
    }
}

fn push_unmoved(record: &mut SpanRecord, row: &Row, first: u16, last: u16) {
    record.spans.push(Span {
        range: KeyRange { first, last },
        ..row.span.clone()
    });
}

fn push_moved(
    record: &mut SpanRecord,
    row: &Row,
    range: KeyRange,
    to: Holder,
    grant_left: Duration,
) {
    // While a former holder is recorded, the recorded new holder has never held the keys, so the
    // former one stays the same.
    let former = row.span.former.clone().unwrap_or_else(|| FormerHolder {
        holder: row.span.holder.clone(),
        fence: row.span.fence,
        settle: record.allocate_fences(SETTLE_FENCES),
        left_ms: millis(grant_left),
    });
    let fence = record.allocate_fence();
    record.spans.push(Span {
        range,
        holder: to,
        fence,
        handover: None,
        former: Some(former),
    });
}
