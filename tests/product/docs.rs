//! Tables of the documents against the code.

use std::{collections::BTreeSet, path::Path};

use cardamomshore::{codes::Code, config::Config, events::Event, settings::Settings};

const CODES: &str = include_str!("../../docs/CODES.md");
const CONFIG: &str = include_str!("../../docs/CONFIG.md");
const EVENTS: &str = include_str!("../../docs/EVENTS.md");

fn rows(page: &str) -> Vec<&str> {
    page.lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .collect()
}

#[test]
fn codes_table_matches_code() {
    let expected: Vec<String> = Code::ALL
        .iter()
        .map(|c| format!("| {} | {} | {} | {} |", c.number(), c.name(), c.status(), c.text()))
        .collect();
    assert_eq!(rows(CODES), expected);
}

#[test]
fn events_table_matches_code() {
    let expected: Vec<String> = Event::ALL
        .iter()
        .map(|e| format!("| {} | {} | {} | {} |", e.number(), e.name(), e.level(), e.text()))
        .collect();
    assert_eq!(rows(EVENTS), expected);
}

/// Returns the fields that a document may have at a place, from the error about one it may not.
fn fields(error: &str) -> Vec<String> {
    let first = error.lines().next().unwrap_or_default();
    let (_, names) = first.split_once("expected one of ").unwrap_or(("", ""));
    let names = if names.is_empty() {
        first.split_once("expected ").map_or("", |(_, names)| names)
    } else {
        names
    };
    names
        .split([',', ' '])
        .map(|name| name.trim_matches('`').to_owned())
        .filter(|name| !name.is_empty() && name != "or")
        .collect()
}

fn section<'a>(heading: &str) -> &'a str {
    let (_, rest) = CONFIG.split_once(&format!("{heading}\n")).expect(heading);
    rest.split_once("\n#").map_or(rest, |(section, _)| section)
}

fn assert_documented(heading: &str, error: &str) {
    let expected: BTreeSet<String> = fields(error).into_iter().collect();
    assert!(!expected.is_empty(), "{heading}: {error}");
    let rows = section(heading).lines().filter_map(|line| line.strip_prefix("| `"));
    let found: BTreeSet<String> =
        rows.filter_map(|row| row.split_once('`')).map(|(name, _)| name.to_owned()).collect();
    assert_eq!(found, expected, "{heading}");
}

#[test]
fn config_page_lists_every_field() {
    let error = |text: &str| Config::parse(1, text).expect_err(text).to_string();
    assert_documented("## Configuration", &error("nothing: 1"));
    let named = ["classes", "teams", "keys", "data_centres", "pools", "models", "services"];
    for name in named {
        assert_documented(
            &format!("### {name}"),
            &error(&format!("{name}: {{ x: {{ nothing: 1 }} }}")),
        );
    }
    let route = "services: { x: { pool: p, routes: [{ nothing: 1 }] } }";
    assert_documented("### routes", &error(route));
    for name in ["weight_store", "policy"] {
        assert_documented(&format!("### {name}"), &error(&format!("{name}: {{ nothing: 1 }}")));
    }
    let error = |text: &str| Settings::parse(text).expect_err(text).to_string();
    assert_documented("## Settings of a process", &error("nothing: 1"));
    assert_documented("### log", &error("log: { nothing: 1 }"));
}

const PROOFS: &str = include_str!("../../docs/PROOFS.md");

/// Returns the names of all functions in the tests' files.
fn test_names(dir: &Path, names: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(dir).expect("a folder of tests") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            test_names(&path, names);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a file of tests");
        let lines = text.lines().filter_map(|line| line.trim().strip_prefix("fn "));
        names.extend(lines.filter_map(|rest| Some(rest.split_once('(')?.0.to_owned())));
    }
}

#[test]
fn proofs_name_existing_tests() {
    let mut names = BTreeSet::new();
    test_names(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests"), &mut names);
    let rows =
        PROOFS.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| Promise"));
    let mut count = 0;
    for row in rows {
        let cell = row.split('|').nth(3).expect("a row has a column of tests");
        let words = cell.split([',', ':', ';', ' ']).map(str::trim).filter(|w| w.contains('_'));
        for word in words {
            let known = match word.strip_suffix('*') {
                Some(prefix) => names.iter().any(|name| name.starts_with(prefix)),
                None => names.contains(word),
            };
            assert!(known, "no test is named {word}");
            count += 1;
        }
    }
    assert!(count > 50, "the table names its tests, {count} found");
}
