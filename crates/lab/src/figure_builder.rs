//! Computation of figures from the records of servers, callers and the store.

use crate::prelude::*;

/// Records of one scenario from which its figures are computed.
pub(crate) struct FigureBuilder<'a> {
    pub(crate) plan: &'a ScenarioPlan,
    /// Start time of the load.
    pub(crate) start: MonoTime,
    pub(crate) records: Vec<CallerRecord>,
    pub(crate) direct_records: Vec<CallerRecord>,
    pub(crate) runs: Vec<RunRecord>,
    pub(crate) part_history: Vec<(MonoTime, PartRecord)>,
    /// Servers that were present during the whole scenario.
    pub(crate) servers: Vec<ServerName>,
    pub(crate) effects: &'a FaultEffects,
}

impl FigureBuilder<'_> {
    /// Longest time for which a leaving server may still get new requests.
    const MAX_LEAVE_DELAY: Duration = Duration::from_secs(2);

    /// Computes the figures that follow from these records.
    pub(crate) fn build(&self, seed: u64) -> MeasuredFigures {
        let length = self.plan.load.length;
        let per_s = |count: usize| (count as f64 / length.as_secs_f64() * 10.0).round() / 10.0;
        let answered = self.records.iter().filter(|record| record.answered);
        let in_time = self.records.iter().filter(|record| record.in_time());
        let first_event = self.plan.events.first().map(|(at, _)| *at);
        let since = self
            .start
            .after(first_event.unwrap_or(ScenarioPlan::SETTLING_TIME));
        let unavailable = UnavailableTime::of(&self.records, since);
        let compared = |records: &[CallerRecord]| {
            let (from, until) = self.plan.compared_span();
            let span = |record: &&CallerRecord| (from..until).contains(&record.call.at);
            let own = records.iter().filter(span).filter(|record| record.answered);
            DurationSummary::of(own.map(CallerRecord::latency))
        };
        let mut figures = MeasuredFigures {
            scenario: self.plan.name.clone(),
            seed,
            ran_twice: self.ran_twice(),
            untrue_refusals: self.untrue_refusals(),
            wrong_answers: self
                .records
                .iter()
                .map(|record| u64::from(record.wrong_answers))
                .sum(),
            cut_in_flight: self.effects.cut_requests
                + self
                    .records
                    .iter()
                    .map(|record| u64::from(record.cut_attempts))
                    .sum::<u64>(),
            unavailable_ms: DurationSummary::of(unavailable.values().copied()),
            imbalance: self.imbalance(),
            churn: self.churn(),
            requests: self.records.len() as u64,
            throughput_per_s: per_s(answered.count()),
            goodput_per_s: per_s(in_time.count()),
            added_latency_ms: compared(&self.records)
                .difference_from(compared(&self.direct_records)),
            ..MeasuredFigures::default()
        };
        self.add_extra(&mut figures, &unavailable);
        figures
    }

    fn ran_twice(&self) -> u64 {
        let mut runs: IndexMap<&str, u64> = IndexMap::new();
        for run in self.runs.iter().filter(|run| !run.repeatable) {
            *runs.entry(&run.id).or_default() += 1;
        }
        runs.values().filter(|count| **count > 1).count() as u64
    }

    /// Number of refusals and answers that the servers' records contradict.
    fn untrue_refusals(&self) -> u64 {
        let mut runs: IndexMap<&str, Vec<&RunRecord>> = IndexMap::new();
        for run in &self.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        let mut untrue = 0;
        for record in &self.records {
            let runs = runs.get(record.id.as_str()).map_or(&[][..], Vec::as_slice);
            for (attempt, outcome, reason) in &record.refusals {
                let ran = runs.iter().any(|run| match record.call.repeatable {
                    true => run.attempt == *attempt,
                    false => run.attempt <= *attempt,
                });
                let is_wrong = match outcome {
                    RunOutcome::NotRun => ran,
                    RunOutcome::Ran => !ran,
                    RunOutcome::Unknown => false,
                };
                if is_wrong {
                    let service = record.call.service;
                    log::error!(
                        "{service} request {}: refusal `{reason}` wrongly said {outcome}",
                        record.id
                    );
                    untrue += 1;
                }
            }
            untrue += u64::from(record.answered && runs.is_empty());
        }
        untrue
    }

    /// Busy time of the busiest server relative to the mean of the service's servers, averaged over
    /// windows of 1 s.
    fn imbalance(&self) -> IndexMap<String, f64> {
        let first = ScenarioPlan::SETTLING_TIME.as_secs();
        let windows = first..self.plan.load.length.as_secs();
        let mut figures = IndexMap::new();
        for service in &self.plan.cluster.services {
            let prefix = format!("{}-", service.name);
            let own = |server: &&ServerName| server.as_str().starts_with(&prefix);
            let servers: Vec<_> = self.servers.iter().filter(own).collect();
            let ratio = |window: u64| {
                let from = self.start.after(Duration::from_secs(window));
                let busy = servers.iter().map(|server| self.busy_time(server, from));
                let busy: Vec<_> = busy.map(|time| time.as_secs_f64()).collect();
                let mean = busy.iter().sum::<f64>() / busy.len().max(1) as f64;
                (mean > 0.0).then(|| busy.into_iter().fold(0.0, f64::max) / mean)
            };
            let ratios: Vec<f64> = windows.clone().filter_map(ratio).collect();
            let mean = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
            let mean = (mean * 1_000.0).round().abs() / 1_000.0;
            figures.insert(service.name.to_string(), mean);
        }
        figures
    }

    /// Total run time of requests at `server` in the second from `from` on.
    fn busy_time(&self, server: &ServerName, from: MonoTime) -> Duration {
        let until = from.after(Duration::from_secs(1));
        let within = |run: &RunRecord| {
            let end = run.ended.unwrap_or(until).min(until);
            end.since(run.started.max(from))
        };
        let own = self.runs.iter().filter(|run| run.server == *server);
        own.map(within).sum()
    }

    fn churn(&self) -> f64 {
        let since = self.start.after(self.plan.churn_start());
        let mut known: IndexMap<&PartId, &PartRecord> = IndexMap::new();
        let mut moved = 0;
        for (at, record) in &self.part_history {
            if let Some(old) = known.insert(&record.id, record)
                && *at >= since
            {
                let has_moved = |slice: &&SliceEntry| {
                    let before = old.slice_of(KeyHash(slice.start));
                    let before = before.and_then(|slice| slice.owner.as_ref());
                    slice.owner.is_some() && slice.owner.as_ref() != before
                };
                moved += record.slices.iter().filter(has_moved).count();
            }
        }
        let churn = moved as f64 / self.effects.required_moves.max(1) as f64;
        (churn * 1_000.0).round() / 1_000.0
    }

    /// Adds the figures that only bounds refer to.
    fn add_extra(
        &self,
        figures: &mut MeasuredFigures,
        unavailable: &IndexMap<(&'static str, u64), Duration>,
    ) {
        let lost_service = self.plan.events.first().and_then(|(_, event)| match event {
            FaultEvent::KillServer(name) => name.split('-').next(),
            _ => None,
        });
        let untouched = unavailable
            .keys()
            .filter(|(service, _)| Some(*service) != lost_service);
        let extra = &mut figures.extra;
        extra.insert("untouched_keys_troubled", untouched.count() as f64);
        let late = self
            .effects
            .leaving_servers
            .iter()
            .flat_map(|(server, at)| {
                let bound = at.after(Self::MAX_LEAVE_DELAY);
                let late = move |run: &&RunRecord| run.server == *server && run.started > bound;
                self.runs.iter().filter(late)
            });
        extra.insert("late_work", late.count() as f64);
        let share = |own: &dyn Fn(&CallerRecord) -> bool, good: fn(&CallerRecord) -> bool| {
            let own: Vec<_> = self.records.iter().filter(|record| own(record)).collect();
            own.iter().filter(|record| good(record)).count() as f64 / own.len().max(1) as f64
        };
        let other_callers = share(
            &|record| record.call.caller != LoadProfile::GREEDY,
            CallerRecord::in_time,
        );
        extra.insert("modest_in_time", other_callers);
        let answered = share(&|record| record.call.repeatable, |record| record.answered);
        extra.insert("repeatable_answered", answered);
        if let [_, _, _] = self.plan.load.phases[..] {
            let phase = |index| self.phase_figures(index);
            let goodput = phase(2).0 / phase(1).0.max(f64::MIN_POSITIVE);
            extra.insert("goodput_150_over_100", goodput);
            let latency = phase(2).1 / phase(0).1.max(f64::MIN_POSITIVE);
            extra.insert("top_p99_150_over_70", latency);
        }
    }

    /// Goodput and 99th percentile of the lookups' latency in a phase of the load, without the
    /// first second of the phase.
    fn phase_figures(&self, index: usize) -> (f64, f64) {
        let phases = &self.plan.load.phases;
        let from = phases[index].0 + Duration::from_secs(1);
        let until = phases
            .get(index + 1)
            .map_or(self.plan.load.length, |next| next.0);
        let span = |record: &&CallerRecord| (from..until).contains(&record.call.at);
        let own: Vec<_> = self.records.iter().filter(span).collect();
        let good = own.iter().filter(|record| record.in_time()).count() as f64;
        let lookups = own.iter().filter(|record| record.call.service == "viewing");
        let latency = DurationSummary::of(lookups.map(|record| record.latency())).p99;
        (good / (until - from).as_secs_f64(), latency)
    }
}
