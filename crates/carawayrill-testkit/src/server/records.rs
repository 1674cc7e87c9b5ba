//! The record of all requests that a server has run. Tests check responses against it.

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

/// The maximum number of runs in a page of [`Records::page`].
pub const PAGE_RUNS: usize = 20_000;

data! {
    /// The state of a run.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum RunStatus {
        /// The request still runs.
        Running,
        /// The request ran to completion.
        Done,
        /// The request was cancelled while it ran.
        Cancelled,
        /// The request reached its deadline while it ran.
        Deadline,
    }

    /// One execution of a request.
    pub struct Run {
        /// The server that ran the request.
        pub server: ServerId,
        /// The request's id.
        pub request: CompactString,
        /// The shard that the request named; empty if none.
        pub shard: CompactString,
        /// The fencing token of the request; empty if none.
        pub token: CompactString,
        /// The path and query of the request.
        pub path: CompactString,
        /// The idempotency key of the request, if any.
        pub idempotency_key: Option<CompactString>,
        /// The start of the run, on the server's clock.
        pub started: ServerTime,
        /// The end of the run, on the server's clock; equal to `started` while it runs.
        pub ended: ServerTime,
        /// The state of the run.
        pub end: RunStatus,
    }

    /// A page of runs, in the order in which they started.
    pub struct Page {
        /// The server that ran the requests.
        pub server: ServerId,
        /// The current incarnation of the server.
        pub incarnation: Incarnation,
        /// The number of the first run of the next page; the number of all runs on the last page.
        pub next: usize,
        /// Whether more pages follow.
        pub more: bool,
        /// The runs of this page.
        pub runs: Vec<Run>,
    }
}

/// All runs since the start of the server.
#[derive(Debug, Default)]
pub struct Records {
    runs: Vec<Run>,
    file: Option<File>,
}

impl Records {
    /// Also appends each run that starts to a file, as one JSON object per line, so that the record
    /// survives the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened.
    pub fn write_to(&mut self, path: &Path) -> io::Result<()> {
        self.file = Some(OpenOptions::new().create(true).append(true).open(path)?);
        Ok(())
    }

    /// Records the start of a run and returns its number, from 0.
    ///
    /// # Panics
    ///
    /// Panics if the record can't be written, since the checks would miss a run without a record.
    pub fn start(&mut self, run: Run) -> usize {
        if let Some(file) = &mut self.file {
            let mut line = serde_json::to_vec(&run).expect("a run can be written as JSON");
            line.push(b'\n');
            file.write_all(&line)
                .expect("the record file can be written");
        }
        self.runs.push(run);
        self.runs.len() - 1
    }

    /// Records the end of a run.
    pub fn end(&mut self, number: usize, end: RunStatus, now: ServerTime) {
        if let Some(run) = self.runs.get_mut(number) {
            run.end = end;
            run.ended = now;
        }
    }

    /// Returns the number of runs that have started.
    #[must_use]
    pub fn count(&self) -> usize {
        self.runs.len()
    }

    /// Returns up to [`PAGE_RUNS`] runs, starting with run number `after`.
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
