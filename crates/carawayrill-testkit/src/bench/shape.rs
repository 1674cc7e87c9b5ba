//! Shapes of deployments for experiments, written as settings files with free ports.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use carawayrill_config::deployment::Deployment;

use crate::fleet::Error;
use crate::fleet::free_address;

/// One service of a shape.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShape {
    /// Name of the service.
    pub name: &'static str,
    /// Name of the header that carries the key.
    pub header: &'static str,
    /// Which requests may be retried, as in the settings.
    pub repeat: &'static str,
    /// Number of slots of each server.
    pub slots: u32,
    /// Behaviour of a home router while the store is down, as in the settings.
    pub on_store_outage: &'static str,
}

/// Size and settings of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shape {
    /// Names of the data centres with the names of their regions.
    pub data_centres: Vec<(&'static str, &'static str)>,
    /// Services; each has `servers` servers in each data centre.
    pub services: Vec<ServiceShape>,
    /// Number of servers of each service in each data centre.
    pub servers: u32,
    /// Number of shards of each service.
    pub shards: u32,
    /// Block `timing` of the settings, as YAML.
    pub timing: &'static str,
}

/// Block `timing` of the Ledgerwell deployment.
pub const LEDGERWELL_TIMING: &str = "
timing:
  grant_ttl: 1500ms
  renew_every: 300ms
  authority: 2s
  check_every: 500ms
  server_silence: 1s
  router_silence: 1s
  heartbeat_every: 300ms
  controller_lease: 2s
  drift_ppm: 500
";

impl Shape {
    /// Returns a shape with three data centres in two regions and two servers in each data centre,
    /// for one service whose requests with safe methods may be retried.
    #[must_use]
    pub fn small() -> Self {
        Self {
            data_centres: vec![("east-1", "east"), ("east-2", "east"), ("west-1", "west")],
            services: vec![ServiceShape {
                name: "forms",
                header: "x-form",
                repeat: "safe_methods",
                slots: 6,
                on_store_outage: "hold 15min",
            }],
            servers: 2,
            shards: 24,
            timing: LEDGERWELL_TIMING,
        }
    }

    /// Writes the settings files to `dir`, reads them back and validates them.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written or the settings are invalid.
    pub fn write(&self, dir: &Path) -> Result<Deployment, Error> {
        fs::create_dir_all(dir.join("sites"))?;
        fs::write(dir.join("base.yaml"), self.base_yaml())?;
        for (name, _region) in &self.data_centres {
            let path = dir.join("sites").join(format!("{name}.yaml"));
            fs::write(path, self.site_yaml(name)?)?;
        }
        Ok(carawayrill_config::load(dir)?.deployment)
    }

    fn base_yaml(&self) -> String {
        let mut text = String::from("name: bench\nregion_link: 4000Mbit/s\ndata_centres:\n");
        for (name, region) in &self.data_centres {
            push_line(&mut text, &format!("  {name}: {{region: {region}}}"));
        }
        push_line(&mut text, "services:");
        for service in &self.services {
            push_line(&mut text, &format!("  {}:", service.name));
            for (field, value) in self.service_fields(service) {
                push_line(&mut text, &format!("    {field}: {value}"));
            }
        }
        text.push_str(self.timing);
        text
    }

    fn service_fields(&self, service: &ServiceShape) -> Vec<(&'static str, String)> {
        vec![
            ("key", format!("header {}", service.header)),
            ("shards", self.shards.to_string()),
            ("slots", service.slots.to_string()),
            ("connections", "130".to_owned()),
            ("repeat", service.repeat.to_owned()),
            ("claim_window", "1h".to_owned()),
            ("default_deadline", "2s".to_owned()),
            ("max_deadline", "15s".to_owned()),
            ("warm_up", "0s".to_owned()),
            ("on_store_outage", service.on_store_outage.to_owned()),
        ]
    }

    fn site_yaml(&self, data_centre: &str) -> Result<String, Error> {
        let mut text = String::from("servers:\n");
        for service in &self.services {
            for index in 0..self.servers {
                let address = free_address()?;
                let name = service.name;
                push_line(
                    &mut text,
                    &format!(
                        "  {name}-{data_centre}-{index}: {{service: {name}, address: {address}}}"
                    ),
                );
            }
        }
        Ok(text)
    }
}

fn push_line(text: &mut String, line: &str) {
    // Writing to a string can't fail.
    let _written = writeln!(text, "{line}");
}
