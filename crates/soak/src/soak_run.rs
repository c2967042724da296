//! Runs a soak plan, and all seeds of the command line.

use crate::{
    caller_session, fault_injector, guarantee_checker, instance_supervisor,
    key_recovery::RecoveryTimes, poison_request, prelude::*, probe_session,
    soak_arguments::SoakArguments,
};
use std::process::ExitCode;

/// Result of one run.
#[derive(Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests sent by callers and probes, counting each attempt.
    pub calls: usize,
    /// Number of requests that were answered successfully.
    pub served: usize,
    /// Number of injected faults.
    pub injected_faults: usize,
    /// Violated guarantees, one description each.
    pub violations: Vec<String>,
    /// Times until sampled keys of crashed servers were granted again.
    pub recovery_times: Vec<Duration>,
    /// Times for which sampled keys were without a holder after restores of the store.
    pub restore_times: Vec<Duration>,
    /// Injected faults with their times, for the analysis of a violation.
    pub schedule: Vec<String>,
}

/// Longest time until all instances are ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest number of violations printed for one run.
const MAX_PRINTED: usize = 12;

/// Runs all seeds one after the other and prints their results.
pub(crate) fn run_all(arguments: &SoakArguments) -> ExitCode {
    let mut failed_seeds = Vec::new();
    let (mut recovery_times, mut restore_times) = (Vec::new(), Vec::new());
    for seed in &arguments.seeds {
        let log_dir = arguments.log_dir.join(format!("seed-{seed}"));
        let plan = SoakPlan {
            instances: arguments.instances,
            callers: SoakPlan::callers_for(arguments.instances),
            servers: arguments.servers,
            idle_routes: arguments.idle_routes,
            fault_duration: Duration::from_secs(arguments.fault_seconds),
            scenario: arguments.scenario,
            ..SoakPlan::new(*seed, &arguments.daemon_path, &log_dir)
        };
        let report = match future::block_on(run_plan(&plan)) {
            Ok(report) => report,
            Err(error) => {
                eprintln!("seed {seed}: run failed: {error:#}");
                return ExitCode::from(2);
            }
        };
        println!("{}", report.summary());
        for (rule, count) in report.violations_by_rule() {
            println!("  {rule}: {count} violations");
        }
        recovery_times.extend(&report.recovery_times);
        restore_times.extend(&report.restore_times);
        if report.violations.is_empty() {
            // Logs are kept only for runs with violations.
            let _ = std::fs::remove_dir_all(&log_dir);
            continue;
        }
        for violation in report.violations.iter().take(MAX_PRINTED) {
            println!("  {violation}");
        }
        for event in &report.schedule {
            println!("  injected {event}");
        }
        println!("  logs in {}", log_dir.display());
        failed_seeds.push(*seed);
    }
    if let Some(times) = RecoveryTimes::of(recovery_times) {
        println!("keys of crashed servers granted again: {times}");
    }
    if let Some(times) = RecoveryTimes::of(restore_times) {
        println!("keys without a holder after restores of the store: {times}");
    }
    println!(
        "{} seeds run, {} with violated guarantees: {failed_seeds:?}",
        arguments.seeds.len(),
        failed_seeds.len()
    );
    ExitCode::from(u8::from(!failed_seeds.is_empty()))
}

/// Runs one plan and stops everything that it started.
pub(crate) async fn run_plan(plan: &SoakPlan) -> eyre::Result<SoakReport> {
    let _ = std::fs::remove_dir_all(&plan.log_dir);
    std::fs::create_dir_all(&plan.log_dir)?;
    let events = FaultEvent::for_plan(plan);
    let world = SoakWorld::build(plan).await?;
    let report = run_in_world(&world, &events).await;
    world.is_sending.store(false, Ordering::SeqCst);
    for instance in &world.instances {
        instance.kill();
    }
    world.pool.stop();
    report
}

async fn run_in_world(
    world: &Arc<SoakWorld>,
    events: &[(Duration, FaultEvent)],
) -> eyre::Result<SoakReport> {
    let plan = &world.plan;
    for number in 0..plan.instances {
        world
            .ledger
            .record_disturbance(DisturbanceTarget::Instance(number), Duration::ZERO);
        world.start_instance(number)?;
        let supervision = instance_supervisor::supervise(world.clone(), number);
        world.pool.spawn(supervision);
    }
    SimulatedBalancer::start_checks(world.clone()).await;
    world
        .pool
        .spawn(poison_request::crash_servers(world.clone()));
    wait_until_ready(world).await?;
    let mut callers = Vec::new();
    for number in 0..plan.callers {
        callers.push(
            world
                .pool
                .spawn_cancellable(caller_session::run_caller(world.clone(), number)),
        );
    }
    for number in 0..plan.instances {
        callers.push(
            world
                .pool
                .spawn_cancellable(probe_session::run_probe(world.clone(), number)),
        );
        if plan.scenario.sends_passing_probes() {
            let probe = probe_session::run_passing_probe(world.clone(), number);
            callers.push(world.pool.spawn_cancellable(probe));
        }
    }
    Timer::after(SoakPlan::WARMUP_TIME).await;
    let injection_start = SteadyClock.now();
    fault_injector::inject_all(world, events).await;
    fault_injector::restore(world).await?;
    Timer::after(SoakPlan::RECOVERY_TIME).await;
    let final_window_start = SteadyClock.now();
    Timer::after(SoakPlan::FINAL_WINDOW).await;
    world.is_sending.store(false, Ordering::SeqCst);
    for caller in callers {
        caller.await;
    }
    check_memory(world);
    let violations = guarantee_checker::check(&world.ledger, final_window_start);
    let calls = world.ledger.calls.lock().unwrap();
    let describe = |(at, event): &(Duration, FaultEvent)| {
        format!("at {} ms: {event:?}", injection_start.after(*at).0 / 1_000)
    };
    Ok(SoakReport {
        seed: plan.seed,
        calls: calls.len(),
        served: calls.iter().filter(|call| call.is_served()).count(),
        injected_faults: events.len(),
        recovery_times: world.ledger.recovery.lock().unwrap().times(),
        restore_times: world.ledger.restore_times.lock().unwrap().clone(),
        violations,
        schedule: events.iter().map(describe).collect(),
    })
}

/// FAULT: an instance has used more memory than it is given.
fn check_memory(world: &SoakWorld) {
    for instance in &world.instances {
        let used = instance.peak_memory_kb().unwrap_or_default();
        if used > SoakPlan::MAX_MEMORY_KB {
            let detail = format!("instance {} used {used} KB", instance.number);
            world.ledger.add_violation("FAULT", &detail);
        }
    }
}

async fn wait_until_ready(world: &SoakWorld) -> eyre::Result<()> {
    let until = SteadyClock.now().after(START_TIMEOUT);
    loop {
        Timer::after(Duration::from_millis(600)).await;
        if world.balancer.are_all_ready() {
            return Ok(());
        }
        eyre::ensure!(
            SteadyClock.now() < until,
            "the instances did not become ready in time"
        );
    }
}

impl SoakReport {
    /// Returns the number of violations of each violated rule.
    fn violations_by_rule(&self) -> IndexMap<&str, usize> {
        let mut counts = IndexMap::new();
        for violation in &self.violations {
            let rule = violation.split(':').next().unwrap_or_default();
            *counts.entry(rule).or_default() += 1;
        }
        counts
    }

    /// Returns the result as one line.
    pub fn summary(&self) -> String {
        format!(
            "seed {}: {} faults injected, {} of {} requests served, {} guarantee violations",
            self.seed,
            self.injected_faults,
            self.served,
            self.calls,
            self.violations.len()
        )
    }
}
