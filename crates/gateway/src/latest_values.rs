//! The latest values of a kind, to recognise those that come again.

use std::collections::VecDeque;

/// At most `MAX` values, oldest first.
#[derive(Debug)]
pub(crate) struct LatestValues<T, const MAX: usize> {
    values: VecDeque<T>,
}

impl<T, const MAX: usize> Default for LatestValues<T, MAX> {
    fn default() -> Self {
        Self {
            values: VecDeque::new(),
        }
    }
}

impl<T, const MAX: usize> LatestValues<T, MAX> {
    /// Remembers a value; forgets the oldest one if there are too many.
    pub(crate) fn record(&mut self, value: T) {
        if self.values.len() >= MAX {
            self.values.pop_front();
        }
        self.values.push_back(value);
    }

    /// Whether the value is among the latest ones.
    pub(crate) fn contains<V>(&self, value: &V) -> bool
    where
        T: PartialEq<V>,
        V: ?Sized,
    {
        self.values.iter().any(|known| known == value)
    }
}
