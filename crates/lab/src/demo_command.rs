//! The command `demo`: the whole system at work, with what it did in plain words.

use crate::prelude::*;
use std::process::ExitCode;

/// Port of the store; instances follow at steps of ten.
const FIRST_PORT: u16 = 7_700;
/// Time between two lines of a bench that stays.
const STAY_INTERVAL: Duration = Duration::from_secs(3_600);

/// Runs the demo.
pub(crate) fn demo(stay: bool) -> ExitCode {
    let result = match stay {
        false => futures_lite::future::block_on(show()),
        true => futures_lite::future::block_on(keep()),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("demo could not run: {error:#}");
            ExitCode::from(3)
        }
    }
}

/// Scenario of the demo.
fn plan() -> ScenarioPlan {
    let mut plan = ScenarioPlan::new("demo")
        .at(3_500, FaultEvent::KillServer("viewing-1"))
        .at(5_500, FaultEvent::UsePreset("peak"))
        .lasting(8_000);
    plan.bench.instances = 3;
    plan
}

async fn show() -> eyre::Result<ExitCode> {
    let plan = plan();
    println!(
        "A store, {} instances and these servers start on loopback:",
        plan.bench.instances
    );
    for service in &plan.bench.services {
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
    println!("After 3.5 s the server viewing-1 is lost; after 5.5 s the preset changes to peak.");
    let figures = ScenarioRun::new(&plan, 1).measure().await?;
    let unavailable = figures.unavailable_ms;
    println!(
        "\n{} requests were due; {:.0} a second were answered.",
        figures.requests, figures.throughput_per_s
    );
    println!(
        "Keys of the lost server were served again after {:.0} ms (median), {:.0} ms (longest).",
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
        measure_command::text(&figures)
    );
    let faults: Vec<_> = figures
        .zeros()
        .into_iter()
        .filter(|(_, value)| *value != 0)
        .collect();
    for (name, value) in &faults {
        println!("{name} is {value} and must be 0");
    }
    Ok(ExitCode::from(u8::from(!faults.is_empty())))
}

async fn keep() -> eyre::Result<ExitCode> {
    let bench = ClusterPlan {
        first_port: Some(FIRST_PORT),
        ..plan().bench
    };
    let bench = TestCluster::start(&bench).await?;
    println!(
        "Store:  http://{}/objects/config/head",
        bench.store.address()
    );
    for (index, instance) in bench.instances.iter().enumerate() {
        let (callers, operators) = (instance.caller_address(), instance.operator_address());
        println!("entry-{index}: callers http://{callers}, operators http://{operators}");
    }
    println!("Operators' token: {}\n\nTry:", TestCluster::TOKEN);
    let callers = bench.instances[0].caller_address();
    let operators = bench.instances[0].operator_address();
    println!("  curl -i http://{callers}/viewing/weld-7");
    println!("  curl -i -X POST -d 'weld 7 passed' http://{callers}/filing/weld-7");
    println!("  curl -i http://{callers}/archives/1987-04");
    println!("  curl http://{operators}/readyz");
    println!("  curl http://{operators}/dump");
    println!("  curl http://{operators}/metrics");
    println!("\nEnd with Ctrl-C.");
    loop {
        Timer::after(STAY_INTERVAL).await;
    }
}
