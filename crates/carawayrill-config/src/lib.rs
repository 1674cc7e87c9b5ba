//! The configuration of a deployment: from YAML text to checked settings.
//!
//! A deployment is written as one base file and one overlay per site; each data centre is one site.
//! [`ConfigFiles`] holds the text of these files. [`LoadedDeployment`] is the merged and checked
//! deployment with the origin of each value. [`accept`] puts a deployment in force through the
//! store. [`deployment`] has the checked types that the daemons use, [`daemon`] the settings of a
//! single process.
//!
//! # Examples
//!
//! ```
//! use carawayrill_config::ConfigFiles;
//!
//! let base = "
//! name: example
//! region_link: 1Gbit/s
//! data_centres:
//!   north-1: {region: north}
//! services:
//!   forms: {key: header x-form, shards: 16, slots: 4, connections: 20}
//! ";
//! let site = "
//! servers:
//!   forms-1: {service: forms, address: 127.0.0.1:21001}
//! ";
//! let parts = ConfigFiles::new(base).with_site("north-1", site)?;
//! let loaded = parts.check()?;
//! assert_eq!(loaded.deployment.servers.len(), 1);
//! # Ok::<(), carawayrill_config::Error>(())
//! ```

pub mod accept;
mod checker;
mod config_files;
pub mod daemon;
pub mod deployment;
mod entity;
mod error;
mod fields;
mod loaded;
mod ownership;
mod problem;
pub mod schema;
mod settings;
mod text_format;

pub use crate::config_files::ConfigFiles;
pub use crate::error::Error;
pub use crate::loaded::EffectiveValue;
pub use crate::loaded::LoadedDeployment;
pub use crate::loaded::load;
pub use crate::problem::Origin;
pub use crate::problem::Problem;
pub use crate::settings::DEPLOYMENT;
