//! Blocks of assignments: putting placements into them and writing them.

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
use carawayrill_core::placement::Move;
use carawayrill_core::placement::Placed;
use carawayrill_core::placement::Worth;
use carawayrill_core::route::block_of;
use carawayrill_core::time::WallTime;
use carawayrill_core::token::Token;
use carawayrill_store::CallOutcome;
use carawayrill_store::port::ObjectStore;

use crate::Error;
use crate::view::View;
use crate::view::read;

/// The token of a shard's first assignment: its term is even, as all stored terms are.
const FIRST_TOKEN: Token = Token::new(2, 1);

/// A block to be written, with what it replaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockWrite {
    /// The version to expect.
    pub expected: Version,
    /// The new value.
    pub block: Block,
    /// The rows that change.
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

/// Puts first placements into their blocks.
#[must_use]
pub fn first_writes(
    deployment: &Deployment,
    view: &View,
    placed: Vec<Placed>,
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

/// Begins a write with the block as it stands.
fn start_write(view: &View, id: BlockId) -> BlockWrite {
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

/// Makes the first assignment of a shard.
fn first_row(view: &View, placed: Placed, now: WallTime) -> Assignment {
    let run = |router: &RouterId| {
        let seen = view.members.get(router);
        seen.map_or_else(Incarnation::default, |seen| seen.member.incarnation)
    };
    Assignment {
        home_run: run(&placed.home),
        standby_home_run: placed.standby_home.as_ref().map(run).unwrap_or_default(),
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

/// Splits a hot key out of its range: the new row has the range's owner and homes, and the first
/// token of the range's term. The range's term is above all that the key's shard had before, since
/// [`merge_write`] sees to that.
#[must_use]
pub fn split_write(
    deployment: &Deployment,
    view: &View,
    to: &Placed,
    now: WallTime,
) -> Option<BlockWrite> {
    let id = block_id(deployment, &to.shard)?;
    let range = range_of(deployment, &to.shard)?;
    let mut write = start_write(view, id);
    let row = write.block.row(&range)?;
    if Placed::from(row)
        != (Placed {
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

/// How a key's shard is merged into its range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Merging {
    /// By taking its row out.
    Write(BlockWrite),
    /// By this change of the range first: it raises the range's term above the key's, without
    /// which a later split of the same key could use a token again.
    Raise(Move),
    /// Not at all: one of the two is not known any more.
    Gone,
}

/// Tells how a key's shard is merged into its range.
#[must_use]
pub fn merge_write(
    deployment: &Deployment,
    view: &View,
    shard: &ShardId,
    into: &ShardId,
) -> Merging {
    let Some(id) = block_id(deployment, shard) else {
        return Merging::Gone;
    };
    let mut write = start_write(view, id);
    let (Some(key), Some(range)) = (write.block.row(shard), write.block.row(into)) else {
        return Merging::Gone;
    };
    if range.token.term <= key.token.term {
        let placed = Placed::from(range);
        return Merging::Raise(Move {
            from: placed.clone(),
            to: placed,
            reason: Reason::HotKey,
            urgent: false,
            worth: Worth::default(),
        });
    }
    write.block.rows.retain(|row| row.shard != *shard);
    Merging::Write(write)
}

/// Returns the range that a key's shard belongs to.
fn range_of(deployment: &Deployment, shard: &ShardId) -> Option<ShardId> {
    let ShardPart::Hot(key) = shard.part else {
        return None;
    };
    let ranges = deployment.service(&shard.service)?.shards;
    let service = shard.service.clone();
    Some(ShardId::range(service, key.range_of(ranges)))
}

/// What became of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// The block stands in the store under this version.
    Done(Version),
    /// Another wrote first; this is what stands, or nothing if the block was deleted.
    Lost(Option<(Version, Block)>),
}

/// Writes a block under a conditional update. An answer that was lost is settled by reading back.
///
/// # Errors
///
/// Fails if the store can't be reached. After a failure nothing may be taken as written or as not
/// written: the next read tells.
pub async fn write_block(store: &dyn ObjectStore, write: &BlockWrite) -> Result<Written, Error> {
    let name = block_name(&write.block.id);
    let value = serde_json::to_vec(&write.block).map_err(|err| Error::object(&name, err))?;
    let put = store.put(&name, Bytes::from(value), write.expected).await;
    match put {
        Ok(version) => Ok(Written::Done(version)),
        Err(err)
            if err.conflicting_version().is_some() || err.outcome() == CallOutcome::Unknown =>
        {
            read_back(store, write).await
        }
        Err(err) => Err(err.into()),
    }
}

/// Reads a block back and tells whether the write of it took effect.
async fn read_back(store: &dyn ObjectStore, write: &BlockWrite) -> Result<Written, Error> {
    let Some(object) = store.get(&block_name(&write.block.id)).await? else {
        return Ok(Written::Lost(None));
    };
    let found: Block = read(&object)?;
    if found == write.block {
        return Ok(Written::Done(object.version));
    }
    Ok(Written::Lost(Some((object.version, found))))
}

/// Lists the events of a write that took effect.
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
