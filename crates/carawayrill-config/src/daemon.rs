//! The settings of one process: its name, its data centre and its addresses.
//!
//! A process reads them at startup from a YAML file of its own. Everything else is read from the
//! store.

use std::net::SocketAddr;
use std::path::Path;

use carawayrill_core::data;
use carawayrill_core::id::ControllerId;
use carawayrill_core::id::DataCentreId;
use carawayrill_core::id::RouterId;
use carawayrill_core::unit::Span;
use compact_str::CompactString;

use crate::Error;
use crate::Problem;
use crate::config_files::read_text;
use crate::entity::EntityFields;
use crate::entity::file_start;
use crate::fields::FileReader;
use crate::schema::Setting;
use crate::schema::ValueKind;

data! {
    /// The settings of a router daemon.
    pub struct RouterSettings {
        /// Name of the router.
        pub router: RouterId,
        /// Data centre of the process.
        pub data_centre: DataCentreId,
        /// Listen address for requests of callers.
        pub http: SocketAddr,
        /// Listen address for calls of other processes.
        pub peer: SocketAddr,
        /// Root URL of the object store, for example `http://127.0.0.1:20000`.
        pub store: CompactString,
        /// Root URL of the VM list.
        pub vm_list: Option<CompactString>,
        /// UDP address to which metrics are sent.
        pub statsd: Option<SocketAddr>,
        /// Longest time that a planned stop waits for requests in flight.
        pub stop_grace: Span,
        /// Peer addresses of routers that supply the configuration and assignments if the store is
        /// unavailable at startup.
        pub seeds: Vec<SocketAddr>,
    }

    /// The settings of a controller daemon.
    pub struct ControllerSettings {
        /// Name of the controller.
        pub controller: ControllerId,
        /// Data centre of the process.
        pub data_centre: DataCentreId,
        /// Listen address for calls of other processes.
        pub peer: SocketAddr,
        /// Root URL of the object store, for example `http://127.0.0.1:20000`.
        pub store: CompactString,
        /// Root URL of the VM list.
        pub vm_list: Option<CompactString>,
        /// UDP address to which metrics are sent.
        pub statsd: Option<SocketAddr>,
        /// Longest time that a planned stop may take.
        pub stop_grace: Span,
    }
}

/// The largest value of `stop_grace`, in milliseconds.
const MAX_STOP_GRACE_MS: u64 = 600_000;

const DATA_CENTRE: Setting = Setting::base(
    "data_centre",
    ValueKind::Name,
    None,
    "Data centre of the process.",
);
const PEER: Setting = Setting::base(
    "peer",
    ValueKind::Address,
    None,
    "Listen address for calls of other processes.",
);
const STORE: Setting = Setting::base(
    "store",
    ValueKind::Url,
    None,
    "Root URL of the object store.",
);
const VM_LIST: Setting = Setting::base(
    "vm_list",
    ValueKind::Url,
    Some(""),
    "Root URL of the VM list. Without it, the removal of a VM is not known in advance.",
);
const STATSD: Setting = Setting::base(
    "statsd",
    ValueKind::Address,
    Some(""),
    "UDP address to which metrics are sent. Without it, none are sent.",
);
const STOP_GRACE: Setting = Setting::base(
    "stop_grace",
    ValueKind::Span {
        min_ms: 0,
        max_ms: MAX_STOP_GRACE_MS,
    },
    Some("30s"),
    "Longest time that a planned stop waits for requests in flight.",
);

/// All settings of a router daemon.
pub const ROUTER: &[Setting] = &[
    Setting::base("router", ValueKind::Name, None, "Name of the router."),
    DATA_CENTRE,
    Setting::base(
        "http",
        ValueKind::Address,
        None,
        "Listen address for requests of callers.",
    ),
    PEER,
    STORE,
    VM_LIST,
    STATSD,
    STOP_GRACE,
    Setting::base(
        "seeds",
        ValueKind::Addresses,
        Some(""),
        "Peer addresses of other routers. A router that starts while the store is unavailable \
         reads the configuration and the assignments from them.",
    ),
];

/// All settings of a controller daemon.
pub const CONTROLLER: &[Setting] = &[
    Setting::base(
        "controller",
        ValueKind::Name,
        None,
        "Name of the controller.",
    ),
    DATA_CENTRE,
    PEER,
    STORE,
    VM_LIST,
    STATSD,
    STOP_GRACE,
];

/// Reads the settings of a router daemon.
///
/// # Errors
///
/// Fails if the file can't be read or the settings are not valid; the error lists all problems.
pub fn load_router(path: &Path) -> Result<RouterSettings, Error> {
    parse_router(&path.display().to_string(), &read_text(path)?)
}

/// Reads the settings of a controller daemon.
///
/// # Errors
///
/// Fails if the file can't be read or the settings are not valid; the error lists all problems.
pub fn load_controller(path: &Path) -> Result<ControllerSettings, Error> {
    parse_controller(&path.display().to_string(), &read_text(path)?)
}

/// Parses and checks the `text` of a router's settings; problems refer to `file`.
///
/// # Errors
///
/// Fails if the settings are not valid; the error lists all problems.
pub fn parse_router(file: &str, text: &str) -> Result<RouterSettings, Error> {
    parse(file, text, ROUTER, |entity| {
        RouterSettings::try_from(entity)
    })
}

/// Parses and checks the `text` of a controller's settings; problems refer to `file`.
///
/// # Errors
///
/// Fails if the settings are not valid; the error lists all problems.
pub fn parse_controller(file: &str, text: &str) -> Result<ControllerSettings, Error> {
    parse(file, text, CONTROLLER, |entity| {
        ControllerSettings::try_from(entity)
    })
}

/// Parses a file that has fields at the root only, and converts it with `make`.
fn parse<T>(
    file: &str,
    text: &str,
    table: &[Setting],
    make: impl Fn(&EntityFields<'_>) -> Result<T, Problem>,
) -> Result<T, Error> {
    let mut reader = FileReader::new(file, table, false);
    let fields = reader.read(text);
    let mut problems = reader.problems;
    if reader.unreadable {
        return Err(Error::problems(problems));
    }
    let entity = EntityFields {
        table,
        path: String::new(),
        layers: vec![&fields],
        origin: file_start(file),
    };
    problems.extend(entity.missing_fields());
    match make(&entity) {
        Ok(settings) if problems.is_empty() => Ok(settings),
        Ok(_) => Err(Error::problems(problems)),
        Err(problem) => {
            problems.push(problem);
            Err(Error::problems(problems))
        }
    }
}

impl TryFrom<&EntityFields<'_>> for RouterSettings {
    type Error = Problem;

    fn try_from(entity: &EntityFields<'_>) -> Result<Self, Problem> {
        Ok(Self {
            router: entity.get("router")?,
            data_centre: entity.get("data_centre")?,
            http: entity.get("http")?,
            peer: entity.get("peer")?,
            store: entity.get("store")?,
            vm_list: entity.get_optional("vm_list")?,
            statsd: entity.get_optional("statsd")?,
            stop_grace: entity.get("stop_grace")?,
            seeds: parse_addresses(&entity.get::<CompactString>("seeds")?),
        })
    }
}

/// Parses a list of addresses that has already been checked.
fn parse_addresses(list: &str) -> Vec<SocketAddr> {
    list.split_whitespace()
        .filter_map(|text| text.parse().ok())
        .collect()
}

impl TryFrom<&EntityFields<'_>> for ControllerSettings {
    type Error = Problem;

    fn try_from(entity: &EntityFields<'_>) -> Result<Self, Problem> {
        Ok(Self {
            controller: entity.get("controller")?,
            data_centre: entity.get("data_centre")?,
            peer: entity.get("peer")?,
            store: entity.get("store")?,
            vm_list: entity.get_optional("vm_list")?,
            statsd: entity.get_optional("statsd")?,
            stop_grace: entity.get("stop_grace")?,
        })
    }
}
