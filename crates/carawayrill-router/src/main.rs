//! The router daemon `carawayrill-router`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use carawayrill_config::daemon;

/// The exit code if the settings are invalid or a listener could not be opened.
const EXIT_START: u8 = 2;

fn options() -> bpaf::OptionParser<PathBuf> {
    bpaf::long("settings")
        .short('s')
        .help("The YAML file with this process's name, data centre and addresses")
        .argument::<PathBuf>("FILE")
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Routes requests to the servers that own their keys.")
        .footer("Exit codes: 0 after a planned stop (SIGTERM, SIGINT); 2 if it could not start.")
}

#[tokio::main]
async fn main() -> ExitCode {
    let path = options().run();
    let settings = match daemon::load_router(&path) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(EXIT_START);
        }
    };
    match carawayrill_router::run::run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(EXIT_START)
        }
    }
}
