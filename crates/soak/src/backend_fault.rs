//! What a server does wrong.

use crate::prelude::*;

/// What a server does to answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum BackendFault {
    /// Nothing.
    #[default]
    None,
    /// Breaks each fourth one off midway.
    Cutting,
    /// Never gives each fourth one.
    Hanging,
    /// Never gives any.
    Silent,
    /// Fails each fourth request.
    Failing,
    /// Works so many times as long.
    Slow(u32),
}

impl BackendFault {
    /// One at random.
    pub(crate) fn random(rng: &mut StdRng) -> Self {
        let all = [Self::Cutting, Self::Hanging, Self::Failing, Self::Slow(4)];
        all[rng.random_range(0..all.len())]
    }
}
