//! The settings file of the daemon.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use carawayrill_core::data;
use carawayrill_core::id::ControllerId;
use serde::Deserialize;

use crate::Error;

data! {
    /// The settings of one controller daemon.
    pub struct Settings {
        /// Its name.
        pub name: ControllerId,
        /// Where it listens for other processes, and the address they reach it under.
        pub peer: SocketAddr,
        /// Where the platform's store answers.
        pub store: SocketAddr,
        /// Where the platform's list of VMs answers, if there is one.
        #[serde(default)]
        pub vms: Option<SocketAddr>,
        /// Where metrics go by statsd, if anywhere.
        #[serde(default)]
        pub statsd: Option<SocketAddr>,
    }
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or a setting has the wrong form.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|err| Error::settings(path, err))?;
        let document = serde_yaml_ng::Deserializer::from_str(&text);
        Self::deserialize(document).map_err(|err| Error::settings(path, err))
    }
}
