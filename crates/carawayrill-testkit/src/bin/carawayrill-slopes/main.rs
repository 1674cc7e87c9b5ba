//! Measures how the cost of control grows: memory, bytes, processor time and store calls over
//! three sizes each, with the line through them.
//!
//! `cargo run --release -p carawayrill-testkit --bin carawayrill-slopes` prints all slopes. Each
//! measurement runs in a process of its own, so that none finds the memory of another.

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

/// Percent in a whole.
const PERCENT: f64 = 100.0;

/// What to measure.
#[derive(Debug, Clone)]
struct Options {
    /// Measure at this one size and print the bare result.
    size: Option<usize>,
    /// Names of measurements; all if there are none.
    names: Vec<String>,
}

fn options() -> bpaf::OptionParser<Options> {
    let size = bpaf::long("size")
        .help("Measure at this one size, in this process, and print the bare result")
        .argument::<usize>("N")
        .optional();
    let names = bpaf::positional::<String>("NAME")
        .help("Names of measurements; all if there are none")
        .many();
    bpaf::construct!(Options { size, names })
        .to_options()
        .descr("Measures how the cost of control grows with shards, routers and servers.")
        .footer("Exit codes: 0 if all was measured; 1 otherwise.")
}

fn main() -> ExitCode {
    let options = options().run();
    let wanted = |row: &&Measurement| {
        options.names.is_empty() || options.names.iter().any(|name| name == row.name)
    };
    let rows = TABLE.iter().filter(wanted);
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

/// Measures at one size in a process of its own.
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
        .map_err(|err| format!("size {size}: {err}: {text}"))?;
    Ok(Point {
        size: size as f64,
        value,
    })
}
