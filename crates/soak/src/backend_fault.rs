//! Faults of a simulated server.

use crate::prelude::*;

/// Fault of a simulated server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum BackendFault {
    /// Answers normally.
    #[default]
    None,
    /// Closes the connection halfway through the body of every fourth answer.
    Cutting,
    /// Leaves every fourth request unanswered.
    Hanging,
    /// Leaves all requests unanswered.
    Silent,
    /// Answers every fourth request with status 500.
    Failing,
    /// Executes every fourth request and then sends, in place of its answer, the rejection of the
    /// request before it again. Answers each release at once with the answer to the one before it.
    Repeating,
    /// Rejects every other request. Executes one that comes again on the connection of its rejection,
    /// and then sends that rejection again in place of the answer.
    RepeatingRejections,
    /// Sends every fourth answer without an end, until the other side closes the connection.
    Endless,
    /// Multiplies the service time by this factor.
    Slow(u32),
    /// Leaves all grants and releases of keys unanswered and does not carry them out.
    SilentOrders,
}

impl BackendFault {
    /// Draws a random fault that disturbs some requests.
    pub(crate) fn random(rng: &mut StdRng) -> Self {
        let all = [
            Self::Cutting,
            Self::Hanging,
            Self::Failing,
            Self::Endless,
            Self::Slow(4),
        ];
        all[rng.random_range(0..all.len())]
    }
}
