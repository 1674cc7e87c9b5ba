//! Decisions of carawayrill: who owns a key, who sends to its owner, what a caller is told.
//!
//! This crate holds tables, one per kind of entity, and the systems that run over them. Nothing
//! here does I/O or reads a clock: time, input and randomness are passed in, actions are returned.
//! A recorded trace thus replays exactly.
//!
//! # Examples
//!
//! The fencing token of a standby home lies between two stored terms:
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
