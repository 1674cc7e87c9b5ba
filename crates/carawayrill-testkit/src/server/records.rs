//! What a server has run: the evidence against which answers are checked.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;

use carawayrill_core::data;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::ServerId;
use carawayrill_core::time::ServerTime;
use compact_str::CompactString;

/// Runs in one page of [`Records::page`].
pub const PAGE_RUNS: usize = 20_000;

data! {
    /// How a run ended.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum RunStatus {
        /// It still runs.
        Running,
        /// It ran to its end.
        Done,
        /// It was cancelled midway.
        Cancelled,
        /// It reached its deadline midway.
        Deadline,
    }

    /// One request that started to run.
    pub struct Run {
        /// The server that ran it.
        pub server: ServerId,
        /// The request's id.
        pub request: CompactString,
        /// The shard it came with.
        pub shard: CompactString,
        /// The token it came with.
        pub token: CompactString,
        /// The path and query it was for.
        pub path: CompactString,
        /// The idempotency key it came with, if any.
        pub idempotency_key: Option<CompactString>,
        /// When it started, on the server's clock.
        pub started: ServerTime,
        /// When it ended, on the server's clock.
        pub ended: ServerTime,
        /// How it ended.
        pub end: RunStatus,
    }

    /// Some of the runs, in the order in which they started.
    pub struct Page {
        /// The server that ran them.
        pub server: ServerId,
        /// Its present run.
        pub incarnation: Incarnation,
        /// Where the next page starts; the number of runs, if this is the last page.
        pub next: usize,
        /// Whether more pages follow.
        pub more: bool,
        /// The runs.
        pub runs: Vec<Run>,
    }
}

/// All runs since the server started.
#[derive(Debug, Default)]
pub struct Records {
    runs: Vec<Run>,
    file: Option<File>,
}

impl Records {
    /// Also writes each run that starts to a file, a JSON object a line, so that the record
    /// outlives the process.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened.
    pub fn write_to(&mut self, path: &Path) -> io::Result<()> {
        self.file = Some(OpenOptions::new().create(true).append(true).open(path)?);
        Ok(())
    }

    /// Notes a run that starts and returns its number, from 0.
    ///
    /// # Panics
    ///
    /// Panics if the record can't be written: a run without a record would go unseen.
    pub fn start(&mut self, run: Run) -> usize {
        if let Some(file) = &mut self.file {
            let mut line = serde_json::to_vec(&run).expect("a run can be written as JSON");
            line.push(b'\n');
            file.write_all(&line).expect("the record file takes a line");
        }
        self.runs.push(run);
        self.runs.len() - 1
    }

    /// Notes the end of a run.
    pub fn end(&mut self, number: usize, end: RunStatus, now: ServerTime) {
        if let Some(run) = self.runs.get_mut(number) {
            run.end = end;
            run.ended = now;
        }
    }

    /// Returns how many runs have started.
    #[must_use]
    pub fn count(&self) -> usize {
        self.runs.len()
    }

    /// Returns up to [`PAGE_RUNS`] runs from number `after` on.
    #[must_use]
    pub fn page(&self, server: ServerId, incarnation: Incarnation, after: usize) -> Page {
        let end = self.runs.len().min(after.saturating_add(PAGE_RUNS));
        Page {
            server,
            incarnation,
            next: end,
            more: end < self.runs.len(),
            runs: self.runs.get(after..end).unwrap_or_default().to_vec(),
        }
    }
}
