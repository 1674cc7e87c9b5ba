//! Brings an edit into force.

use bytes::Bytes;
use carawayrill_core::id::Generation;
use carawayrill_core::id::Version;
use carawayrill_core::object::CONFIG_HEAD;
use carawayrill_core::time::WallTime;
use carawayrill_store::CallOutcome;
use carawayrill_store::port::MAX_VALUE_BYTES;
use carawayrill_store::port::ObjectStore;

use crate::Loaded;
use crate::Parts;
use crate::accept::Answer;
use crate::accept::Edit;
use crate::accept::Error;
use crate::accept::Pause;
use crate::accept::head::Digest;
use crate::accept::head::Head;
use crate::accept::head::digests_of;
use crate::accept::history::History;
use crate::accept::merge::merge;
use crate::accept::transition;
use crate::parts::BASE_FILE;
use crate::parts::site_file;

/// The result of one attempt.
#[derive(Debug)]
enum Step {
    /// The edit is settled.
    Done(Answer),
    /// The head has changed meanwhile.
    Raced,
}

/// One edit on its way.
#[derive(Debug)]
struct Proposer<'a> {
    store: &'a dyn ObjectStore,
    edit: &'a Edit,
    /// The edit's own files, checked.
    loaded: Loaded,
    id: Digest,
    at: WallTime,
    history: History,
    /// The version of the head that an update without an answer was based on. As long as the head
    /// keeps this version, that update may still take effect.
    open: Option<Version>,
}

/// Brings `edit` into force at wall clock time `at`, and returns once its fate is settled.
///
/// If others were faster, their edits are merged with this one. A failing store is tried again
/// until `pause` says to stop.
///
/// # Errors
///
/// Fails if the edit clashes with others or makes no right deployment, or if the store does not
/// serve. Nothing was changed then, unless [`Error::fate`] is unknown.
pub async fn propose(
    store: &dyn ObjectStore,
    edit: &Edit,
    at: WallTime,
    pause: &dyn Pause,
) -> Result<Answer, Error> {
    let loaded = check(&edit.parts, None)?;
    let mut proposer = Proposer {
        store,
        edit,
        loaded,
        id: edit.id(),
        at,
        history: History::default(),
        open: None,
    };
    let mut attempt = 0;
    loop {
        let failed = match proposer.step().await {
            Ok(Step::Done(answer)) => return Ok(answer),
            Ok(Step::Raced) => None,
            Err(err) if err.is_passing() => Some(err),
            Err(err) => return Err(proposer.given_up(Some(err))),
        };
        attempt += 1;
        if !pause.pause(attempt).await {
            return Err(proposer.given_up(failed));
        }
    }
}

impl Proposer<'_> {
    /// Makes one attempt.
    async fn step(&mut self) -> Result<Step, Error> {
        let Some((version, head)) = self.history.head(self.store).await? else {
            return self.first().await;
        };
        if head.generation < self.edit.from {
            return Err(Error::origin(self.edit.from, head.generation));
        }
        let heads = self
            .history
            .back_to(self.store, &head, self.edit.from)
            .await?;
        if let Some(landed) = heads.iter().find(|head| head.edit == self.id) {
            return self.landed(landed).await;
        }
        if self.open.is_some_and(|open| open != version) {
            // The head has moved on without the open update, which can't take effect any more.
            self.open = None;
        }
        let in_force = self.history.parts_of(self.store, &head).await?;
        let (next, loaded) = self.next(&heads, &in_force).await?;
        if next == in_force {
            let generation = head.generation;
            return Ok(Step::Done(Answer::Unchanged { generation }));
        }
        self.may_follow(&heads, &in_force, &loaded).await?;
        self.put(version, Some(&head), &next).await
    }

    /// Makes the first generation.
    async fn first(&mut self) -> Result<Step, Error> {
        if self.edit.from > Generation(0) {
            return Err(Error::origin(self.edit.from, Generation(0)));
        }
        let next = self.edit.parts.clone();
        self.put(Version(0), None, &next).await
    }

    /// Answers for an edit that was found in force, now or before.
    async fn landed(&mut self, head: &Head) -> Result<Step, Error> {
        let parts = self.history.parts_of(self.store, head).await?;
        Ok(Step::Done(Answer::Accepted {
            generation: head.generation,
            merged: parts != self.edit.parts,
            parts,
        }))
    }

    /// Returns the files that the next generation shall have, as written and checked.
    async fn next(&mut self, heads: &[Head], in_force: &Parts) -> Result<(Parts, Loaded), Error> {
        let generation = heads[0].generation;
        if generation == self.edit.from {
            return Ok((self.edit.parts.clone(), self.loaded.clone()));
        }
        let origin = heads
            .last()
            .filter(|head| head.generation == self.edit.from);
        let origin = origin.ok_or_else(|| Error::origin(self.edit.from, generation))?;
        let before = self.history.parts_of(self.store, origin).await?;
        let merged = merge(&before, &self.edit.parts, in_force)
            .map_err(|clashes| Error::clash(generation, clashes))?;
        let loaded = check(&merged, Some(generation))?;
        Ok((merged, loaded))
    }

    /// Checks that the processes may pass to the next files one by one.
    ///
    /// A change of authority is held against every generation since the edit's origin: whoever
    /// proposes it knows at best that its origin is in force everywhere, not that those of others
    /// which came between are.
    async fn may_follow(
        &mut self,
        heads: &[Head],
        in_force: &Parts,
        next: &Loaded,
    ) -> Result<(), Error> {
        let wrong = |err| Error::wrong(None, err);
        let current = in_force.check().map_err(wrong)?.deployment;
        let mut problems = transition::refused(&current, next);
        if transition::changes_authority(&current, &next.deployment) {
            for head in heads.iter().skip(1) {
                let parts = self.history.parts_of(self.store, head).await?;
                let before = parts.check().map_err(wrong)?.deployment;
                problems.extend(transition::refused(&before, next));
            }
        }
        if problems.is_empty() {
            return Ok(());
        }
        Err(wrong(problems.into()))
    }

    /// Writes the parts, then the head that names them.
    async fn put(
        &mut self,
        version: Version,
        previous: Option<&Head>,
        next: &Parts,
    ) -> Result<Step, Error> {
        let mut texts = vec![&next.base];
        texts.extend(next.sites.values());
        for text in texts {
            let digest = Digest::of(text.as_bytes());
            if !previous.is_some_and(|head| head.digests().any(|known| known == digest)) {
                self.put_part(Bytes::copy_from_slice(text.as_bytes()))
                    .await?;
            }
        }
        let previous_digest = match previous {
            Some(head) => Some(self.put_part(head.to_bytes()?).await?),
            None => None,
        };
        let (base, sites) = digests_of(next);
        let head = Head {
            generation: previous
                .map_or(Generation(0), |head| head.generation)
                .next(),
            edit: self.id,
            base,
            sites,
            by: self.edit.by.clone(),
            at: self.at,
            previous: previous_digest,
        };
        let value = head.to_bytes()?;
        match self.store.put(CONFIG_HEAD, value, version).await {
            Ok(_) => Ok(Step::Done(Answer::Accepted {
                generation: head.generation,
                merged: *next != self.edit.parts,
                parts: next.clone(),
            })),
            Err(err) if err.conflicting_version().is_some() => Ok(Step::Raced),
            Err(err) => {
                if err.outcome() == CallOutcome::Unknown {
                    self.open = Some(version);
                }
                Err(err.into())
            }
        }
    }

    /// Writes one part. One that is there already is the same, as its name is its digest.
    async fn put_part(&self, value: Bytes) -> Result<Digest, Error> {
        let digest = Digest::of(&value);
        let name = digest.object_name();
        match self.store.put(&name, value.clone(), Version(0)).await {
            Ok(_) => Ok(digest),
            Err(err) if err.conflicting_version().is_some() => {
                let found = self.store.get(&name).await?;
                if found.is_some_and(|object| object.value == value) {
                    return Ok(digest);
                }
                Err(Error::corrupt(format!("{name} holds another text")))
            }
            Err(err) => Err(err.into()),
        }
    }

    /// Returns the error to end with: a refusal is only told while no update is open.
    fn given_up(&self, failed: Option<Error>) -> Error {
        let reason = match &failed {
            Some(err) => err.to_string(),
            None => "others were always faster".to_owned(),
        };
        match failed {
            Some(err) if self.open.is_none() => err,
            None if self.open.is_none() => Error::raced(),
            _ => Error::unsettled(reason),
        }
    }
}

/// Checks that files are a right deployment and fit into the store.
fn check(parts: &Parts, merged_with: Option<Generation>) -> Result<Loaded, Error> {
    fits(BASE_FILE, &parts.base)?;
    for (site, text) in &parts.sites {
        fits(&site_file(site), text)?;
    }
    parts.check().map_err(|err| Error::wrong(merged_with, err))
}

/// Checks that a file fits into one object.
fn fits(file: &str, text: &str) -> Result<(), Error> {
    if text.len() > MAX_VALUE_BYTES {
        return Err(Error::too_large(file, text.len(), MAX_VALUE_BYTES));
    }
    Ok(())
}
