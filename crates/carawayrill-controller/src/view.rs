//! The controller's copy of the store's contents.

use std::collections::BTreeMap;
use std::sync::Arc;

use carawayrill_config::deployment::Deployment;
use carawayrill_core::assignment::Assignment;
use carawayrill_core::assignment::Block;
use carawayrill_core::assignment::BlockId;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::Version;
use carawayrill_core::object::ASSIGNMENTS;
use carawayrill_core::object::DRAINS;
use carawayrill_core::object::DrainOrder;
use carawayrill_core::object::MEMBERS;
use carawayrill_core::object::Member;
use carawayrill_core::time::Time;
use carawayrill_store::port::Object;
use compact_str::CompactString;
use serde::de::DeserializeOwned;

use crate::Error;

/// A value with the version of its object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The version of the object.
    pub version: Version,
    /// Its value.
    pub value: T,
}

/// A router's member entry and when its incarnation was first seen here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// The version of the object.
    pub version: Version,
    /// The stored entry.
    pub member: Member,
    /// When this incarnation was first seen.
    pub since: Time,
}

/// The tables that mirror the store.
#[derive(Debug, Default)]
pub struct StoreView {
    /// Blocks of assignments.
    pub blocks: BTreeMap<BlockId, Versioned<Block>>,
    /// Member entries of routers.
    pub members: BTreeMap<RouterId, MemberEntry>,
    /// Operators' drain orders, by name of the server or router.
    pub drains: BTreeMap<CompactString, DrainOrder>,
    /// The configuration in force.
    pub deployment: Option<Arc<Deployment>>,
    /// Number of changes received. A reader compares it to detect whether anything has changed.
    pub change_count: u64,
    /// Names of objects that could not be decoded, with the error.
    pub unreadable: BTreeMap<CompactString, String>,
}

impl StoreView {
    /// Applies one object from a watch response or a read.
    ///
    /// # Errors
    ///
    /// Fails if the object can't be decoded. The previous value then stays.
    pub fn apply(&mut self, now: Time, object: &Object) -> Result<(), Error> {
        self.change_count += 1;
        let name = object.name.as_str();
        let applied = if name.starts_with(ASSIGNMENTS) {
            self.apply_block(object)
        } else if name.starts_with(MEMBERS) {
            self.apply_member(now, object)
        } else if name.starts_with(DRAINS) {
            self.apply_drain(object)
        } else {
            Ok(())
        };
        match &applied {
            Ok(()) => self.unreadable.remove(name),
            Err(err) => self.unreadable.insert(object.name.clone(), err.to_string()),
        };
        applied
    }

    /// Returns all assignments in force.
    pub fn rows(&self) -> impl Iterator<Item = &Assignment> {
        self.blocks.values().flat_map(|block| &block.value.rows)
    }

    /// Stores a block that was read or that this controller wrote, unless the known version is at
    /// least as new.
    pub fn set_block(&mut self, version: Version, block: Block) {
        let known = self.blocks.get(&block.id);
        if known.is_none_or(|old| old.version < version) {
            self.change_count += 1;
            let id = block.id.clone();
            let value = block;
            self.blocks.insert(id, Versioned { version, value });
        }
    }

    fn apply_block(&mut self, object: &Object) -> Result<(), Error> {
        // Only an operator restores a deleted block. The last known rows are kept, so that no
        // token decreases.
        if object.version == Version(0) {
            return Ok(());
        }
        let block = decode(object)?;
        self.set_block(object.version, block);
        Ok(())
    }

    fn apply_member(&mut self, now: Time, object: &Object) -> Result<(), Error> {
        if object.version == Version(0) {
            let removed = object.name.strip_prefix(MEMBERS).unwrap_or_default();
            self.members.retain(|id, _| id.as_str() != removed);
            return Ok(());
        }
        let member: Member = decode(object)?;
        let known = self.members.get(&member.router);
        let since = known
            .filter(|old| old.member.incarnation == member.incarnation)
            .map_or(now, |old| old.since);
        let version = object.version;
        if known.is_none_or(|old| old.version < version) {
            let id = member.router.clone();
            let entry = MemberEntry {
                version,
                member,
                since,
            };
            self.members.insert(id, entry);
        }
        Ok(())
    }

    fn apply_drain(&mut self, object: &Object) -> Result<(), Error> {
        if object.version == Version(0) {
            let removed = object.name.strip_prefix(DRAINS).unwrap_or_default();
            self.drains.remove(removed);
            return Ok(());
        }
        let order: DrainOrder = decode(object)?;
        self.drains.insert(order.name.clone(), order);
        Ok(())
    }
}

/// Decodes the JSON value of an object.
///
/// # Errors
///
/// Fails if the value is no valid JSON of a `T`.
pub fn decode<T: DeserializeOwned>(object: &Object) -> Result<T, Error> {
    serde_json::from_slice(&object.value).map_err(|err| Error::object(&object.name, err))
}
