//! The files of a deployment as text.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use carawayrill_core::id::DataCentreId;
use compact_str::CompactString;
use compact_str::format_compact;

use crate::Error;
use crate::LoadedDeployment;
use crate::Origin;
use crate::Problem;

/// The name of the base file.
pub(crate) const BASE_FILE: &str = "base.yaml";
/// The directory of the overlays.
const SITES_DIR: &str = "sites";
/// The file name extension of overlays.
const YAML: &str = "yaml";

/// The text of a base file and of its overlays.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigFiles {
    /// Text of the base file.
    pub base: String,
    /// Text of each overlay, by site.
    pub sites: BTreeMap<DataCentreId, String>,
}

impl ConfigFiles {
    /// Creates the files of a deployment without overlays.
    #[must_use]
    pub fn new(base: impl Into<String>) -> Self {
        Self {
            base: base.into(),
            sites: BTreeMap::new(),
        }
    }

    /// Adds the overlay of a site.
    ///
    /// # Errors
    ///
    /// Fails if `site` is not a valid name of a data centre.
    pub fn with_site(mut self, site: &str, text: impl Into<String>) -> Result<Self, Error> {
        let id = site_id(site)?;
        self.sites.insert(id, text.into());
        Ok(self)
    }

    /// Reads `base.yaml` and `sites/*.yaml` below `dir`.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or an overlay's name is not a valid name of a data centre.
    pub fn read(dir: &Path) -> Result<Self, Error> {
        let mut files = Self::new(read_text(&dir.join(BASE_FILE))?);
        for path in overlay_paths(&dir.join(SITES_DIR))? {
            let site = path.file_stem().map(|stem| stem.to_string_lossy());
            let text = read_text(&path)?;
            files = files.with_site(&site.unwrap_or_default(), text)?;
        }
        Ok(files)
    }

    /// Writes the files below `dir`, and removes all other overlays there.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written.
    pub fn write(&self, dir: &Path) -> Result<(), Error> {
        let sites = dir.join(SITES_DIR);
        fs::create_dir_all(&sites).map_err(|err| Error::file(&sites, err))?;
        for path in overlay_paths(&sites)? {
            let stem = path
                .file_stem()
                .map(|stem| stem.to_string_lossy().into_owned());
            let kept = self
                .sites
                .keys()
                .any(|id| Some(id.as_str()) == stem.as_deref());
            if !kept {
                fs::remove_file(&path).map_err(|err| Error::file(&path, err))?;
            }
        }
        write_text(&dir.join(BASE_FILE), &self.base)?;
        for (site, text) in &self.sites {
            write_text(&dir.join(site_file(site).as_str()), text)?;
        }
        Ok(())
    }

    /// Merges and checks the files.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid; the error lists all problems.
    pub fn check(&self) -> Result<LoadedDeployment, Error> {
        LoadedDeployment::try_from(self)
    }
}

/// Returns the file name of a site's overlay.
pub(crate) fn site_file(site: &DataCentreId) -> CompactString {
    format_compact!("{SITES_DIR}/{site}.{YAML}")
}

/// Parses the name of a site.
fn site_id(site: &str) -> Result<DataCentreId, Error> {
    DataCentreId::try_from(site).map_err(|err| {
        let origin = Origin {
            file: format_compact!("{SITES_DIR}/{site}.{YAML}"),
            line: 1,
            column: 1,
        };
        Error::problems(vec![Problem::new(
            &origin,
            "",
            format!("invalid file name: {err}"),
        )])
    })
}

/// Lists the overlays in `dir`, sorted. A missing directory counts as empty.
fn overlay_paths(dir: &Path) -> Result<Vec<PathBuf>, Error> {
    if !dir.exists() {
        return Ok(Vec::new());
    }
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir).map_err(|err| Error::file(dir, err))? {
        let path = entry.map_err(|err| Error::file(dir, err))?.path();
        if path.extension().is_some_and(|extension| extension == YAML) {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// Reads a text file.
pub(crate) fn read_text(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|err| Error::file(path, err))
}

/// Writes a text file, unless it already has this text.
fn write_text(path: &Path, text: &str) -> Result<(), Error> {
    if fs::read_to_string(path).is_ok_and(|old| old == text) {
        return Ok(());
    }
    fs::write(path, text).map_err(|err| Error::file(path, err))
}
