//! Measures how the cost of the control plane grows with the size of the deployment.
//!
//! Measures memory, bytes, processor time and store calls at three sizes each and fits a line to
//! them.
//!
//! `cargo run --release -p carawayrill-testkit --bin carawayrill-slopes` prints all slopes. Each
//! measurement runs in its own process, so that memory use of one does not affect another.

use std::process::Command;
use std::process::ExitCode;

use bpaf::Parser;

mod control;
mod fleet;
mod line;
mod memory;
mod messages;
mod meter;
mod table;

use crate::line::Line;
use crate::line::Point;
use crate::table::Measurement;
use crate::table::TABLE;

const PERCENT: f64 = 100.0;

/// Command-line options.
#[derive(Debug, Clone)]
struct Options {
    /// Only size to measure; the result is then printed as a bare number.
    size: Option<usize>,
    /// Names of the measurements; empty for all.
    names: Vec<String>,
}

fn options() -> bpaf::OptionParser<Options> {
    let size = bpaf::long("size")
        .help("Measure only this size, in this process, and print a bare number")
        .argument::<usize>("N")
        .optional();
    let names = bpaf::positional::<String>("NAME")
        .help("Names of the measurements; all by default")
        .many();
    bpaf::construct!(Options { size, names })
        .to_options()
        .descr("Measures how the cost of the control plane grows with shards, routers and servers.")
        .footer("Exit codes: 0 if all measurements succeeded; 1 otherwise.")
}

fn main() -> ExitCode {
    let options = options().run();
    let is_selected = |row: &&Measurement| {
        options.names.is_empty() || options.names.iter().any(|name| name == row.name)
    };
    let rows = TABLE.iter().filter(is_selected);
    if let Some(size) = options.size {
        for row in rows {
            println!("{}", (row.run)(size));
        }
        return ExitCode::SUCCESS;
    }
    println!("| measurement | unit | n | at n | line | off by at most |");
    println!("|---|---|---|---|---|---|");
    let mut code = ExitCode::SUCCESS;
    for row in rows {
        if let Err(reason) = print_row(row) {
            eprintln!("{}: {reason}", row.name);
            code = ExitCode::FAILURE;
        }
    }
    code
}

/// Measures one row at all its sizes and prints it.
fn print_row(row: &Measurement) -> Result<(), String> {
    let points = row.sizes.iter().map(|&size| measure(row, size));
    let points: Vec<Point> = points.collect::<Result<_, _>>()?;
    let line = Line::fit(&points);
    let values: Vec<String> = points
        .iter()
        .map(|point| format!("{}: {:.1}", point.size, point.value))
        .collect();
    println!(
        "| {} | {} | {} | {} | {line} | {:.0}% |",
        row.name,
        row.unit,
        row.size_unit,
        values.join(", "),
        line.max_relative_error(&points) * PERCENT,
    );
    Ok(())
}

/// Measures at one size in a child process.
fn measure(row: &Measurement, size: usize) -> Result<Point, String> {
    let program = std::env::current_exe().map_err(|err| err.to_string())?;
    let output = Command::new(program)
        .args(["--size", &size.to_string(), row.name])
        .output()
        .map_err(|err| err.to_string())?;
    let text = String::from_utf8_lossy(&output.stdout);
    let value = text
        .trim()
        .parse()
        .map_err(|err| format!("could not parse the result for size {size}: {err}: {text}"))?;
    Ok(Point {
        size: size as f64,
        value,
    })
}
