//! Tests of parsing and validating declarations through the public API.

use {
    geraniummast_configuration::{CheckFinding, DeclarationSet, SourceFile},
    quickcheck::{Arbitrary, Gen},
    std::path::Path,
};

const SEED: u64 = 20_261_203;

const VALID_DECLARATIONS: &str = r#"
[place.dc1]
region = "home"

[service.reports]
kind = "exclusive"
[[service.reports.class]]
name = "lookup"
methods = ["GET"]
repeatable = true
[[service.reports.server]]
name = "view-1"
address = "10.0.0.1:80"
data_centre = "dc1"
slots = 3
connections = 100
[[service.reports.server]]
name = "view-2"
address = "10.0.0.2:80"
data_centre = "dc1"
slots = 3
connections = 100

[preset.ordinary]
"#;

fn findings(text: &str) -> Vec<CheckFinding> {
    DeclarationSet::read(&[SourceFile::new("a.toml", text)])
        .err()
        .unwrap_or_default()
}

fn example_files(name: &str) -> Vec<SourceFile> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut files: Vec<_> = std::fs::read_dir(root.join(name))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    let read_file = |path: &std::path::PathBuf| {
        let text = std::fs::read_to_string(path).unwrap();
        SourceFile::new(path.file_name().unwrap().to_str().unwrap(), &text)
    };
    files.iter().map(read_file).collect()
}

#[test]
fn example_directories_are_valid() {
    for (name, servers) in [("cascadia", [10, 5, 10]), ("inzira", [15, 15, 10])] {
        let set = DeclarationSet::read(&example_files(name)).unwrap();
        let mut found: Vec<_> = set.services.values().map(|s| s.servers.len()).collect();
        found.sort_unstable();
        let mut servers = servers.to_vec();
        servers.sort_unstable();
        assert_eq!(found, servers, "{name}");
        assert_eq!(
            set.presets.keys().collect::<Vec<_>>(),
            ["maintenance", "ordinary", "peak"]
        );
    }
}

#[test]
fn single_error_gives_one_finding_at_its_field() {
    assert_eq!(findings(VALID_DECLARATIONS), []);
    for (from, to, field, line) in [
        (
            "slots = 3",
            "slots = 0",
            "service.reports.server[0].slots",
            15,
        ),
        (
            "slots = 3",
            "slots = \"3\"",
            "service.reports.server[0].slots",
            15,
        ),
        (
            "slots = 3",
            "slot = 3",
            "service.reports.server[0].slots",
            11,
        ),
        (
            "10.0.0.2",
            "10.0.0.1",
            "service.reports.server[1].address",
            19,
        ),
        (
            "10.0.0.1:80",
            "view-1:80",
            "service.reports.server[0].address",
            13,
        ),
        (
            "\"view-2\"",
            "\"view-1\"",
            "service.reports.server[1].name",
            18,
        ),
        (
            "\"dc1\"",
            "\"dc9\"",
            "service.reports.server[0].data_centre",
            14,
        ),
        (
            "connections = 100",
            "connections = 2",
            "service.reports.server[0].connections",
            16,
        ),
        ("[\"GET\"]", "[]", "service.reports.class[0].methods", 9),
        ("[\"GET\"]", "[7]", "service.reports.class[0].methods[0]", 9),
        (
            "repeatable = true",
            "priority = 4",
            "service.reports.class[0].priority",
            10,
        ),
        (
            "exclusive\"",
            "exclusive\"\nparts = 0",
            "service.reports.parts",
            7,
        ),
        ("exclusive", "alone", "service.reports.kind", 6),
        ("true", "false", "service.reports.class[0].repeatable", 10),
        (
            "[preset.ordinary]",
            "[preset.ordinary]\nslot_percent = 101",
            "preset.ordinary.slot_percent",
            25,
        ),
        (
            "[preset.ordinary]",
            "[preset.ordinary]\ndrained_servers = [\"view-9\"]",
            "preset.ordinary.drained_servers[0]",
            25,
        ),
        (
            "[preset.ordinary]",
            "[preset.ordinary]\ndrained_servers = [\"view-1\", \"view-2\"]",
            "preset.ordinary.drained_servers",
            25,
        ),
        (
            "[preset.ordinary]",
            "[preset.ordinary]\nrefused_classes = [\"reports/x\"]",
            "preset.ordinary.refused_classes[0]",
            25,
        ),
        (
            "[preset.ordinary]",
            "[preset.ordinary]\n[presets.x]",
            "presets",
            25,
        ),
        ("region = \"home\"", "region = \"home", "syntax", 3),
    ] {
        let text = VALID_DECLARATIONS.replacen(from, to, 1);
        let text = match to {
            "false" => text.replacen("exclusive", "shared", 1),
            "slot = 3" => text.replacen("slot = 3\n", "", 1),
            _ => text,
        };
        let found = findings(&text);
        let locations: Vec<_> = found
            .iter()
            .map(|finding| (finding.field.as_str(), finding.line))
            .collect();
        assert_eq!(
            locations,
            [(field, Some(line))],
            "{from} -> {to}: {found:#?}"
        );
    }
}

#[test]
fn duplicate_name_in_second_file_gives_finding_with_first_location() {
    let files = [
        SourceFile::new("a.toml", VALID_DECLARATIONS),
        SourceFile::new("b.toml", "\n[preset.ordinary]\n"),
    ];
    let found = DeclarationSet::read(&files).unwrap_err();
    assert_eq!(found.len(), 1, "{found:#?}");
    assert_eq!((found[0].file.as_str(), found[0].line), ("b.toml", Some(2)));
    assert!(found[0].expected.contains("a.toml:24"), "{}", found[0]);
}

#[test]
fn mutated_examples_give_located_findings_without_panic() {
    let mut random = Gen::from_size_and_seed(64, SEED);
    let pool: Vec<String> = example_files("cascadia")
        .into_iter()
        .map(|file| file.text)
        .collect();
    let mut finding_count = 0;
    for round in 0..2_000 {
        let mut text: Vec<char> = random.choose(&pool).unwrap().chars().collect();
        text.truncate(usize::arbitrary(&mut random) % 1_500 + 1);
        for _ in 0..u8::arbitrary(&mut random) % 12 {
            let at = usize::arbitrary(&mut random) % text.len();
            let replacement = match u8::arbitrary(&mut random) % 3 {
                0 => *random
                    .choose(&['[', ']', '"', '=', '\n', '.', '{', '}', '0', '-'])
                    .unwrap(),
                1 => char::arbitrary(&mut random),
                _ => text[usize::arbitrary(&mut random) % text.len()],
            };
            match bool::arbitrary(&mut random) {
                true => text[at] = replacement,
                false => text.insert(at, replacement),
            }
        }
        let text: String = text.into_iter().collect();
        for finding in findings(&text) {
            finding_count += 1;
            let context = format!("seed {SEED}, round {round}, {finding:?}");
            assert!(
                !finding.field.is_empty() && !finding.expected.is_empty(),
                "{context}"
            );
            assert!(
                finding.line.unwrap_or(1) <= text.lines().count() + 1,
                "{context}"
            );
        }
    }
    assert!(finding_count > 2_000, "{finding_count}");
}

#[test]
fn arbitrary_or_deeply_nested_text_gives_findings_without_panic() {
    let mut random = Gen::from_size_and_seed(200, SEED);
    for _ in 0..500 {
        let text = String::arbitrary(&mut random);
        assert!(!findings(&text).is_empty(), "seed {SEED}: {text:?}");
    }
    for nested in [
        "[".repeat(50_000),
        "a.".repeat(50_000),
        "a={".repeat(50_000),
    ] {
        assert!(!findings(&nested).is_empty());
    }
}
