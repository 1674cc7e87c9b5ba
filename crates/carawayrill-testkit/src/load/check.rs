//! Checks the outcomes that callers received against the servers' records of runs.

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

/// The maximum number of violations that are kept as examples.
const MAX_EXAMPLES: usize = 5;

/// The result of the check. Each count but `runs` and `repeated_runs` is of violations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Findings {
    /// Runs in the servers' records.
    pub runs: usize,
    /// Requests with an idempotency key that ran more than once.
    pub executed_twice: usize,
    /// Responses that are malformed or belong to another request.
    pub answered_wrongly: usize,
    /// Attempts that were reported as not run, but ran.
    pub said_not_run_but_run: usize,
    /// Requests that were reported as done, but never ran.
    pub said_done_but_not_run: usize,
    /// Requests without an idempotency key that ran more than once, which is allowed.
    pub repeated_runs: usize,
    /// Descriptions of the first few violations.
    pub examples: Vec<String>,
}

impl Findings {
    /// Returns whether there are no violations.
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

/// Fetches the records of the servers at `addresses`.
///
/// # Errors
///
/// Returns an error if a server can't be reached or its response is malformed.
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
    let failed = |err: reqwest::Error| Error::http(format!("records of server {address}: {err}"));
    let resp = client.get(url).send().await.map_err(failed)?;
    resp.json().await.map_err(failed)
}

/// Reads the records that servers wrote to a file, one JSON object per line. Lines that can't be
/// parsed are skipped, since a killed server may leave a truncated last line.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub fn records_in(path: &Path) -> Result<Vec<Run>, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|err| Error::settings(format!("could not read {}: {err}", path.display())))?;
    let runs = text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    Ok(runs.collect())
}

/// Checks all finished requests against the recorded runs. Set `complete` if `runs` holds the
/// records of all servers; a response without a run is then a violation.
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

/// Checks the number of times that a request ran.
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
        findings.add_example(format!("{path} was reported as done, but never ran"));
    }
}

/// Checks the response and reported outcome of each attempt of a request.
fn check_attempts(request: &FinishedRequest, requests: &HashSet<&str>, findings: &mut Findings) {
    for attempt in &request.attempts {
        if attempt.mismatched {
            findings.answered_wrongly += 1;
            findings.add_example(format!(
                "{}: mismatched response {attempt:?}",
                request.planned.path
            ));
        }
        let id = attempt.request.as_ref().map(CompactString::as_str);
        if attempt.outcome == ReportedOutcome::NotRun && id.is_some_and(|id| requests.contains(id))
        {
            findings.said_not_run_but_run += 1;
            findings.add_example(format!(
                "{}: reported as not run, but ran: {attempt:?}",
                request.planned.path
            ));
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "runs       {} recorded", self.runs)?;
        writeln!(f, "violation  executed twice: {}", self.executed_twice)?;
        writeln!(
            f,
            "violation  mismatched response: {}",
            self.answered_wrongly
        )?;
        writeln!(
            f,
            "violation  reported as not run, but run: {}",
            self.said_not_run_but_run
        )?;
        writeln!(
            f,
            "violation  reported as done, but not run: {}",
            self.said_done_but_not_run
        )?;
        for example in &self.examples {
            writeln!(f, "example    {example}")?;
        }
        write!(
            f,
            "allowed    repeatable, run more than once: {}",
            self.repeated_runs
        )
    }
}
