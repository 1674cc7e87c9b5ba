//! The outcome of a request, as reported to the caller.

use std::fmt;
use std::str::FromStr;

use crate::Error;
use crate::small_data;

small_data! {
    /// The outcome of a request.
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// The server responded, and the complete response was forwarded.
        Done,
        /// The request certainly did not run: it was never written to a server, or the server
        /// refused it without running it.
        NotRun,
        /// The request may have run, but its response is lost.
        Unknown,
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for Outcome {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "done" => Ok(Self::Done),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(Error::syntax(
                "Outcome",
                text,
                "`done`, `not-run` or `unknown`",
            )),
        }
    }
}
