//! Reads heads and parts from the store, with a cache of the parts, which are immutable.

use std::collections::BTreeMap;

use bytes::Bytes;
use carawayrill_core::id::Generation;
use carawayrill_core::id::Version;
use carawayrill_core::object::CONFIG_HEAD;
use carawayrill_store::port::ObjectStore;

use crate::ConfigFiles;
use crate::accept::Error;
use crate::accept::head::Digest;
use crate::accept::head::Head;

/// The most generations that are read back. More than the changes of a day.
const MAX_GENERATIONS_BACK: u64 = 2_000;

/// A reader of heads and parts that caches the parts by digest.
#[derive(Debug, Default)]
pub(crate) struct History {
    parts: BTreeMap<Digest, String>,
}

impl History {
    /// Reads the head in force and its version.
    pub(crate) async fn head(
        &self,
        store: &dyn ObjectStore,
    ) -> Result<Option<(Version, Head)>, Error> {
        let Some(object) = store.get(CONFIG_HEAD).await? else {
            return Ok(None);
        };
        let head = Head::from_bytes(CONFIG_HEAD, &object.value)?;
        Ok(Some((object.version, head)))
    }

    /// Returns the text of a part from the cache, or else from the store.
    async fn part(&mut self, store: &dyn ObjectStore, digest: Digest) -> Result<String, Error> {
        if let Some(text) = self.parts.get(&digest) {
            return Ok(text.clone());
        }
        let name = digest.object_name();
        let object = store.get(&name).await?;
        let object = object.ok_or_else(|| Error::corrupt(format!("{name} is missing")))?;
        if Digest::of(&object.value) != digest {
            return Err(Error::corrupt(format!(
                "the content of {name} does not match its digest"
            )));
        }
        let text = text_of(&name, &object.value)?;
        self.parts.insert(digest, text.clone());
        Ok(text)
    }

    /// Reads the files of a generation.
    pub(crate) async fn files_of(
        &mut self,
        store: &dyn ObjectStore,
        head: &Head,
    ) -> Result<ConfigFiles, Error> {
        let mut files = ConfigFiles::new(self.part(store, head.base).await?);
        for (site, digest) in &head.sites {
            let text = self.part(store, *digest).await?;
            files.sites.insert(site.clone(), text);
        }
        Ok(files)
    }

    /// Drops cached parts that `head` does not refer to.
    pub(crate) fn retain_parts_of(&mut self, head: &Head) {
        let named: Vec<Digest> = head.digests().collect();
        self.parts.retain(|digest, _| named.contains(digest));
    }

    /// Reads the heads from `head` back to generation `from`, latest first.
    pub(crate) async fn heads_since(
        &mut self,
        store: &dyn ObjectStore,
        head: &Head,
        from: Generation,
    ) -> Result<Vec<Head>, Error> {
        if head.generation.0.saturating_sub(from.0) > MAX_GENERATIONS_BACK {
            return Err(Error::unknown_origin(from, head.generation));
        }
        let mut heads = vec![head.clone()];
        let mut last = head.clone();
        while last.generation > from {
            let Some(previous) = last.previous else {
                break;
            };
            let text = self.part(store, previous).await?;
            last = Head::from_bytes(&previous.object_name(), text.as_bytes())?;
            heads.push(last.clone());
        }
        Ok(heads)
    }
}

/// Decodes the value of a part as UTF-8.
fn text_of(name: &str, value: &Bytes) -> Result<String, Error> {
    String::from_utf8(value.to_vec()).map_err(|err| Error::corrupt(format!("{name}: {err}")))
}
