//! The settings of one process: its name, its place and its addresses.
//!
//! They are written in a small YAML file of their own and read at the start. Everything else a
//! daemon learns from the store.

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
        /// Its name.
        pub router: RouterId,
        /// Where it stands.
        pub data_centre: DataCentreId,
        /// Where it takes requests of callers.
        pub http: SocketAddr,
        /// Where it takes calls of other processes.
        pub peer: SocketAddr,
        /// The root of the object store, as in `http://127.0.0.1:20000`.
        pub store: CompactString,
        /// The root of the VM list.
        pub vm_list: Option<CompactString>,
        /// Where metrics go.
        pub statsd: Option<SocketAddr>,
        /// How long a planned stop waits for requests in flight.
        pub stop_grace: Span,
        /// Routers to ask for the configuration and assignments if the store is away at the start.
        pub seeds: Vec<SocketAddr>,
    }

    /// The settings of a controller daemon.
    pub struct ControllerSettings {
        /// Its name.
        pub controller: ControllerId,
        /// Where it stands.
        pub data_centre: DataCentreId,
        /// Where it takes calls of other processes.
        pub peer: SocketAddr,
        /// The root of the object store, as in `http://127.0.0.1:20000`.
        pub store: CompactString,
        /// The root of the VM list.
        pub vm_list: Option<CompactString>,
        /// Where metrics go.
        pub statsd: Option<SocketAddr>,
        /// How long a planned stop may take.
        pub stop_grace: Span,
    }
}

/// The longest grace of a planned stop, in milliseconds.
const MAX_STOP_GRACE_MS: u64 = 600_000;

const DATA_CENTRE: Setting = Setting::base(
    "data_centre",
    ValueKind::Name,
    None,
    "Data centre that the process stands in.",
);
const PEER: Setting = Setting::base(
    "peer",
    ValueKind::Address,
    None,
    "Where it takes calls of other processes.",
);
const STORE: Setting = Setting::base("store", ValueKind::Url, None, "Root of the object store.");
const VM_LIST: Setting = Setting::base(
    "vm_list",
    ValueKind::Url,
    Some(""),
    "Root of the VM list. Without it, leaving VMs are not seen in advance.",
);
const STATSD: Setting = Setting::base(
    "statsd",
    ValueKind::Address,
    Some(""),
    "Where metrics go, by UDP. Without it they go nowhere.",
);
const STOP_GRACE: Setting = Setting::base(
    "stop_grace",
    ValueKind::Span {
        min_ms: 0,
        max_ms: MAX_STOP_GRACE_MS,
    },
    Some("30s"),
    "How long a planned stop waits for requests in flight.",
);

/// All settings of a router daemon.
pub const ROUTER: &[Setting] = &[
    Setting::base("router", ValueKind::Name, None, "Name of the router."),
    DATA_CENTRE,
    Setting::base(
        "http",
        ValueKind::Address,
        None,
        "Where it takes requests of callers.",
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
        "Peer addresses of some other routers. A router that starts while the store is away takes \
         the configuration and the assignments from them.",
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
/// Fails if the file can't be read, or with all problems found.
pub fn load_router(path: &Path) -> Result<RouterSettings, Error> {
    parse_router(&path.display().to_string(), &read_text(path)?)
}

/// Reads the settings of a controller daemon.
///
/// # Errors
///
/// Fails if the file can't be read, or with all problems found.
pub fn load_controller(path: &Path) -> Result<ControllerSettings, Error> {
    parse_controller(&path.display().to_string(), &read_text(path)?)
}

/// Checks the `text` of a router's settings; problems name the `file`.
///
/// # Errors
///
/// Fails with all problems found.
pub fn parse_router(file: &str, text: &str) -> Result<RouterSettings, Error> {
    parse(file, text, ROUTER, |entity| {
        RouterSettings::try_from(entity)
    })
}

/// Checks the `text` of a controller's settings; problems name the `file`.
///
/// # Errors
///
/// Fails with all problems found.
pub fn parse_controller(file: &str, text: &str) -> Result<ControllerSettings, Error> {
    parse(file, text, CONTROLLER, |entity| {
        ControllerSettings::try_from(entity)
    })
}

/// Reads a file with fields at the root only, and makes its checked type.
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

/// Splits a list that has been checked to hold addresses only.
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
