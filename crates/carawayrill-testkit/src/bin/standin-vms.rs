//! Process that stands in for the platform's list of VMs.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use carawayrill_store::port::VmState;
use carawayrill_testkit::process;
use carawayrill_testkit::vms;
use carawayrill_testkit::vms::VmListStandIn;

/// Command-line arguments.
#[derive(Debug, Clone)]
struct Args {
    listen: SocketAddr,
    lag_ms: u64,
    vm: Vec<String>,
}

fn args() -> OptionParser<Args> {
    let listen = long("listen")
        .help("Address to listen on")
        .argument("ADDRESS");
    let lag_ms = long("lag-ms")
        .help("Delay until a change is visible in the list, in milliseconds")
        .argument("N")
        .fallback(0)
        .display_fallback();
    let vm = long("vm")
        .help("VM that is live at the start; may be repeated")
        .argument("NAME")
        .many();
    construct!(Args { listen, lag_ms, vm })
        .to_options()
        .descr("Stands in for the platform's list of VMs")
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    let args = args().run();
    process::main("standin-vms", async move {
        let listener = process::listen(args.listen).await?;
        let list = VmListStandIn::new(Duration::from_millis(args.lag_ms));
        for name in &args.vm {
            list.set(name, VmState::Live);
        }
        process::run_until_stopped(vec![vms::start(listener, list)?]).await
    })
}
