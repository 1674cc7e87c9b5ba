//! The final answer to a request.

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
        /// Its name, in lower case.
        pub name: CompactString,
        /// Its value.
        pub value: Bytes,
    }

    /// The whole answer of a server.
    pub struct Answer {
        /// The HTTP status.
        pub status: u16,
        /// The headers that are passed on.
        pub headers: Vec<AnswerHeader>,
        /// The whole body.
        pub body: Bytes,
        /// The server that answered.
        pub server: ServerId,
        /// The token that the request was sent under.
        pub token: Token,
    }

    /// What a caller gets. A request gets exactly one.
    pub enum Reply {
        /// A server's whole answer, to this request or to the first one with its idempotency key.
        Answer(Arc<Answer>),
        /// No answer of a server.
        Refused(Refusal),
    }
}

impl Answer {
    /// Returns the bytes of memory that the answer takes.
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
    /// Returns what the caller is told of the request.
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
