//! Shared code of the stand-ins' `main` functions: setup, listening and graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use carawayrill_core::event::EventKind;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::NodeId;
use carawayrill_telemetry::emit;
use carawayrill_telemetry::wall_now;
use tokio::net::TcpListener;

use crate::serve;
use crate::serve::RunningEndpoint;

/// Runs `work` on a new runtime. Logs its error, if any, and returns the exit code.
pub fn main<F>(node: &str, work: F) -> ExitCode
where
    F: Future<Output = io::Result<()>>,
{
    match run(node, work) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn run<F>(node: &str, work: F) -> io::Result<()>
where
    F: Future<Output = io::Result<()>>,
{
    let id: NodeId = node.parse().map_err(io::Error::other)?;
    carawayrill_telemetry::init(id).map_err(io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(work)
}

/// Listens on `address`.
///
/// # Errors
///
/// Returns an error that names the address if it is in use or not local.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let with_address = |err| io::Error::other(format!("could not listen on {address}: {err}"));
    TcpListener::bind(address).await.map_err(with_address)
}

/// Logs that the process has started, waits for a stop signal, and shuts all endpoints down
/// gracefully.
///
/// # Errors
///
/// Returns an error if signals can't be received or an endpoint failed.
pub async fn run_until_stopped(running: Vec<RunningEndpoint>) -> io::Result<()> {
    for endpoint in &running {
        log::info!("listening on {}", endpoint.address);
    }
    emit(EventKind::Started {
        role: "stand-in".into(),
        incarnation: Incarnation(wall_now().0),
    });
    serve::wait_for_stop_signal().await?;
    emit(EventKind::Stopping { in_flight: 0 });
    for endpoint in running {
        endpoint.stop().await?;
    }
    emit(EventKind::Stopped { cut_off: 0 });
    Ok(())
}
