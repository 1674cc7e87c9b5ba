//! Checks that the operators' documentation lists every setting.

use std::fs;
use std::path::Path;

use carawayrill_config::DEPLOYMENT;
use carawayrill_config::daemon::CONTROLLER;
use carawayrill_config::daemon::ROUTER;
use carawayrill_config::schema::markdown_table;

#[test]
fn page_has_every_setting() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CONFIGURATION.md");
    let page = fs::read_to_string(path).expect("docs/CONFIGURATION.md");
    for table in [DEPLOYMENT, ROUTER, CONTROLLER] {
        for line in markdown_table(table).lines() {
            let is_there = page.lines().any(|found| found == line);
            assert!(
                is_there,
                "not in the page; generate it with the example settings_tables:\n{line}"
            );
        }
    }
}
