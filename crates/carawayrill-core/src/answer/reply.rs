//! The final answer to a request: a server's answer or a refusal.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;

use crate::answer::refusal::Refusal;
use crate::data;
use crate::id::ServerId;
use crate::outcome::Outcome;
use crate::token::Token;

data! {
    /// One header of an answer.
    pub struct AnswerHeader {
        /// Name in lower case.
        pub name: CompactString,
        /// Value as sent by the server.
        pub value: Bytes,
    }

    /// A complete answer from a server.
    pub struct Answer {
        /// HTTP status.
        pub status: u16,
        /// Headers that are forwarded to the caller.
        pub headers: Vec<AnswerHeader>,
        /// Complete body.
        pub body: Bytes,
        /// The server that answered.
        pub server: ServerId,
        /// The token under which the request was sent.
        pub token: Token,
    }

    /// The final answer to a caller. Each request gets exactly one.
    pub enum Reply {
        /// A server's answer to this request or to the first one with its idempotency key.
        Answer(Arc<Answer>),
        /// A refusal: no server answered.
        Refused(Refusal),
    }
}

impl Answer {
    /// Returns the memory that the answer takes, in bytes.
    #[must_use]
    pub fn size(&self) -> u64 {
        let headers = self
            .headers
            .iter()
            .map(|header| size_of::<AnswerHeader>() + header.name.len() + header.value.len());
        let total = size_of::<Self>() + self.body.len() + headers.sum::<usize>();
        u64::try_from(total).unwrap_or(u64::MAX)
    }
}

impl Reply {
    /// Returns the outcome of the request.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answer(_) => Outcome::Done,
            Self::Refused(refusal) => refusal.outcome(),
        }
    }

    /// Returns the HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(answer) => answer.status,
            Self::Refused(refusal) => refusal.status(),
        }
    }
}
