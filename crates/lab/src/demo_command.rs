//! Command `demo`: runs a short scenario and describes what happens.

use crate::prelude::*;
use std::process::ExitCode;

/// Port of the store; the ports of the instances follow in steps of ten.
const FIRST_PORT: u16 = 7_700;
/// Interval at which a demo that keeps running wakes up; it does nothing then.
const STAY_INTERVAL: Duration = Duration::from_secs(3_600);

/// Runs the demo; with `stay`, starts its cluster and keeps it running.
pub(crate) fn demo(stay: bool) -> ExitCode {
    let result = match stay {
        false => futures_lite::future::block_on(run_scenario()),
        true => futures_lite::future::block_on(keep_running()),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("demo failed: {error:#}");
            ExitCode::from(3)
        }
    }
}

/// Defines the scenario of the demo.
fn plan() -> ScenarioPlan {
    let mut plan = ScenarioPlan::new("demo")
        .at(3_500, FaultEvent::KillServer("viewing-1"))
        .at(5_500, FaultEvent::SwitchPreset("peak"))
        .lasting(8_000);
    plan.cluster.instances = 3;
    plan
}

async fn run_scenario() -> eyre::Result<ExitCode> {
    let plan = plan();
    println!(
        "A store, {} instances and these servers start on loopback:",
        plan.cluster.instances
    );
    for service in &plan.cluster.services {
        let kind = match service.kind {
            ServiceKind::Exclusive => "one owner for each key",
            ServiceKind::Shared => "any server may answer",
        };
        println!(
            "  {:<9} {} servers, 3 slots each, {kind}",
            service.name, service.servers
        );
    }
    println!("Callers send lookups, filings and archive requests for 8 s, at 40% of all slots.");
    println!("After 3.5 s the server viewing-1 is killed; after 5.5 s the preset changes to peak.");
    let figures = ScenarioRun::new(&plan, 1).measure().await?;
    let unavailable = figures.unavailable_ms;
    println!(
        "\n{} requests were sent; {:.0} per second were answered.",
        figures.requests, figures.throughput_per_s
    );
    println!(
        "Keys of the killed server were served again after {:.0} ms (median), {:.0} ms (maximum).",
        unavailable.p50,
        unavailable.max.unwrap_or(0.0)
    );
    let in_force = figures.in_force_ms.unwrap_or_default();
    println!(
        "The preset was in force on every instance after {:.0} ms.",
        in_force.max.unwrap_or(0.0)
    );
    println!(
        "\nMeasured at the servers and callers:\n{}",
        measure_command::figures_text(&figures)
    );
    let violations: Vec<_> = figures
        .must_be_zero()
        .into_iter()
        .filter(|(_, value)| *value != 0)
        .collect();
    for (name, value) in &violations {
        println!("{name} is {value} and must be 0");
    }
    Ok(ExitCode::from(u8::from(!violations.is_empty())))
}

async fn keep_running() -> eyre::Result<ExitCode> {
    let plan = ClusterPlan {
        first_port: Some(FIRST_PORT),
        ..plan().cluster
    };
    let cluster = TestCluster::start(&plan).await?;
    println!(
        "Store:  http://{}/objects/config/head",
        cluster.store.address()
    );
    for (index, instance) in cluster.instances.iter().enumerate() {
        let (callers, operators) = (instance.caller_address(), instance.operator_address());
        println!("entry-{index}: callers http://{callers}, operators http://{operators}");
    }
    println!("Operator token: {}\n\nTry:", TestCluster::TOKEN);
    let callers = cluster.instances[0].caller_address();
    let operators = cluster.instances[0].operator_address();
    println!("  curl -i http://{callers}/viewing/weld-7");
    println!("  curl -i -X POST -d 'weld 7 passed' http://{callers}/filing/weld-7");
    println!("  curl -i http://{callers}/archives/1987-04");
    println!("  curl http://{operators}/readyz");
    println!("  curl http://{operators}/dump");
    println!("  curl http://{operators}/metrics");
    println!("\nStop with Ctrl-C.");
    loop {
        Timer::after(STAY_INTERVAL).await;
    }
}
