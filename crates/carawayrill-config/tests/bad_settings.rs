//! Invalid settings and the problems that are reported for them.

use std::fmt::Write;

use carawayrill_config::ConfigFiles;
use carawayrill_config::daemon::parse_controller;
use carawayrill_config::daemon::parse_router;
use insta::assert_snapshot;

/// A valid base file.
const BASE: &str = "\
name: example
region_link: 1Gbit/s
data_centres:
  north-1: {region: north}
  south-1: {region: south}
services:
  forms:
    key: header x-form
    shards: 16
    slots: 4
    connections: 20
";

/// A valid overlay.
const SITE: &str = "\
servers:
  forms-1: {service: forms, address: 127.0.0.1:21001}
";

/// Each case has a name, a text of the base file, its replacement, and the overlay.
const BASES: &[(&str, &str, &str, &str)] = &[
    (
        "unknown field at the root",
        "name: example",
        "nane: example",
        SITE,
    ),
    ("unknown field of a service", "slots: 4", "slot: 4", SITE),
    (
        "missing unit",
        "region_link: 1Gbit/s",
        "region_link: 1000",
        SITE,
    ),
    (
        "invalid unit",
        "slots: 4",
        "slots: 4\n    warm_up: 3 days",
        SITE,
    ),
    ("number out of range", "shards: 16", "shards: 0", SITE),
    (
        "number too large for its type",
        "shards: 16",
        "shards: 99999999999",
        SITE,
    ),
    ("negative number", "slots: 4", "slots: -4", SITE),
    (
        "mapping in place of a value",
        "slots: 4",
        "slots: {a: 4}",
        SITE,
    ),
    (
        "value in place of a mapping",
        "  north-1: {region: north}",
        "  north-1: north",
        SITE,
    ),
    (
        "list in place of a mapping",
        "  north-1: {region: north}",
        "  north-1: [north]",
        SITE,
    ),
    (
        "empty entity",
        "  north-1: {region: north}",
        "  north-1: {}",
        SITE,
    ),
    ("invalid name", "north-1: {", "North_1!: {", SITE),
    (
        "key written twice",
        "slots: 4",
        "slots: 4\n    slots: 5",
        SITE,
    ),
    (
        "two documents in one file",
        "slots: 4",
        "slots: 4\n---\nname: other",
        SITE,
    ),
    ("truncated text", "region: south}", "region: south", SITE),
    ("tab", "  forms:", "\tforms:", SITE),
    ("anchor", "region: north", "region: &a north", SITE),
    ("missing shards", "    shards: 16\n", "", SITE),
    ("invalid key", "header x-form", "cookie x-form", SITE),
    ("invalid path segment", "header x-form", "path first", SITE),
    (
        "incomplete choice",
        "slots: 4",
        "slots: 4\n    on_store_outage: hold",
        SITE,
    ),
    (
        "hold without unit",
        "slots: 4",
        "slots: 4\n    on_store_outage: hold 15",
        SITE,
    ),
    (
        "hold under authority",
        "slots: 4",
        "slots: 4\n    on_store_outage: hold 1s",
        SITE,
    ),
    (
        "default deadline above the maximum",
        "slots: 4",
        "slots: 4\n    default_deadline: 1min",
        SITE,
    ),
    (
        "claim window too short",
        "slots: 4",
        "slots: 4\n    claim_window: 10s",
        SITE,
    ),
    (
        "inconsistent timing",
        "name: example",
        "name: example\ntiming: {grant_ttl: 3s, renew_every: 900ms, check_every: 2s}",
        SITE,
    ),
    (
        "two servers with one address",
        "",
        "",
        "servers:\n  a: {service: forms, address: 127.0.0.1:1}\n  b: {service: forms, address: 127.0.0.1:1}\n",
    ),
    (
        "server twice in one file",
        "",
        "",
        "servers:\n  a: {service: forms, address: 127.0.0.1:1}\n  a: {service: forms, address: 127.0.0.1:2}\n",
    ),
    (
        "server in base and overlay",
        "name: example",
        "name: example\nservers:\n  forms-1: {service: forms, address: 127.0.0.1:1, data_centre: south-1}",
        SITE,
    ),
    (
        "server in an unknown data centre",
        "name: example",
        "name: example\nservers:\n  s: {service: forms, address: 127.0.0.1:1, data_centre: west-1}",
        SITE,
    ),
    (
        "server of an unknown service",
        "",
        "",
        "servers:\n  a: {service: froms, address: 127.0.0.1:1}\n",
    ),
    (
        "address without port",
        "",
        "",
        "servers:\n  a: {service: forms, address: 127.0.0.1}\n",
    ),
    (
        "address with a host name",
        "",
        "",
        "servers:\n  a: {service: forms, address: localhost:21001}\n",
    ),
    (
        "port 0",
        "",
        "",
        "servers:\n  a: {service: forms, address: 127.0.0.1:0}\n",
    ),
    (
        "overlay sets a base setting",
        "",
        "",
        "services: {forms: {shards: 32}}\n",
    ),
    (
        "overlay holds longer than the base",
        "",
        "",
        "services: {forms: {on_store_outage: hold 1min}}\n",
    ),
    (
        "overlay adjusts an unknown service",
        "",
        "",
        "services: {froms: {queue_limit: 3}}\n",
    ),
    (
        "overlay moves its server",
        "",
        "",
        "servers:\n  a: {service: forms, address: 127.0.0.1:1, data_centre: south-1}\n",
    ),
    ("overlay is a list", "", "", "- servers\n"),
    (
        "several problems at once",
        "slots: 4",
        "slots: none\n    warm_up: 3",
        "servers:\n  a: {service: froms, address: here}\nextra: 1\n",
    ),
];

#[test]
fn wrong_deployments_are_refused() {
    let mut output = String::new();
    for (what, old, new, site) in BASES {
        let base = if old.is_empty() {
            BASE.to_owned()
        } else {
            assert!(BASE.contains(old), "{what}: nothing to replace");
            BASE.replacen(old, new, 1)
        };
        let files = ConfigFiles::new(base)
            .with_site("north-1", *site)
            .expect("site");
        let outcome = match files.check() {
            Ok(_) => "ACCEPTED".to_owned(),
            Err(err) => err.to_string(),
        };
        writeln!(output, "## {what}\n{outcome}\n").expect("write");
    }
    assert!(!output.contains("ACCEPTED"), "{output}");
    assert_snapshot!("wrong_deployments", output);
}

#[test]
fn missing_parts_are_refused() {
    let mut output = String::new();
    let empty = ConfigFiles::new("# nothing\n")
        .check()
        .expect_err("empty base");
    writeln!(output, "## empty base\n{empty}\n").expect("write");
    let undeclared = ConfigFiles::new(BASE)
        .with_site("west-1", SITE)
        .expect("site");
    let err = undeclared.check().expect_err("unknown site");
    writeln!(output, "## overlay of an undeclared site\n{err}\n").expect("write");
    let err = ConfigFiles::new(BASE)
        .with_site("West 1", SITE)
        .expect_err("site");
    writeln!(output, "## overlay with an invalid name\n{err}").expect("write");
    assert_snapshot!("missing_parts", output);
}

#[test]
fn wrong_daemon_settings_are_refused() {
    let valid = "router: r1\ndata_centre: north-1\nhttp: 127.0.0.1:8000\npeer: 127.0.0.1:8001\nstore: http://127.0.0.1:20000\n";
    let cases = [
        ("empty", String::new()),
        ("unknown field", format!("{valid}port: 3\n")),
        ("store without scheme", valid.replace("http://", "")),
        ("grace without unit", format!("{valid}stop_grace: 30\n")),
        ("grace too long", format!("{valid}stop_grace: 3h\n")),
        ("statsd by name", format!("{valid}statsd: metrics:8125\n")),
        ("mapping", valid.replace("r1", "{name: r1}")),
    ];
    let mut output = String::new();
    for (what, text) in cases {
        let err = parse_router("router.yaml", &text).expect_err(what);
        writeln!(output, "## {what}\n{err}\n").expect("write");
    }
    let err = parse_controller("controller.yaml", valid).expect_err("controller");
    writeln!(output, "## a router's settings for a controller\n{err}").expect("write");
    assert_snapshot!("wrong_daemon_settings", output);
}
