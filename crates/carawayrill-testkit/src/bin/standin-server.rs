//! Process that runs one or more stand-in servers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use carawayrill_core::id::ServerId;
use carawayrill_testkit::process;
use carawayrill_testkit::server;
use carawayrill_testkit::server::Settings;

/// One server of this process, parsed from `id=address`.
#[derive(Debug, Clone)]
struct ServerSpec {
    id: ServerId,
    address: SocketAddr,
}

impl FromStr for ServerSpec {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (id, address) = text.split_once('=').ok_or("expected `id=address`")?;
        Ok(Self {
            id: id.parse().map_err(|err| format!("{err}"))?,
            address: address.parse().map_err(|err| format!("{err}"))?,
        })
    }
}

/// Command-line arguments.
#[derive(Debug, Clone)]
struct Args {
    server: Vec<ServerSpec>,
    slots: u32,
    queue: u32,
    connections: usize,
    service_ms: u64,
    cold_start_ms: u64,
    no_fencing: bool,
    record_file: Option<PathBuf>,
}

/// Returns an option with a number and a default value.
fn number<T>(name: &'static str, help: &'static str, default: T) -> impl Parser<T>
where
    T: FromStr<Err: std::fmt::Display> + std::fmt::Display + Clone + 'static,
{
    long(name)
        .help(help)
        .argument::<T>("N")
        .fallback(default)
        .display_fallback()
}

fn args() -> OptionParser<Args> {
    let server = long("server")
        .help("Server and its listen address, such as `forms-1=127.0.0.1:7101`; may be repeated")
        .argument("ID=ADDRESS")
        .some("at least one --server is needed");
    let slots = number(
        "slots",
        "Number of requests that a server runs at the same time",
        6,
    );
    let queue = number(
        "queue",
        "Number of requests that a server queues; it sheds requests beyond it",
        64,
    );
    let connections = number(
        "connections",
        "Number of connections that a server accepts",
        130,
    );
    let service_ms = number(
        "service-ms",
        "Service time of a request, in milliseconds",
        1,
    );
    let cold_start_ms = number(
        "cold-start-ms",
        "Time after its start in which a server is slower, in milliseconds",
        0,
    );
    let no_fencing = long("no-fencing")
        .help("Don't check fencing tokens: accept all orders and run all requests")
        .switch();
    let record_file = long("record-file")
        .help("File to which all executions are also recorded, one JSON object per line")
        .argument("FILE")
        .optional();
    construct!(Args {
        server,
        slots,
        queue,
        connections,
        service_ms,
        cold_start_ms,
        no_fencing,
        record_file,
    })
    .to_options()
    .descr("Stands in for servers that own keys under fenced grants")
    .version(env!("CARGO_PKG_VERSION"))
}

impl Args {
    fn settings(&self, id: ServerId) -> Settings {
        Settings {
            id,
            slots: self.slots,
            queue: self.queue,
            connections: self.connections,
            service_time: Duration::from_millis(self.service_ms),
            cold_start: Duration::from_millis(self.cold_start_ms),
            fencing: !self.no_fencing,
        }
    }
}

fn main() -> ExitCode {
    let args = args().run();
    process::main("standin-server", async move {
        let mut running = Vec::new();
        for spec in &args.server {
            let listener = process::listen(spec.address).await?;
            let (server, running_server) = server::start(listener, args.settings(spec.id.clone()))?;
            if let Some(path) = &args.record_file {
                server.record_to(path)?;
            }
            running.push(running_server);
        }
        process::run_until_stopped(running).await
    })
}
