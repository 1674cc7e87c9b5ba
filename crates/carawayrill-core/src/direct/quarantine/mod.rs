//! Keeps requests from servers that crash each server that runs them.
//!
//! A caller repeats a request that fails, and each repetition may reach another front and another
//! server. Fronts therefore remember under which requests servers crashed, and tell each other
//! through the granter. A request that has crashed several servers, one after the other, and that no
//! server has answered since, is refused.
//!
//! A server that crashes takes all its requests with it. What distinguishes the cause from the others
//! is that these are answered elsewhere: one answer ends all suspicion. Crashes at the same time
//! count once, since a failure that hits many servers at once is not the request's doing.
//!
//! Copies of one request that are sent at the same time crash several servers and count once, or crash
//! one server that had no need to get them all. As soon as several copies were lost, the request is
//! suspect: one front sends one copy at a time, and the others pass theirs on to it or hold them.

mod fingerprint;
mod history;
mod table;

pub use self::fingerprint::Fingerprint;
pub use self::fingerprint::Fingerprints;
pub use self::fingerprint::RequestContent;
pub use self::history::Crash;
pub use self::table::Admission;
pub use self::table::CrashReport;
pub use self::table::CrashTable;
pub use self::table::ReportedCrash;
pub use self::table::Scope;
