//! `fetch`: writes the files in force to a directory.

use std::process::ExitCode;

use carawayrill_config::accept::fetch_files;
use serde_json::json;

use crate::cli::DirArgs;
use crate::error::Error;
use crate::generation_file;
use crate::output::print_json;
use crate::output::print_line;
use crate::utc::format_utc;

/// Runs the subcommand.
pub async fn run(args: &DirArgs) -> Result<ExitCode, Error> {
    let store = args.store.connect()?;
    let Some((head, files)) = fetch_files(&store).await? else {
        return Err(Error::refused(
            "the store has no configuration yet; create one with `carawayrill apply DIR`",
        ));
    };
    files.write(&args.dir)?;
    generation_file::write(&args.dir, head.generation)?;
    if args.json {
        print_json(&json!({"generation": head.generation, "by": head.by, "at": head.at}));
    } else {
        print_line(&format!(
            "wrote generation {}, accepted {} by {}, to {}",
            head.generation,
            format_utc(head.at),
            head.by,
            args.dir.display()
        ));
    }
    Ok(ExitCode::SUCCESS)
}
