//! Blocks of assignments: building new block values from placements, and writing them to the store.

use std::collections::BTreeMap;

use bytes::Bytes;
use carawayrill_config::deployment::Deployment;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::assignment::Reason;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ShardId;
use carawayrill_core::id::ShardPart;
use carawayrill_core::id::Version;
use carawayrill_core::object::block_name;
use carawayrill_core::placement::CostBenefit;
use carawayrill_core::placement::Move;
use carawayrill_core::placement::Placement;
use carawayrill_core::route::block_of;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;
use carawayrill_store::CallOutcome;
use carawayrill_store::port::ObjectStore;

use crate::Error;
use crate::view::StoreView;
use crate::view::decode;

/// The token of a shard's first assignment: its term is even, as all stored terms are.
const FIRST_TOKEN: Token = Token::new(2, 1);

/// A conditional write of a block.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockWrite {
    /// The stored version that the write replaces.
    pub expected: Version,
    /// The new value.
    pub block: Block,
    /// The rows that differ from the stored value.
    pub changed: Vec<Assignment>,
}

/// Lists the hash ranges of all services.
#[must_use]
pub fn all_ranges(deployment: &Deployment) -> Vec<ShardId> {
    deployment
        .services
        .iter()
        .flat_map(|service| {
            (0..service.shards).map(|index| ShardId::range(service.id.clone(), index))
        })
        .collect()
}

/// Returns the block writes that store first placements.
#[must_use]
pub fn first_writes(
    deployment: &Deployment,
    view: &StoreView,
    placed: Vec<Placement>,
    now: WallTime,
) -> Vec<BlockWrite> {
    let mut writes: BTreeMap<BlockId, BlockWrite> = BTreeMap::new();
    for placed in placed {
        let Some(id) = block_id(deployment, &placed.shard) else {
            continue;
        };
        let write = writes
            .entry(id.clone())
            .or_insert_with(|| start_write(view, id));
        let row = first_row(view, placed, now);
        write.block.set(row.clone());
        write.changed.push(row);
    }
    writes.into_values().collect()
}

/// Returns the block of a shard, if its service is declared.
#[must_use]
pub fn block_id(deployment: &Deployment, shard: &ShardId) -> Option<BlockId> {
    let service = deployment.service(&shard.service)?;
    Some(block_of(shard, service.shards, service.shards_per_block))
}

/// Returns a write that starts from the last known value of the block.
fn start_write(view: &StoreView, id: BlockId) -> BlockWrite {
    let (expected, block) = match view.blocks.get(&id) {
        Some(known) => (known.version, known.value.clone()),
        None => (Version(0), Block::empty(id)),
    };
    BlockWrite {
        expected,
        block,
        changed: Vec::new(),
    }
}

fn first_row(view: &StoreView, placed: Placement, now: WallTime) -> Assignment {
    let incarnation_of = |router: &RouterId| {
        let entry = view.members.get(router);
        entry.map_or_else(Incarnation::default, |entry| entry.member.incarnation)
    };
    Assignment {
        home_run: incarnation_of(&placed.home),
        standby_home_run: placed
            .standby_home
            .as_ref()
            .map(incarnation_of)
            .unwrap_or_default(),
        shard: placed.shard,
        owner: placed.owner,
        standby: placed.standby,
        home: placed.home,
        standby_home: placed.standby_home,
        token: FIRST_TOKEN,
        reason: Reason::Initial,
        since: now,
    }
}

/// Returns the write that splits a hot key out of its range.
///
/// The new row has the range's owner and homes, and the first token of the range's term. This
/// token is higher than all earlier tokens of the key's shard, since [`merge_step`] raises the
/// range's term above the key's before it merges.
///
/// Returns `None` if the service or the range isn't known, or if the range's placement has changed
/// since `to` was computed.
#[must_use]
pub fn split_write(
    deployment: &Deployment,
    view: &StoreView,
    to: &Placement,
    now: WallTime,
) -> Option<BlockWrite> {
    let id = block_id(deployment, &to.shard)?;
    let range = range_of(deployment, &to.shard)?;
    let mut write = start_write(view, id);
    let row = write.block.row(&range)?;
    if Placement::from(row)
        != (Placement {
            shard: range,
            ..to.clone()
        })
    {
        return None;
    }
    let row = Assignment {
        shard: to.shard.clone(),
        token: Token {
            epoch: FIRST_TOKEN.epoch,
            ..row.token
        },
        reason: Reason::HotKey,
        since: now,
        ..row.clone()
    };
    write.block.set(row.clone());
    write.changed.push(row);
    Some(write)
}

/// The next step of merging a key's shard into its range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeStep {
    /// Remove the key's row with this write.
    Write(BlockWrite),
    /// First change the range without moving it, which raises its term above the key's. Otherwise
    /// a later split of the same key could reuse a token.
    RaiseTerm(Move),
    /// No merge, as one of the two shards is no longer known.
    NotFound,
}

/// Returns the next step of merging the key's shard `shard` into the range `into`.
#[must_use]
pub fn merge_step(
    deployment: &Deployment,
    view: &StoreView,
    shard: &ShardId,
    into: &ShardId,
) -> MergeStep {
    let Some(id) = block_id(deployment, shard) else {
        return MergeStep::NotFound;
    };
    let mut write = start_write(view, id);
    let (Some(key), Some(range)) = (write.block.row(shard), write.block.row(into)) else {
        return MergeStep::NotFound;
    };
    if range.token.term <= key.token.term {
        let placed = Placement::from(range);
        return MergeStep::RaiseTerm(Move {
            from: placed.clone(),
            to: placed,
            reason: Reason::HotKey,
            urgent: false,
            worth: CostBenefit::default(),
        });
    }
    write.block.rows.retain(|row| row.shard != *shard);
    MergeStep::Write(write)
}

/// Returns the range that contains a hot key's shard.
fn range_of(deployment: &Deployment, shard: &ShardId) -> Option<ShardId> {
    let ShardPart::Hot(key) = shard.part else {
        return None;
    };
    let ranges = deployment.service(&shard.service)?.shards;
    let service = shard.service.clone();
    Some(ShardId::range(service, key.range_of(ranges)))
}

/// The outcome of a conditional block write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The block is stored with this version.
    Written(Version),
    /// Another writer was first. Holds the stored block, or `None` if the block was deleted.
    Conflict(Option<(Version, Block)>),
}

/// Writes a block by a conditional update. If the outcome is unknown, reads the block back.
///
/// # Errors
///
/// Fails if the store can't be reached. After an error the write may or may not have taken effect;
/// only the next read shows which.
pub async fn write_block(
    store: &dyn ObjectStore,
    write: &BlockWrite,
) -> Result<WriteOutcome, Error> {
    let name = block_name(&write.block.id);
    let value = serde_json::to_vec(&write.block).map_err(|err| Error::object(&name, err))?;
    let put = store.put(&name, Bytes::from(value), write.expected).await;
    match put {
        Ok(version) => Ok(WriteOutcome::Written(version)),
        Err(err)
            if err.conflicting_version().is_some() || err.outcome() == CallOutcome::Unknown =>
        {
            read_back(store, write).await
        }
        Err(err) => Err(err.into()),
    }
}

/// Reads a block back and returns whether the write took effect.
async fn read_back(store: &dyn ObjectStore, write: &BlockWrite) -> Result<WriteOutcome, Error> {
    let Some(object) = store.get(&block_name(&write.block.id)).await? else {
        return Ok(WriteOutcome::Conflict(None));
    };
    let found: Block = decode(&object)?;
    if found == write.block {
        return Ok(WriteOutcome::Written(object.version));
    }
    Ok(WriteOutcome::Conflict(Some((object.version, found))))
}

/// Returns the events to emit for a write that took effect.
#[must_use]
pub fn events(write: &BlockWrite, version: Version) -> Vec<EventKind> {
    let written = EventKind::BlockWritten {
        block: write.block.id.clone(),
        version,
        changed: u32::try_from(write.changed.len()).unwrap_or(u32::MAX),
    };
    let assigned = write.changed.iter().map(|row| EventKind::Assigned {
        shard: row.shard.clone(),
        owner: row.owner.clone(),
        home: row.home.clone(),
        token: row.token,
        reason: row.reason,
    });
    std::iter::once(written).chain(assigned).collect()
}
