//! Faults in the durations of leases and grants.

/// A duration or drift whose value is out of bounds or contradicts another setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingFault {
    /// Name of the setting.
    pub setting: &'static str,
    /// Value of the setting.
    pub value: String,
    /// Expected value, with its unit.
    pub expected: String,
}
