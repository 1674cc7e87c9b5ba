//! Process that stands in for the platform's object store.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::long;
use carawayrill_store::memory::MemoryStore;
use carawayrill_testkit::process;
use carawayrill_testkit::store;

/// Parses the listen address from the command line.
fn address() -> SocketAddr {
    long("listen")
        .help("Address to listen on")
        .argument("ADDRESS")
        .to_options()
        .descr("Stands in for the platform's object store: versions, updates, watches, faults")
        .version(env!("CARGO_PKG_VERSION"))
        .run()
}

fn main() -> ExitCode {
    let address = address();
    process::main("standin-store", async move {
        let listener = process::listen(address).await?;
        process::run_until_stopped(vec![store::start(listener, MemoryStore::new())?]).await
    })
}
