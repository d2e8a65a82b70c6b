//! Tables of the documents against the code.

use cardamomshore::{codes::Code, events::Event};

const CODES: &str = include_str!("../../docs/CODES.md");
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
