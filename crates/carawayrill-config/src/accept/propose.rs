//! Puts an edit in force.

use bytes::Bytes;
use carawayrill_core::id::Generation;
use carawayrill_core::id::Version;
use carawayrill_core::object::CONFIG_HEAD;
use carawayrill_core::time::WallTime;
use carawayrill_store::CallOutcome;
use carawayrill_store::port::MAX_VALUE_BYTES;
use carawayrill_store::port::ObjectStore;

use crate::ConfigFiles;
use crate::LoadedDeployment;
use crate::accept::Edit;
use crate::accept::EditOutcome;
use crate::accept::Error;
use crate::accept::RetryPolicy;
use crate::accept::head::Digest;
use crate::accept::head::Head;
use crate::accept::head::digests_of;
use crate::accept::history::History;
use crate::accept::merge::merge;
use crate::accept::transition;
use crate::config_files::BASE_FILE;
use crate::config_files::site_file;

/// The result of one attempt.
#[derive(Debug)]
enum AttemptOutcome {
    /// The outcome of the edit is known.
    Done(EditOutcome),
    /// The head changed during the attempt.
    HeadChanged,
}

/// The state of one edit across its attempts.
#[derive(Debug)]
struct Proposer<'a> {
    store: &'a dyn ObjectStore,
    edit: &'a Edit,
    /// The files of the edit, checked.
    loaded: LoadedDeployment,
    id: Digest,
    at: WallTime,
    history: History,
    /// The version of the head that an update without a response was based on. While the head has
    /// this version, that update may still take effect.
    unconfirmed: Option<Version>,
}

/// Puts `edit` in force at wall clock time `at`, and returns once its outcome is known.
///
/// If other edits were accepted since the generation that this one is based on, they are merged.
/// Failed calls to the store are retried until `retry_policy` returns false.
///
/// # Errors
///
/// Fails if the edit conflicts with others or is not a valid deployment, or if the store is
/// unavailable. Nothing was changed then, unless [`Error::outcome`] is unknown.
pub async fn propose(
    store: &dyn ObjectStore,
    edit: &Edit,
    at: WallTime,
    retry_policy: &dyn RetryPolicy,
) -> Result<EditOutcome, Error> {
    let loaded = check(&edit.files, None)?;
    let mut proposer = Proposer {
        store,
        edit,
        loaded,
        id: edit.id(),
        at,
        history: History::default(),
        unconfirmed: None,
    };
    let mut attempt = 0;
    loop {
        let last_error = match proposer.run_attempt().await {
            Ok(AttemptOutcome::Done(outcome)) => return Ok(outcome),
            Ok(AttemptOutcome::HeadChanged) => None,
            Err(err) if err.is_transient() => Some(err),
            Err(err) => return Err(proposer.final_error(Some(err))),
        };
        attempt += 1;
        if !retry_policy.wait(attempt).await {
            return Err(proposer.final_error(last_error));
        }
    }
}

impl Proposer<'_> {
    /// Makes one attempt.
    async fn run_attempt(&mut self) -> Result<AttemptOutcome, Error> {
        let Some((version, head)) = self.history.head(self.store).await? else {
            return self.put_first_generation().await;
        };
        if head.generation < self.edit.from {
            return Err(Error::unknown_origin(self.edit.from, head.generation));
        }
        let heads = self
            .history
            .heads_since(self.store, &head, self.edit.from)
            .await?;
        if let Some(accepted) = heads.iter().find(|head| head.edit == self.id) {
            return self.already_accepted(accepted).await;
        }
        if self
            .unconfirmed
            .is_some_and(|unconfirmed| unconfirmed != version)
        {
            // The head changed without the unconfirmed update, which can no longer take effect.
            self.unconfirmed = None;
        }
        let in_force = self.history.files_of(self.store, &head).await?;
        let (next, loaded) = self.next_files(&heads, &in_force).await?;
        if next == in_force {
            let generation = head.generation;
            return Ok(AttemptOutcome::Done(EditOutcome::Unchanged { generation }));
        }
        self.check_transition(&heads, &in_force, &loaded).await?;
        self.put_generation(version, Some(&head), &next).await
    }

    /// Creates the first generation.
    async fn put_first_generation(&mut self) -> Result<AttemptOutcome, Error> {
        if self.edit.from > Generation(0) {
            return Err(Error::unknown_origin(self.edit.from, Generation(0)));
        }
        let next = self.edit.files.clone();
        self.put_generation(Version(0), None, &next).await
    }

    /// Returns the outcome of an edit that is already in the history.
    async fn already_accepted(&mut self, head: &Head) -> Result<AttemptOutcome, Error> {
        let files = self.history.files_of(self.store, head).await?;
        Ok(AttemptOutcome::Done(EditOutcome::Accepted {
            generation: head.generation,
            merged: files != self.edit.files,
            files,
        }))
    }

    /// Returns the files of the next generation, as text and checked.
    async fn next_files(
        &mut self,
        heads: &[Head],
        in_force: &ConfigFiles,
    ) -> Result<(ConfigFiles, LoadedDeployment), Error> {
        let generation = heads[0].generation;
        if generation == self.edit.from {
            return Ok((self.edit.files.clone(), self.loaded.clone()));
        }
        let origin = heads
            .last()
            .filter(|head| head.generation == self.edit.from);
        let origin = origin.ok_or_else(|| Error::unknown_origin(self.edit.from, generation))?;
        let before = self.history.files_of(self.store, origin).await?;
        let merged = merge(&before, &self.edit.files, in_force)
            .map_err(|conflicts| Error::conflict(generation, conflicts))?;
        let loaded = check(&merged, Some(generation))?;
        Ok((merged, loaded))
    }

    /// Checks that processes may switch to the next files at different times.
    ///
    /// A change of authority is checked against every generation since the one that the edit is
    /// based on. The proposer knows at best that this one is in force everywhere, but not that the
    /// later generations of other proposers are.
    async fn check_transition(
        &mut self,
        heads: &[Head],
        in_force: &ConfigFiles,
        next: &LoadedDeployment,
    ) -> Result<(), Error> {
        let invalid = |err| Error::invalid(None, err);
        let current = in_force.check().map_err(invalid)?.deployment;
        let mut problems = transition::refused_changes(&current, next);
        if transition::changes_authority(&current, &next.deployment) {
            for head in heads.iter().skip(1) {
                let files = self.history.files_of(self.store, head).await?;
                let before = files.check().map_err(invalid)?.deployment;
                problems.extend(transition::refused_changes(&before, next));
            }
        }
        if problems.is_empty() {
            return Ok(());
        }
        Err(invalid(problems.into()))
    }

    /// Writes the parts, then the head that refers to them.
    async fn put_generation(
        &mut self,
        version: Version,
        previous: Option<&Head>,
        next: &ConfigFiles,
    ) -> Result<AttemptOutcome, Error> {
        let mut texts = vec![&next.base];
        texts.extend(next.sites.values());
        for text in texts {
            let digest = Digest::of(text.as_bytes());
            if !previous.is_some_and(|head| head.digests().any(|existing| existing == digest)) {
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
            Ok(_) => Ok(AttemptOutcome::Done(EditOutcome::Accepted {
                generation: head.generation,
                merged: *next != self.edit.files,
                files: next.clone(),
            })),
            Err(err) if err.conflicting_version().is_some() => Ok(AttemptOutcome::HeadChanged),
            Err(err) => {
                if err.outcome() == CallOutcome::Unknown {
                    self.unconfirmed = Some(version);
                }
                Err(err.into())
            }
        }
    }

    /// Writes one part. An existing object of that name must be equal, as its name is its digest.
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
                Err(Error::corrupt(format!(
                    "the content of {name} does not match its digest"
                )))
            }
            Err(err) => Err(err.into()),
        }
    }

    /// Returns the error of the proposal. While an update is unconfirmed, the outcome is unknown
    /// whatever `last_error` is.
    fn final_error(&self, last_error: Option<Error>) -> Error {
        let reason = match &last_error {
            Some(err) => err.to_string(),
            None => "concurrent edits changed the head at each attempt".to_owned(),
        };
        match last_error {
            Some(err) if self.unconfirmed.is_none() => err,
            None if self.unconfirmed.is_none() => Error::contended(),
            _ => Error::outcome_unknown(reason),
        }
    }
}

/// Checks that the files are a valid deployment and fit into the store.
fn check(files: &ConfigFiles, merged_with: Option<Generation>) -> Result<LoadedDeployment, Error> {
    check_size(BASE_FILE, &files.base)?;
    for (site, text) in &files.sites {
        check_size(&site_file(site), text)?;
    }
    files
        .check()
        .map_err(|err| Error::invalid(merged_with, err))
}

/// Checks that a file fits into one object of the store.
fn check_size(file: &str, text: &str) -> Result<(), Error> {
    if text.len() > MAX_VALUE_BYTES {
        return Err(Error::too_large(file, text.len(), MAX_VALUE_BYTES));
    }
    Ok(())
}
