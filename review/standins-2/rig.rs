//! Stand-ins of the platform for the scripts in `review/6` to `review/10`: the store, the servers and
//! the clients, and the processes of the fronts. It uses the standard library only, so that `rustc`
//! builds it without a network.
//!
//! `rig CASE OUT_DIR` runs one case from the root of the repository and writes `OUT_DIR/record.txt`.
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment it leaves the disruption out.

#![allow(dead_code)]

mod cases;
mod fronts;
mod http;
mod json;
mod record;
mod servers;
mod store;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(out)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: rig CASE OUT_DIR");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(out);
    record.line(&format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let verdict = cases::run(case, trouble, &record);
    let code = match &verdict {
        Ok(None) => 0,
        Ok(Some(_)) => 1,
        Err(_) => 2,
    };
    match verdict {
        Ok(None) => record.line("VERDICT: the rule held"),
        Ok(Some(broken)) => record.line(&format!("VERDICT: broken: {broken}")),
        Err(err) => record.line(&format!("VERDICT: the case could not run: {err}")),
    }
    std::process::exit(code);
}
