//! The controller daemon `carawayrill-controller`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use carawayrill_config::daemon;

/// Exit code if the settings are invalid or the address can't be bound.
const EXIT_START: u8 = 2;

fn options() -> bpaf::OptionParser<PathBuf> {
    bpaf::long("settings")
        .short('s')
        .help("The YAML file with this process's name, data centre and addresses")
        .argument::<PathBuf>("FILE")
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Assigns keys to servers and writes the assignments to the store.")
        .footer("Exit codes: 0 after a planned stop (SIGTERM, SIGINT); 2 if it could not start.")
}

#[tokio::main]
async fn main() -> ExitCode {
    let path = options().run();
    let settings = match daemon::load_controller(&path) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(EXIT_START);
        }
    };
    match carawayrill_controller::run::run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(EXIT_START)
        }
    }
}
