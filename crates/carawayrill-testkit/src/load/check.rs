//! The check of what callers were told against what servers have run.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use compact_str::CompactString;
use reqwest::Client;
use serde::Serialize;

use crate::Error;
use crate::load::caller::FinishedRequest;
use crate::load::caller::ReportedOutcome;
use crate::server::records::Page;
use crate::server::records::Run;

/// How many examples of each breach are kept.
const MAX_EXAMPLES: usize = 5;

/// What the check found. All but `repeated_runs` and `runs` have to be 0.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// Runs on record.
    pub runs: usize,
    /// Requests that must not run twice and did.
    pub executed_twice: usize,
    /// Answers with the body of another request, or a part of one.
    pub answered_wrongly: usize,
    /// Attempts that were said not to have run, and did.
    pub said_not_run_but_run: usize,
    /// Requests that were said to be done, and never ran.
    pub said_done_but_not_run: usize,
    /// Requests that may be repeated and ran more than once.
    pub repeated_runs: usize,
    /// A few breaches, for people.
    pub examples: Vec<String>,
}

impl Findings {
    /// Tells whether nothing was found.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.executed_twice == 0
            && self.answered_wrongly == 0
            && self.said_not_run_but_run == 0
            && self.said_done_but_not_run == 0
    }

    fn add_example(&mut self, text: String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(text);
        }
    }
}

/// Reads the records of all servers at `addresses`.
///
/// # Errors
///
/// Fails if a server does not answer.
pub async fn records(client: &Client, addresses: &[SocketAddr]) -> Result<Vec<Run>, Error> {
    let mut runs = Vec::new();
    for address in addresses {
        let mut after = 0;
        loop {
            let page = page(client, *address, after).await?;
            after = page.next;
            runs.extend(page.runs);
            if !page.more {
                break;
            }
        }
    }
    Ok(runs)
}

async fn page(client: &Client, address: SocketAddr, after: usize) -> Result<Page, Error> {
    let url = format!("http://{address}/control/records?after={after}");
    let failed = |err: reqwest::Error| Error::http(format!("records of {address}: {err}"));
    let resp = client.get(url).send().await.map_err(failed)?;
    resp.json().await.map_err(failed)
}

/// Reads the records that servers wrote to a file, a JSON object a line. The last line of a
/// server that was killed may be cut short; it is left out.
///
/// # Errors
///
/// Fails if the file can't be read.
pub fn records_in(path: &Path) -> Result<Vec<Run>, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|err| Error::settings(format!("{}: {err}", path.display())))?;
    let runs = text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    Ok(runs.collect())
}

/// Checks all requests of a run against all runs on record. `complete` says that the record of
/// each server is there, so that an answer without a run is a breach.
#[must_use]
pub fn check(finished: &[FinishedRequest], runs: &[Run], complete: bool) -> Findings {
    let mut findings = Findings {
        runs: runs.len(),
        ..Findings::default()
    };
    let mut count_by_path: HashMap<&str, usize> = HashMap::new();
    let mut requests: HashSet<&str> = HashSet::new();
    for run in runs {
        *count_by_path.entry(&run.path).or_default() += 1;
        requests.insert(&run.request);
    }
    for request in finished {
        let count = count_by_path.get(request.planned.path.as_str());
        check_runs(
            request,
            count.copied().unwrap_or_default(),
            complete,
            &mut findings,
        );
        check_attempts(request, &requests, &mut findings);
    }
    findings
}

/// Checks how often a request ran.
fn check_runs(request: &FinishedRequest, count: usize, complete: bool, findings: &mut Findings) {
    let path = &request.planned.path;
    if count > 1 && request.planned.idempotency_key.is_some() {
        findings.executed_twice += 1;
        findings.add_example(format!("{path} ran {count} times: {:?}", request.attempts));
    } else if count > 1 {
        findings.repeated_runs += 1;
    }
    if count == 0
        && complete
        && request.outcome() == ReportedOutcome::Done
        && request.status() == 200
    {
        findings.said_done_but_not_run += 1;
        findings.add_example(format!("{path} is done, but never ran"));
    }
}

/// Checks what each attempt of a request was told.
fn check_attempts(request: &FinishedRequest, requests: &HashSet<&str>, findings: &mut Findings) {
    for attempt in &request.attempts {
        if attempt.mismatched {
            findings.answered_wrongly += 1;
            findings.add_example(format!(
                "{}: wrong answer {attempt:?}",
                request.planned.path
            ));
        }
        let id = attempt.request.as_ref().map(CompactString::as_str);
        if attempt.outcome == ReportedOutcome::NotRun && id.is_some_and(|id| requests.contains(id))
        {
            findings.said_not_run_but_run += 1;
            findings.add_example(format!("{}: not run? {attempt:?}", request.planned.path));
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "runs       {} on record", self.runs)?;
        writeln!(f, "breach     executed twice: {}", self.executed_twice)?;
        writeln!(f, "breach     answered wrongly: {}", self.answered_wrongly)?;
        writeln!(
            f,
            "breach     said not run, but run: {}",
            self.said_not_run_but_run
        )?;
        writeln!(
            f,
            "breach     said done, but not run: {}",
            self.said_done_but_not_run
        )?;
        for example in &self.examples {
            writeln!(f, "example    {example}")?;
        }
        write!(
            f,
            "allowed    repeatable and run again: {}",
            self.repeated_runs
        )
    }
}
