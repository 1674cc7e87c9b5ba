//! Valid settings: the values read from them, and the origin of each value.

use std::path::PathBuf;

use carawayrill_config::DEPLOYMENT;
use carawayrill_config::LoadedDeployment;
use carawayrill_config::daemon::parse_controller;
use carawayrill_config::daemon::parse_router;
use carawayrill_config::load;
use carawayrill_config::schema::find;
use insta::assert_json_snapshot;
use insta::assert_snapshot;
use rstest::rstest;

/// Loads one of the deployments in `deploy/`.
fn load_deployment(name: &str) -> LoadedDeployment {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    load(&dir.join(name)).expect("deployment")
}

#[rstest]
#[case("ledgerwell", "mids-east-1", "forms")]
#[case("chikushi", "fukuoka-1", "schedules")]
fn deployments_have_the_declared_sizes(
    #[case] name: &str,
    #[case] site: &str,
    #[case] largest: &str,
) {
    let whole = load_deployment(name).deployment;
    assert_eq!(whole.data_centres.len(), 6);
    assert_eq!(whole.services.len(), 4);
    assert_eq!(whole.servers.len(), 50);
    for service in &whole.services {
        let of_service = |server: &&_| is_of(server, service.id.as_str());
        let count = whole.servers.iter().filter(of_service).count();
        let wanted = if service.id.as_str() == largest {
            20
        } else {
            10
        };
        assert_eq!(count, wanted, "{}", service.id);
    }
    let site = site.try_into().expect("site");
    assert_json_snapshot!(format!("{name}_at_site"), whole.at_site(&site).services);
}

/// Returns whether a server belongs to a service.
fn is_of(server: &carawayrill_config::deployment::Server, service: &str) -> bool {
    server.service.as_str() == service
}

#[test]
fn origin_of_each_value_is_shown() {
    let values = load_deployment("ledgerwell").effective_values();
    let lines: Vec<String> = values.iter().map(ToString::to_string).collect();
    assert_snapshot!("ledgerwell_shown", lines.join("\n"));
}

#[test]
fn only_the_adjusted_site_differs() {
    let whole = load_deployment("ledgerwell").deployment;
    let there = whole.at_site(&"mids-east-1".try_into().expect("site"));
    let elsewhere = whole.at_site(&"north-west-2".try_into().expect("site"));
    assert_eq!(elsewhere.services, whole.services);
    let differ = there
        .services
        .iter()
        .zip(&whole.services)
        .filter(|(a, b)| a != b);
    assert_eq!(differ.count(), 1);
}

#[test]
fn daemon_settings_are_read() {
    let router = "router: r1\ndata_centre: north-1\nhttp: 127.0.0.1:8000\npeer: '[::1]:8001'\nstore: http://127.0.0.1:20000\n";
    let controller = "controller: c1\ndata_centre: north-1\npeer: 127.0.0.1:8002\nstore: http://127.0.0.1:20000\nvm_list: http://127.0.0.1:20100\nstatsd: 127.0.0.1:8125\nstop_grace: 5s\n";
    assert_json_snapshot!(
        "daemons",
        (
            parse_router("router.yaml", router).expect("router"),
            parse_controller("controller.yaml", controller).expect("controller"),
        )
    );
}

#[test]
fn defaults_have_the_form_of_their_setting() {
    for setting in DEPLOYMENT {
        let name = setting.path.replace('*', "x");
        assert!(find(DEPLOYMENT, &name).is_some(), "{name}");
        let is_valid = setting
            .default
            .is_none_or(|text| setting.kind.accepts(text));
        assert!(is_valid, "{name}");
    }
}
