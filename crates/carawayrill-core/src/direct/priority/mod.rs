//! Priority between the routes that share a service.
//!
//! It is designed for overload by bursts: routes of different priority send together about as many
//! requests as the servers of a service can answer, and up to 2.5 times their usual number for some
//! seconds. A server has 2 to 4 slots, and each of up to 300 fronts sees only a small part of the
//! load. Without this module, the requests of the route with the longest objective fill the queues
//! of the servers, and requests of the others are answered late.
//!
//! [`classes`] finds the services that routes of different priority share; all decisions apply only
//! to these. [`reserve`] decides how long the queue of a server may become for a less urgent
//! request. [`waiting`] decides whether a request that is not sent waits, and [`queue`] in which
//! order the waiting requests are sent. [`shares`] decides how much of the queues each class may use
//! while more urgent requests miss their objective.

pub mod classes;
pub mod queue;
pub mod reserve;
pub mod shares;
pub mod waiting;
