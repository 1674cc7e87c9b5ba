//! The file `.generation` of a deployment's directory, which has the generation that the files are
//! based on.

use std::fs;
use std::path::Path;

use carawayrill_core::id::Generation;

use crate::error::Error;

/// The name of the file.
const NAME: &str = ".generation";

/// Reads the generation that the files in `dir` are based on; 0 if there is no file `.generation`.
pub fn read(dir: &Path) -> Result<Generation, Error> {
    let path = dir.join(NAME);
    if !path.exists() {
        return Ok(Generation(0));
    }
    let text = fs::read_to_string(&path)
        .map_err(|err| Error::invalid(format!("{}: {err}", path.display())))?;
    text.trim()
        .parse()
        .map_err(|err| Error::invalid(format!("{}: {err}", path.display())))
}

/// Writes the generation that the files in `dir` are based on.
pub fn write(dir: &Path, generation: Generation) -> Result<(), Error> {
    let path = dir.join(NAME);
    fs::write(&path, format!("{generation}\n"))
        .map_err(|err| Error::invalid(format!("{}: {err}", path.display())))
}
