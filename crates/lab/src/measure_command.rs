//! The command `measure`.

use crate::prelude::*;
use std::process::ExitCode;

/// Exit code when a figure is out of its bounds.
const OUT_OF_BOUNDS: u8 = 1;
/// Exit code when the command is wrong.
const WRONG_COMMAND: u8 = 2;
/// Exit code when a scenario could not be run.
const NOT_RUN: u8 = 3;

/// Prints the names of all scenarios.
pub(crate) fn list() -> ExitCode {
    for plan in scenarios::all() {
        println!("{}", plan.name);
    }
    ExitCode::SUCCESS
}

/// Runs one scenario, or all with a table at the end.
pub(crate) fn measure(scenario: Option<&str>, seed: u64, json: bool) -> ExitCode {
    let wanted = |plan: &ScenarioPlan| scenario.is_none_or(|name| name == plan.name);
    let plans: Vec<_> = scenarios::all().into_iter().filter(wanted).collect();
    if plans.is_empty() {
        eprintln!("unknown scenario; `measure --list` names all");
        return ExitCode::from(WRONG_COMMAND);
    }
    let mut code = 0;
    let mut table = Vec::new();
    for plan in &plans {
        let figures = futures_lite::future::block_on(ScenarioRun::new(plan, seed).measure());
        let figures = match figures {
            Ok(figures) => figures,
            Err(error) => {
                eprintln!("{}: not run: {error}", plan.name);
                table.push(format!("{:<28} not run: {error}", plan.name));
                code = code.max(NOT_RUN);
                continue;
            }
        };
        let line = serde_json::to_string(&figures).unwrap_or_default();
        match json {
            true => println!("{line}"),
            false => println!("{}", text(&figures)),
        }
        // A baseline shows what the system is compared with; nothing bounds it.
        let missed = match plan.naive {
            true => Vec::new(),
            false => FigureBound::missed(&figures),
        };
        for miss in &missed {
            eprintln!("{}: {miss}", plan.name);
        }
        code = code.max(OUT_OF_BOUNDS * u8::from(!missed.is_empty()));
        table.push(row(&figures, &missed));
    }
    if plans.len() > 1 {
        eprintln!(
            "\n{:<28} {:>8} {:>8} {:>8} {:>8}  verdict",
            "scenario", "requests", "unav p50", "unav p99", "churn"
        );
        table.iter().for_each(|row| eprintln!("{row}"));
    }
    ExitCode::from(code)
}

/// Figures one a line.
pub(crate) fn text(figures: &MeasuredFigures) -> String {
    let value = serde_json::to_value(figures).unwrap_or_default();
    let fields = value.as_object().into_iter().flatten();
    let lines = fields.map(|(name, value)| format!("  {name:<20} {value}\n"));
    lines.collect()
}

fn row(figures: &MeasuredFigures, missed: &[String]) -> String {
    let verdict = match missed {
        [] => "ok".into(),
        missed => missed.join("; "),
    };
    let unavailable = figures.unavailable_ms;
    format!(
        "{:<28} {:>8} {:>8.0} {:>8.0} {:>8.2}  {verdict}",
        figures.scenario, figures.requests, unavailable.p50, unavailable.p99, figures.churn
    )
}
