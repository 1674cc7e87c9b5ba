//! The decision logic of carawayrill: which server owns a key, which router sends requests to that
//! server, and which outcome a caller receives.
//!
//! Nothing in this crate does I/O or reads a clock. Time, input and randomness are passed in, and
//! actions are returned, so that a recorded trace replays exactly.
//!
//! # Examples
//!
//! The term of a standby home lies between two stored terms:
//!
//! ```
//! use carawayrill_core::token::Term;
//! use carawayrill_core::token::Token;
//!
//! let stored = Token::new(4, 1);
//! let reserved = Token { term: stored.term.reserved(), ..stored };
//! assert!(reserved > stored);
//! assert!(reserved.term < stored.term.next_stored());
//! assert_eq!(Term(5), reserved.term);
//! ```

pub mod answer;
pub mod assignment;
pub mod direct;
mod error;
pub mod event;
pub mod hlc;
pub mod hot;
pub mod id;
mod macros;
pub mod measure;
pub mod object;
pub mod order;
pub mod outcome;
pub mod ownership;
pub mod placement;
pub mod replay;
pub mod route;
pub mod time;
pub mod token;
pub mod unit;

pub use crate::error::Error;
