//! Settings of the memory for requests and answers, and of the time that bodies take.

use crate::{prelude::*, setting_readers::read_optional_number};
use geraniummast_settings::SettingError;
use std::ops::RangeInclusive;

/// Settings of the memory for requests and answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MemorySettings {
    /// Memory of the machine, in MiB, if it is known.
    machine_mib: Option<usize>,
    /// Memory for requests and answers, in MiB, if it is not a share of the machine's.
    request_mib: Option<usize>,
    /// Longest time without progress of a body.
    pub(crate) stall_timeout: Duration,
    /// Least mean rate of a body, in bytes per second.
    pub(crate) min_bytes_per_s: u32,
}

impl MemorySettings {
    /// Share of the machine's memory. On 120 MiB it is 72 MiB, which hold one body of 64 MiB and the
    /// part for small ones; the rest is for the process, its connections and the kernel's buffers.
    const MACHINE_SHARE: f64 = 0.6;
    /// Memory if neither setting is given, in MiB.
    const DEFAULT_MIB: usize = 1_024;
    /// Largest memory of all large answers together, in bytes.
    const MAX_ANSWER_BYTES: usize = 64 << 20;
    const MIB: usize = 1 << 20;
    /// Values that the settings may have, in MiB.
    const MIB_BOUNDS: RangeInclusive<usize> = 1..=1 << 20;

    /// Bounds of the memory for requests and answers.
    pub(crate) fn limits(&self) -> MemoryLimits {
        let total_bytes = match (self.request_mib, self.machine_mib) {
            (Some(mib), _) => mib * Self::MIB,
            (None, Some(mib)) => ((mib * Self::MIB) as f64 * Self::MACHINE_SHARE) as usize,
            (None, None) => Self::DEFAULT_MIB * Self::MIB,
        };
        MemoryLimits {
            total_bytes,
            answer_bytes: Self::MAX_ANSWER_BYTES,
        }
    }

    /// Limits on the time that bodies take.
    pub(crate) fn body_limits(&self) -> BodyLimits {
        BodyLimits {
            stall_timeout: self.stall_timeout,
            min_bytes_per_s: self.min_bytes_per_s,
        }
    }

    /// Reads the memory of the machine; returns whether the text is valid.
    pub(crate) fn read_machine(&mut self, text: &str) -> bool {
        read_optional_number(&mut self.machine_mib, text, Self::MIB_BOUNDS)
    }

    /// Reads the memory for requests and answers; returns whether the text is valid.
    pub(crate) fn read_requests(&mut self, text: &str) -> bool {
        read_optional_number(&mut self.request_mib, text, Self::MIB_BOUNDS)
    }

    /// Finds a memory for requests that exceeds the machine's.
    pub(crate) fn conflict(&self) -> Option<SettingError> {
        let exceeds = matches!(
            (self.request_mib, self.machine_mib),
            (Some(requests), Some(machine)) if requests > machine
        );
        exceeds.then(|| SettingError {
            source: "--request-memory-mb, --memory-mb".into(),
            value: self.request_mib.map(|mib| mib.to_string()),
            expected: "no more for requests than the machine has".into(),
        })
    }
}
