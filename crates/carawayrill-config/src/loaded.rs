//! A merged and checked deployment, with the origin of each value.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use carawayrill_core::id::DataCentreId;

use crate::ConfigFiles;
use crate::Error;
use crate::Origin;
use crate::checker::Checker;
use crate::config_files::BASE_FILE;
use crate::config_files::site_file;
use crate::deployment::Deployment;
use crate::entity::file_start;
use crate::fields::Fields;
use crate::fields::FileReader;
use crate::fields::join_path;
use crate::schema::Setting;
use crate::settings::DEPLOYMENT;

/// The values of all files of a deployment.
#[derive(Debug, Clone, Default)]
pub(crate) struct FileValues {
    /// The values of the base file.
    pub(crate) base: Fields,
    /// The values of each overlay, by site.
    pub(crate) sites: BTreeMap<DataCentreId, Fields>,
}

/// A checked deployment with the origins of its values.
#[derive(Debug, Clone)]
pub struct LoadedDeployment {
    /// The merged deployment.
    pub deployment: Deployment,
    values: FileValues,
}

/// One effective value and its origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveValue {
    /// Site whose overlay has the value; `None` for the base file.
    pub site: Option<DataCentreId>,
    /// Path of the setting.
    pub path: String,
    /// Value as written in the file.
    pub value: String,
    /// Position in the file; `None` for a default.
    pub origin: Option<Origin>,
}

/// Reads, merges and checks `base.yaml` and `sites/*.yaml` below `dir`.
///
/// # Errors
///
/// Fails if a file can't be read or the settings are not valid; the error lists all problems.
pub fn load(dir: &Path) -> Result<LoadedDeployment, Error> {
    ConfigFiles::read(dir)?.check()
}

impl TryFrom<&ConfigFiles> for LoadedDeployment {
    type Error = Error;

    fn try_from(files: &ConfigFiles) -> Result<Self, Error> {
        let mut problems = Vec::new();
        let mut unreadable = false;
        let mut read = |file: &str, text: &str, overlay: bool| {
            let mut reader = FileReader::new(file, DEPLOYMENT, overlay);
            let fields = reader.read(text);
            problems.append(&mut reader.problems);
            unreadable |= reader.unreadable;
            fields
        };
        let base = read(BASE_FILE, &files.base, false);
        let sites = files
            .sites
            .iter()
            .map(|(site, text)| (site.clone(), read(&site_file(site), text, true)))
            .collect();
        if unreadable {
            // The other files may refer to entities in the unreadable file.
            return Err(Error::problems(problems));
        }
        let values = FileValues { base, sites };
        let deployment = Checker::new(&values, problems).check()?;
        Ok(Self { deployment, values })
    }
}

impl LoadedDeployment {
    /// Returns the origin of the value at `path` in the base file, or the start of that file.
    pub(crate) fn origin(&self, path: &str) -> Origin {
        let written = self.values.base.get(path);
        written.map_or_else(|| file_start(BASE_FILE), |value| value.origin.clone())
    }

    /// Returns every effective value with its origin: first those of the base file with its
    /// defaults, then those of each overlay.
    #[must_use]
    pub fn effective_values(&self) -> Vec<EffectiveValue> {
        let mut effective: Vec<EffectiveValue> = DEPLOYMENT
            .iter()
            .flat_map(|setting| self.base_values(setting))
            .collect();
        for (site, fields) in &self.values.sites {
            effective.extend(fields.values.iter().map(|(path, value)| EffectiveValue {
                site: Some(site.clone()),
                path: path.clone(),
                value: value.text.clone(),
                origin: Some(value.origin.clone()),
            }));
        }
        effective
    }

    /// Returns the values of one setting in the base file.
    fn base_values(&self, setting: &Setting) -> Vec<EffectiveValue> {
        let paths = match setting.path.split_once(".*.") {
            None => vec![setting.path.to_owned()],
            Some((section, name)) => self
                .values
                .base
                .names(section)
                .keys()
                .map(|entity| join_path(&join_path(section, entity), name))
                .collect(),
        };
        paths
            .into_iter()
            .filter_map(|path| self.base_value(setting, path))
            .collect()
    }

    /// Returns the value at `path` in the base file, or the default of its setting.
    fn base_value(&self, setting: &Setting, path: String) -> Option<EffectiveValue> {
        let written = self.values.base.get(&path);
        let value = match written {
            Some(value) => value.text.clone(),
            None => setting.default?.to_owned(),
        };
        Some(EffectiveValue {
            site: None,
            path,
            value,
            origin: written.map(|value| value.origin.clone()),
        })
    }
}

impl fmt::Display for EffectiveValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(site) = &self.site {
            write!(f, "[{site}] ")?;
        }
        write!(f, "{} = {}", self.path, self.value)?;
        match &self.origin {
            Some(origin) => write!(f, "  # {}:{}", origin.file, origin.line),
            None => f.write_str("  # default"),
        }
    }
}
