//! Prints the tables of `docs/CONFIGURATION.md`.
//!
//! `cargo run -p carawayrill-config --example settings_tables`

use carawayrill_config::DEPLOYMENT;
use carawayrill_config::daemon::CONTROLLER;
use carawayrill_config::daemon::ROUTER;
use carawayrill_config::schema::markdown_table;

fn main() {
    for table in [DEPLOYMENT, ROUTER, CONTROLLER] {
        println!("{}", markdown_table(table));
    }
}
