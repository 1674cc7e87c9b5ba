//! Stand-ins of the users' platform, and the scenarios of the cases in `review/11` to `review/15`.
//!
//! `rig SCENARIO RECORD` is run in the root of the repository. It writes the file RECORD and exits with 1 if
//! a rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves out the
//! disruption.

mod front;
mod http;
mod json;
mod kept_connections;
mod late_stop;
mod server;
mod stale_peer;
mod store;
mod world;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (Some(scenario), Some(file)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: rig SCENARIO RECORD");
        exit(2);
    };
    let mut record = world::Record::new(file, scenario, trouble);
    let verdict = match scenario.as_str() {
        "kept-connections" => kept_connections::run(&mut record, trouble),
        "late-stop" => late_stop::run(&mut record, trouble),
        "stale-peer" => stale_peer::run(&mut record, trouble),
        _ => Err(format!("no scenario {scenario}")),
    };
    let code = match verdict {
        Ok(broken) if broken.is_empty() => {
            record.line("verdict: the rule held".into());
            0
        }
        Ok(broken) => {
            for one in &broken {
                record.line(format!("broken: {one}"));
            }
            1
        }
        Err(reason) => {
            record.line(format!("could not run: {reason}"));
            2
        }
    };
    println!("{scenario}: exit {code}; see {file}");
    exit(code);
}
