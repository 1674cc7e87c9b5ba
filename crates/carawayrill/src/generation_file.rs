//! The file `.generation` beside the files of a deployment: which generation they start from.

use std::fs;
use std::path::Path;

use carawayrill_core::id::Generation;

use crate::error::Error;

/// The name of the file.
const NAME: &str = ".generation";

/// Reads the generation that the files in `dir` start from; 0 if they are new.
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

/// Writes the generation that the files in `dir` start from.
pub fn write(dir: &Path, generation: Generation) -> Result<(), Error> {
    let path = dir.join(NAME);
    fs::write(&path, format!("{generation}\n"))
        .map_err(|err| Error::invalid(format!("{}: {err}", path.display())))
}
