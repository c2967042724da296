//! Size, demand and faults of one simulation.

/// Which instances the callers use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallerSpread {
    Even,
    AllAtOne,
    /// All at one instance, and at another one from the middle of the run on.
    Moving,
}

/// What happens to the holder after a third of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HolderFault {
    None,
    /// It is lost, and another instance succeeds it.
    Lost,
    /// It stands still for a while and then answers what it received, beside its successor.
    Frozen,
    /// Half of the instances go on asking it, the others its successor.
    Split,
    /// A third of the instances do not reach it.
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulationPlan {
    pub(crate) seed: u64,
    pub(crate) instances: usize,
    /// Requests per second that the server accepts.
    pub(crate) limit: f64,
    /// Requests of callers, as a multiple of the limit.
    pub(crate) demand: f64,
    pub(crate) spread: CallerSpread,
    /// Share of messages that are lost.
    pub(crate) loss: f64,
    pub(crate) fault: HolderFault,
    /// Whether instances learn of the server within two seconds, and some start later.
    pub(crate) is_staggered: bool,
    pub(crate) seconds: u64,
}

impl CallerSpread {
    pub(crate) const ALL: [Self; 3] = [Self::Even, Self::AllAtOne, Self::Moving];
}

impl HolderFault {
    pub(crate) const ALL: [Self; 3] = [Self::None, Self::Lost, Self::Frozen];
    pub(crate) const ALL_PARTIAL: [Self; 5] = [
        Self::None,
        Self::Lost,
        Self::Frozen,
        Self::Split,
        Self::Unreachable,
    ];
}

impl SimulationPlan {
    /// Spans in seconds in which the instances have adapted to the demand.
    pub(crate) fn settled_spans(&self) -> Vec<(f64, f64)> {
        let (middle, end) = (self.seconds as f64 / 2.0, self.seconds as f64);
        match self.spread {
            CallerSpread::Moving => vec![(5.0, middle), (middle + 5.0, end)],
            _ => vec![(5.0, end)],
        }
    }
}
