//! Free loopback ports.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::fleet::Error;

/// The first port that is given out.
const FIRST_PORT: u32 = 23_000;
/// How many ports there are. They stay below the range out of which the system takes the ports of
/// outgoing connections: a router that starts again has to find its port free.
const PORT_COUNT: u32 = 9_000;
/// How far apart the searches of two processes start.
const PROCESS_STRIDE: u32 = 131;

static NEXT_STEP: AtomicU32 = AtomicU32::new(0);

/// Finds a free loopback port, another one at each call. Another process may take it before it is
/// used; the start of ours then fails with a clear error.
///
/// # Errors
///
/// Fails if there is no free port.
pub fn free_address() -> Result<SocketAddr, Error> {
    for _ in 0..PORT_COUNT {
        let step = NEXT_STEP.fetch_add(1, Ordering::Relaxed);
        let offset = process::id()
            .wrapping_mul(PROCESS_STRIDE)
            .wrapping_add(step)
            % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset)?;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".into())
}
