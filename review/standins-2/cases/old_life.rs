//! OWNER: a server has started again under its id, at another address. A beat of its former lifetime
//! got no answer, and the store carries it out some seconds later.

use std::time::Duration;

use super::BEAT;
use super::Deployment;
use super::KEYED;
use super::Verdict;
use super::keyed_call;
use super::record_outcomes;
use crate::fronts::Load;
use crate::record::Record;

const WORK: Duration = Duration::from_millis(30);
/// OWNER: "Two servers that are up hold the same keys for over half a second".
const MAX_OVERLAP_MS: u64 = 500;
/// When the first lifetime ends, and how long the server is down.
const END_AFTER_MS: u64 = 8_000;
const DOWN_MS: u64 = 500;
/// How long after it was sent the unanswered beat is carried out: 1 to 6 s.
const LATE_MS: u64 = 5_200;
const WATCHED_MS: u64 = 6_000;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let deployment = Deployment::start(3, 6, 3, WORK, record)?;
    let load = Load::start(deployment.front_addresses(), 40, keyed_call, record);
    let started = record.ms();
    deployment.wait_until_ms(started + END_AFTER_MS);
    let first = deployment.servers.lock().unwrap()[2].clone();
    if first.grants().is_empty() {
        return Err(format!("{} holds no keys", first.name()));
    }
    // The last beat of the first lifetime.
    let beat = first.next_entry();
    let sent = record.ms();
    if trouble {
        record.line(&format!(
            "{}: writes its entry; the store does not answer: {}",
            first.name(),
            beat.write()
        ));
    } else {
        deployment.store.put("servers", first.id(), &beat);
        record.line(&format!("{}: writes its entry", first.name()));
    }
    first.crash();
    deployment.wait_until_ms(sent + DOWN_MS);
    let second = deployment.server(first.id(), 2, KEYED, true, WORK)?;
    second.report(&deployment.store, BEAT);
    record.line(&format!("{}: writes its entry", second.name()));
    deployment.wait_until_ms(sent + LATE_MS);
    let held = second.grants();
    if held.is_empty() {
        return Err(format!("{} holds no keys", second.name()));
    }
    record.line(&format!("{} holds {held:?}", second.name()));
    if trouble {
        deployment.store.put("servers", first.id(), &beat);
        record.line("the store carries out the unanswered write of life 1");
    }
    deployment.wait_until_ms(sent + LATE_MS + WATCHED_MS);
    let outcomes = load.stop();
    record_outcomes(&outcomes, record);
    let mut worst: Option<(u64, String)> = None;
    for overlap in deployment.owners.overlaps() {
        let lasted = overlap.to_ms - overlap.from_ms;
        let both_ran = overlap.servers.iter().all(|name| {
            let servers = deployment.servers.lock().unwrap().clone();
            let named = servers.iter().filter(|server| server.name() == *name);
            named.flat_map(|server| server.runs()).any(|run| {
                run.key
                    .is_some_and(|key| (overlap.first..=overlap.last).contains(&key))
                    && (overlap.from_ms..=overlap.to_ms).contains(&run.at_ms)
            })
        });
        let text = format!(
            "{} under {} and {} under {} held {}-{} at the same time for {lasted} ms, from {} to {}; both began requests on these keys then: {both_ran}",
            overlap.servers[0],
            overlap.fences[0],
            overlap.servers[1],
            overlap.fences[1],
            overlap.first,
            overlap.last,
            overlap.from_ms,
            overlap.to_ms
        );
        record.line(&text);
        let is_broken = lasted > MAX_OVERLAP_MS || both_ran;
        if is_broken && worst.as_ref().is_none_or(|(known, _)| lasted > *known) {
            worst = Some((lasted, text));
        }
    }
    Ok(worst.map(|(_, text)| format!("OWNER: {text}")))
}
