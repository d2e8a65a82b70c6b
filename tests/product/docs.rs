//! Tables of the documents against the code.

use std::collections::BTreeSet;

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
