//! Output of commands to standard output.

use std::fmt::Display;
use std::io::Write;
use std::io::stdout;

/// Prints one line. A closed pipe, as left by `head`, is not an error.
pub fn print_line(line: &dyn Display) {
    drop(writeln!(stdout(), "{line}"));
}

/// Prints a JSON value on one line.
pub fn print_json(value: &serde_json::Value) {
    print_line(value);
}

/// Prints rows as columns. The first row is the header, which is not printed without other rows.
pub fn print_table(rows: &[Vec<String>]) {
    if rows.len() < 2 {
        return;
    }
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(String::len).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        print_line(&format!("  {}", line.join("  ").trim_end()));
    }
}
