//! A short run of the soak with fixed seeds, over processes of this build.

use geraniummast_soak::{FaultScenario, SoakPlan, run_plan};
use std::{path::Path, time::Duration};

fn plan(seed: u64, name: &str) -> SoakPlan {
    let daemon = Path::new(env!("CARGO_BIN_EXE_geraniummastd"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{name}-{seed}"));
    SoakPlan {
        instances: 3,
        servers: 4,
        callers: 10,
        fault_duration: Duration::from_secs(6),
        ..SoakPlan::new(seed, daemon, &folder)
    }
}

fn faults_of(plan: &SoakPlan) -> Vec<String> {
    let report = futures_lite::future::block_on(run_plan(plan)).unwrap();
    println!("{}", report.summary());
    assert!(report.calls > 0 && report.injected_faults > 0);
    report.violations
}

/// Fields of one log line, in order; none if it cannot be read.
fn fields_of(line: &str) -> Option<Vec<(String, String)>> {
    let mut fields = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let (name, after) = rest.split_once('=')?;
        let is_name = name
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'_');
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => {
                let end = closing_quote(quoted)?;
                (&quoted[..end], &quoted[end + 1..])
            }
            None => after.split_at(after.find(' ').unwrap_or(after.len())),
        };
        if !is_name || name.is_empty() {
            return None;
        }
        fields.push((name.into(), value.into()));
        rest = after.strip_prefix(' ').unwrap_or(after);
    }
    Some(fields)
}

/// Position of the quote that ends a quoted value.
fn closing_quote(text: &str) -> Option<usize> {
    let mut is_escaped = false;
    text.char_indices().find_map(|(position, letter)| {
        let is_end = letter == '"' && !is_escaped;
        is_escaped = letter == '\\' && !is_escaped;
        is_end.then_some(position)
    })
}

/// Fields of each message, as docs/OPERATIONS.md lists them; those in brackets may be missing.
fn listed_fields() -> Vec<(String, Vec<String>)> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let text = std::fs::read_to_string(path).unwrap();
    let section = text.split("## Fields of each line").nth(1).unwrap();
    let rows = section.lines().filter_map(|line| {
        let (message, fields) = line.strip_prefix("| `")?.split_once("` |")?;
        let fields = fields.trim().trim_end_matches('|').split_whitespace();
        Some((message.to_string(), fields.map(String::from).collect()))
    });
    rows.collect()
}

/// What is wrong with the lines of all instances of a run.
fn line_faults(folder: &Path) -> Vec<String> {
    const HEAD: [&str; 5] = ["timestamp", "level", "module", "position", "message"];
    let listed = listed_fields();
    let mut faults = Vec::new();
    for file in std::fs::read_dir(folder).unwrap() {
        let text = std::fs::read_to_string(file.unwrap().path()).unwrap();
        for line in text.lines() {
            let Some(fields) = fields_of(line) else {
                faults.push(format!("unreadable: {line}"));
                continue;
            };
            let names: Vec<&str> = fields.iter().map(|(name, _)| name.as_str()).collect();
            let message = fields.get(4).map_or("", |(_, message)| message);
            let row = listed.iter().find(|(listed, _)| listed == message);
            let is_listed = names.starts_with(&HEAD)
                && row.is_some_and(|(_, row)| {
                    let wanted = row.iter().filter(|name| !name.starts_with('('));
                    let bracketed = |name: &&&str| row.contains(&format!("({name})"));
                    let shown = names[HEAD.len()..].iter().filter(|name| !bracketed(name));
                    wanted.eq(shown)
                });
            if !is_listed {
                faults.push(format!("not as listed: {line}"));
            }
        }
    }
    faults
}

/// Plays a plan; no promise may break, and all lines must be as they are listed.
fn assert_sound(plan: &SoakPlan) {
    let seed = plan.seed;
    let faults = faults_of(plan);
    assert!(faults.is_empty(), "seed {seed}: {}", faults.join("\n"));
    let faults = line_faults(&plan.log_dir);
    assert!(faults.is_empty(), "seed {seed}: {}", faults.join("\n"));
}

#[test]
fn no_promise_breaks_under_the_faults_of_two_fixed_seeds() {
    for seed in [1, 7] {
        assert_sound(&plan(seed, "drawn"));
    }
}

#[test]
fn no_promise_breaks_under_the_signals_of_two_fixed_seeds() {
    // Series that overlap, at one instance, and from a start on; with stops, a kill, and a change of
    // the configuration.
    for seed in [39, 47] {
        assert_sound(&plan(seed, "series"));
    }
}

#[test]
fn an_instance_that_stops_answers_what_silent_servers_leave_open() {
    let plan = SoakPlan {
        // A stop that ends before the callers' and the routes' time does.
        stop_timeout: Duration::from_millis(2_500),
        scenario: FaultScenario::StopWithUnresponsiveServers,
        ..plan(3, "stop")
    };
    assert_sound(&plan);
}

#[test]
fn an_instance_that_stops_answers_all_whatever_signals_come_meanwhile() {
    let plan = SoakPlan {
        // Three stops, one after the other, and some time before and after.
        fault_duration: Duration::from_secs(14),
        stop_timeout: Duration::from_secs(4),
        scenario: FaultScenario::SignalsDuringStop,
        ..plan(5, "signals")
    };
    assert_sound(&plan);
}

// Guards against watches that were made while the store was silent, and hid a change for seconds
// after its return.
#[test]
fn a_change_after_a_silence_of_the_store_is_in_force_in_time() {
    let plan = SoakPlan {
        fault_duration: Duration::from_secs(14),
        scenario: FaultScenario::ChangeAfterStoreOutage,
        ..plan(6, "silence")
    };
    assert_sound(&plan);
}
