//! Tests of parsing the command line.

use geraniummast_cli::{CliRequest, CliVerb, parse};

fn read(line: &str, variables: &[(&str, &str)]) -> CliRequest {
    let variable = |name: &str| {
        let found = variables.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| value.to_string())
    };
    parse(line.split_whitespace().map(Into::into), &variable)
}

#[test]
fn several_errors_are_all_reported_with_source_and_value() {
    let request = read(
        "apply dir --timeout-ms soon --revision x --bogus",
        &[("GERANIUMMAST_STORE_ADDRESS", "store:1"), ("USER", "ada")],
    );
    let CliRequest::Invalid(findings) = request else {
        panic!("{request:?}");
    };
    let found: Vec<_> = findings
        .iter()
        .map(|finding| (finding.field.as_str(), finding.value.as_str()))
        .collect();
    let expected = [
        ("--timeout-ms", "soon"),
        ("--revision", "x"),
        ("--bogus", ""),
        ("GERANIUMMAST_STORE_ADDRESS", "store:1"),
    ];
    assert_eq!(found, expected);
}

#[test]
fn flags_override_variables_and_lists_of_instances_are_split() {
    let variables = [
        ("GERANIUMMAST_STORE_ADDRESS", "10.0.0.1:1"),
        ("GERANIUMMAST_OPERATOR_ADDRESS", "10.0.0.2:2,10.0.0.3:3"),
        ("USER", "ada"),
    ];
    let CliRequest::Run(verb, settings) =
        read("preset use peak --store 10.0.0.9:9 --wait", &variables)
    else {
        panic!("not run");
    };
    assert_eq!(verb, CliVerb::PresetUse("peak".into()));
    assert_eq!(settings.store, "10.0.0.9:9".parse().ok());
    assert_eq!(settings.instances.len(), 2);
    assert_eq!(settings.operator, "ada");
}

#[test]
fn missing_settings_and_unexpected_arguments_are_reported() {
    for (line, count) in [
        ("preset use peak", 2),
        ("preset use peak --operator ada", 1),
        ("preset use peak --operator ada --wait", 2),
        ("status", 1),
        ("check dir --prune", 1),
        ("preset", 1),
        ("explain reports", 1),
        ("launch", 1),
    ] {
        match read(line, &[]) {
            CliRequest::Invalid(found) => assert_eq!(found.len(), count, "{line}: {found:?}"),
            other => panic!("{line}: {other:?}"),
        }
    }
}

#[test]
fn help_of_every_verb_fits_80_columns() {
    for line in [
        "--help",
        "check --help",
        "plan -h",
        "apply --help",
        "preset use --help",
        "preset list --help",
        "history --help",
        "status --help",
        "dump --help",
        "drain --help",
        "explain --help",
    ] {
        let CliRequest::Help(text) = read(line, &[]) else {
            panic!("{line}");
        };
        assert!(text.starts_with("Usage: geraniummast "), "{line}");
        assert!(text.contains("Exit codes:"), "{line}");
        assert!(
            text.lines().all(|text| text.chars().count() <= 80),
            "{line}"
        );
    }
}
