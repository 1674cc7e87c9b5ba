//! `timeline`: merges the events of several processes in causal order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::io::Read;
use std::io::stdin;
use std::path::Path;
use std::process::ExitCode;

use carawayrill_core::event::Event;
use carawayrill_core::id::NodeId;
use carawayrill_core::time::WallTime;
use serde_json::Value;

use crate::cli::TimelineArgs;
use crate::error::Error;
use crate::output::print_line;
use crate::timeline_filter::Filter;
use crate::utc::format_utc;

/// The fields that are printed before the others.
const LEADING_FIELDS: &[&str] = &["at", "node", "seq", "event"];

/// One event of a log.
#[derive(Debug)]
pub struct Line {
    /// The parsed event.
    pub event: Event,
    /// The event as JSON.
    pub json: Value,
}

/// Lines and events that are missing from the timeline.
#[derive(Debug, Default)]
struct InputDefects {
    skipped_lines: usize,
    missing_events: BTreeMap<NodeId, u64>,
}

/// Runs the subcommand.
pub fn run(args: &TimelineArgs) -> Result<ExitCode, Error> {
    let filter = Filter::try_from(args)?;
    let mut defects = InputDefects::default();
    let mut lines = Vec::new();
    for file in &args.files {
        let text = read(file)?;
        let found = parse_events(&text, &mut defects);
        count_gaps(&found, &mut defects);
        lines.extend(found);
    }
    lines.sort_by(|a, b| {
        let a = (a.event.at, &a.event.node, a.event.seq);
        a.cmp(&(b.event.at, &b.event.node, b.event.seq))
    });
    for line in filter.apply(lines) {
        if args.json {
            print_line(&line.json);
        } else {
            print_line(&format_event(&line));
        }
    }
    print_warnings(&defects);
    Ok(ExitCode::SUCCESS)
}

/// Reads a whole file, or standard input for `-`.
fn read(file: &Path) -> Result<String, Error> {
    let fail = |err: std::io::Error| Error::invalid(format!("{}: {err}", file.display()));
    let mut bytes = Vec::new();
    if file.as_os_str() == "-" {
        stdin().read_to_end(&mut bytes).map_err(fail)?;
    } else {
        bytes = fs::read(file).map_err(fail)?;
    }
    // A line may have been truncated within a character.
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Parses the events of one file. Lines that are not events are counted.
fn parse_events(text: &str, defects: &mut InputDefects) -> Vec<Line> {
    let mut found = Vec::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match parse_event(line) {
            Some(line) => found.push(line),
            None => defects.skipped_lines += 1,
        }
    }
    found
}

/// Parses one line; `None` if it is not an event.
fn parse_event(line: &str) -> Option<Line> {
    let json: Value = serde_json::from_str(line).ok()?;
    let event = serde_json::from_value(json.clone()).ok()?;
    Some(Line { event, json })
}

/// Counts the events that are missing between others of one incarnation of a process.
///
/// Threads of a process may write their events in a different order than that of their numbers, so
/// the numbers of a whole incarnation are compared together. An incarnation begins with number 0.
fn count_gaps(lines: &[Line], defects: &mut InputDefects) {
    let mut incarnations: BTreeMap<&NodeId, Vec<BTreeSet<u64>>> = BTreeMap::new();
    for line in lines {
        let event = &line.event;
        let incarnations = incarnations.entry(&event.node).or_default();
        if event.seq == 0 || incarnations.is_empty() {
            incarnations.push(BTreeSet::new());
        }
        if let Some(numbers) = incarnations.last_mut() {
            numbers.insert(event.seq);
        }
    }
    for (node, incarnations) in incarnations {
        let missing: u64 = incarnations.iter().map(count_missing).sum();
        if missing > 0 {
            *defects.missing_events.entry(node.clone()).or_default() += missing;
        }
    }
}

/// Returns how many numbers are missing between the first and the last.
fn count_missing(numbers: &BTreeSet<u64>) -> u64 {
    let (Some(first), Some(last)) = (numbers.first(), numbers.last()) else {
        return 0;
    };
    last - first + 1 - numbers.len() as u64
}

/// Prints warnings about skipped lines and missing events to standard error.
fn print_warnings(defects: &InputDefects) {
    if defects.skipped_lines > 0 {
        eprintln!(
            "warning: skipped {} lines that are not events or are truncated",
            defects.skipped_lines
        );
    }
    for (node, count) in &defects.missing_events {
        eprintln!("warning: {count} events of {node} are missing between other events");
    }
}

/// Formats an event as text: time, counter, process, event and its fields.
fn format_event(line: &Line) -> String {
    let event = &line.event;
    let fields = line.json.as_object();
    let fields = fields.into_iter().flatten();
    let fields = fields.filter(|(name, _)| !LEADING_FIELDS.contains(&name.as_str()));
    let fields: Vec<String> = fields
        .filter(|(_, value)| !value.is_null())
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        })
        .collect();
    format!(
        "{}+{:<3} {:<18} {:<17} {}",
        format_utc(WallTime(event.at.wall)),
        event.at.count,
        event.node.as_str(),
        line.json["event"].as_str().unwrap_or_default(),
        fields.join(" ")
    )
    .trim_end()
    .to_owned()
}
