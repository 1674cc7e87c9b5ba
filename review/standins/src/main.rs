//! Stand-ins of clients, servers and the platform for the review, one case for each name.
//!
//! `standins CASE FOLDER` is run in the repository's root. It writes `record.txt` to the folder and
//! exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment it leaves the disruption out.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

mod entry;
mod front;
mod http;
mod json;
mod memory;
mod platform;
mod record;
mod refused;
mod server;
mod store;
mod sys;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::Path;
use std::process::exit;

use crate::record::Record;

/// What a case has found.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: standins CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    front::limit_length();
    let record = Record::new();
    let run = || match case.as_str() {
        "entry" => entry::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        "refused" => refused::run(&record, trouble),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let verdict = catch_unwind(AssertUnwindSafe(run))
        .unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in failed".into()));
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("the rule held: {text}")),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record.add(text.clone());
    record.write(&Path::new(folder).join("record.txt"));
    println!("{text}");
    exit(code);
}
