//! Findings on the times of leases and grants.

/// A time that breaks the order in which the plan's times must stand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingFault {
    /// Name of the setting.
    pub setting: &'static str,
    /// Value of the setting.
    pub value: String,
    /// What was expected, with its unit.
    pub expected: String,
}
