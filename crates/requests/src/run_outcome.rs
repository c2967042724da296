//! Outcome of a request as reported to its caller.

use crate::prelude::*;

/// Whether a request ran that got no answer from its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request did not run and will not run.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
}

impl RunOutcome {
    /// Returns the text used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "no",
            Self::Ran => "yes",
            Self::Unknown => "unknown",
        }
    }
}

impl Display for RunOutcome {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for RunOutcome {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        [Self::NotRun, Self::Ran, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
            .ok_or(())
    }
}
