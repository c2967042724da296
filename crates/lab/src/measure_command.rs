//! Command `measure`: runs scenarios and checks their figures against the bounds.

use crate::prelude::*;
use std::process::ExitCode;

/// Exit code if a figure is out of its bounds.
const OUT_OF_BOUNDS: u8 = 1;
/// Exit code if the command line is invalid.
const WRONG_COMMAND: u8 = 2;
/// Exit code if a scenario could not be run.
const NOT_RUN: u8 = 3;

/// Prints the names of all scenarios.
pub(crate) fn list() -> ExitCode {
    for plan in scenarios::all() {
        println!("{}", plan.name);
    }
    ExitCode::SUCCESS
}

/// Runs one scenario, or all of them with a summary table at the end.
pub(crate) fn measure(scenario: Option<&str>, seed: u64, json: bool) -> ExitCode {
    let is_selected = |plan: &ScenarioPlan| scenario.is_none_or(|name| name == plan.name);
    let plans: Vec<_> = scenarios::all().into_iter().filter(is_selected).collect();
    if plans.is_empty() {
        eprintln!("unknown scenario; `measure --list` prints the names");
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
            false => println!("{}", figures_text(&figures)),
        }
        // A baseline serves for comparison and has no bounds.
        let missed = match plan.is_baseline {
            true => Vec::new(),
            false => FigureBound::missed(&figures),
        };
        for miss in &missed {
            eprintln!("{}: {miss}", plan.name);
        }
        code = code.max(OUT_OF_BOUNDS * u8::from(!missed.is_empty()));
        table.push(summary_row(&figures, &missed));
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

/// Formats figures with one name and value per line.
pub(crate) fn figures_text(figures: &MeasuredFigures) -> String {
    let value = serde_json::to_value(figures).unwrap_or_default();
    let fields = value.as_object().into_iter().flatten();
    let lines = fields.map(|(name, value)| format!("  {name:<20} {value}\n"));
    lines.collect()
}

fn summary_row(figures: &MeasuredFigures, missed: &[String]) -> String {
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
