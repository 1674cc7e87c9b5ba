//! The controller daemon.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use carawayrill_controller::Error;
use carawayrill_controller::leader::Leader;
use carawayrill_controller::leader::PREFIXES;
use carawayrill_controller::lease::LeaseTable;
use carawayrill_controller::service::Service;
use carawayrill_controller::settings::Settings;
use carawayrill_controller::state::State;
use carawayrill_core::event::EventKind;
use carawayrill_core::id::Incarnation;
use carawayrill_core::id::NodeId;
use carawayrill_proto::wire::controller_server::ControllerServer;
use carawayrill_store::http_store::HttpStore;
use carawayrill_store::http_vms::HttpVmList;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tonic::transport::Server;
