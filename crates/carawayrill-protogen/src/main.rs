//! Generates the Rust code of the protocols between the system's own processes.
//!
//! Run it from the root of the workspace after a change to a proto file:
//!
//! ```text
//! cargo run -p carawayrill-protogen
//! ```
//!
//! It needs no `protoc`, because the `protox` library compiles the proto files.

use std::error::Error;

/// The directory of the proto files.
const PROTO_DIR: &str = "crates/carawayrill-proto/proto";
/// The directory of the generated code.
const OUT_DIR: &str = "crates/carawayrill-proto/src/generated";

fn main() -> Result<(), Box<dyn Error>> {
    let files = protox::compile(["peer.proto", "granter.proto"], [PROTO_DIR])?;
    tonic_prost_build::configure()
        .out_dir(OUT_DIR)
        .bytes(".")
        .emit_rerun_if_changed(false)
        .compile_fds(files)?;
    Ok(())
}
