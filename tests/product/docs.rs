//! Compares the tables in the documents with the code.

use std::{collections::BTreeSet, path::Path};

use cardamomshore::{
    codes::Code, config::Config, events::Event, platform::catalog::check::Rule, settings::Settings,
};

/// Page of the error codes.
const CODES_PAGE: &str = include_str!("../../docs/CODES.md");
/// Page of the configuration and the settings.
const CONFIG_PAGE: &str = include_str!("../../docs/CONFIG.md");
/// Page of the events.
const EVENTS_PAGE: &str = include_str!("../../docs/EVENTS.md");

/// Returns the table rows of a page whose first cell begins with a digit.
fn numbered_rows(page: &str) -> Vec<&str> {
    page.lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .collect()
}

/// The page of the error codes could differ from the table in the code.
#[test]
fn codes_table_matches_code() {
    let expected: Vec<String> = Code::ALL
        .iter()
        .map(|code| {
            format!("| {} | {} | {} | {} |", code.number(), code.name(), code.status(), code.text())
        })
        .collect();
    assert_eq!(numbered_rows(CODES_PAGE), expected);
}

/// The page of the error codes could lack a rule of the configuration check, or list another one.
#[test]
fn rules_table_matches_code() {
    let expected: Vec<String> = Rule::ALL
        .iter()
        .map(|rule| format!("| {} | {} | {} |", rule.name(), rule.severity(), rule.text()))
        .collect();
    let (_, table) =
        CODES_PAGE.split_once("| Rule | Severity | Meaning |\n|---|---|---|\n").expect("a table");
    let found: Vec<&str> = table.lines().take_while(|line| line.starts_with("| ")).collect();
    assert_eq!(found, expected);
}

/// The page of the events could differ from the table in the code.
#[test]
fn events_table_matches_code() {
    let expected: Vec<String> = Event::ALL
        .iter()
        .map(|event| {
            format!(
                "| {} | {} | {} | {} |",
                event.number(),
                event.name(),
                event.level(),
                event.text()
            )
        })
        .collect();
    assert_eq!(numbered_rows(EVENTS_PAGE), expected);
}

/// Returns the names of the allowed fields, which an error about an unknown field lists.
fn allowed_fields(error: &str) -> Vec<String> {
    let message = error.lines().next().unwrap_or_default();
    let (_, names) = message.split_once("expected one of ").unwrap_or(("", ""));
    let names = if names.is_empty() {
        message.split_once("expected ").map_or("", |(_, names)| names)
    } else {
        names
    };
    names
        .split([',', ' '])
        .map(|name| name.trim_matches('`').to_owned())
        .filter(|name| !name.is_empty() && name != "or")
        .collect()
}

/// Returns the part of the configuration page from a heading to the next one.
fn section<'a>(heading: &str) -> &'a str {
    let (_, rest) = CONFIG_PAGE.split_once(&format!("{heading}\n")).expect(heading);
    rest.split_once("\n#").map_or(rest, |(section, _)| section)
}

/// Checks that the table under a heading lists exactly the fields that `error` allows.
fn assert_documented(heading: &str, error: &str) {
    let expected: BTreeSet<String> = allowed_fields(error).into_iter().collect();
    assert!(
        !expected.is_empty(),
        "{heading}: expected the error to list the allowed fields: {error}"
    );
    let rows = section(heading).lines().filter_map(|line| line.strip_prefix("| `"));
    let found: BTreeSet<String> =
        rows.filter_map(|row| row.split_once('`')).map(|(name, _)| name.to_owned()).collect();
    assert_eq!(found, expected, "expected the fields of {heading} in the page");
}

/// The page of the configuration could lack a field or list one that no longer exists. The error
/// about an unknown field names those that exist.
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

/// Page that names the tests of each promise.
const PROOFS_PAGE: &str = include_str!("../../docs/PROOFS.md");

/// Adds the names of all functions that are not `async` in the files under `dir` to `names`.
fn collect_names(dir: &Path, names: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(dir).expect("expected a folder of tests") {
        let path = entry.expect("expected an entry of the folder").path();
        if path.is_dir() {
            collect_names(&path, names);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("expected a file of tests");
        let lines = text.lines().filter_map(|line| line.trim().strip_prefix("fn "));
        names.extend(lines.filter_map(|rest| Some(rest.split_once('(')?.0.to_owned())));
    }
}

/// The page of promises could name tests that were renamed or deleted.
#[test]
fn proofs_name_existing_tests() {
    let mut names = BTreeSet::new();
    collect_names(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests"), &mut names);
    let rows =
        PROOFS_PAGE.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| Promise"));
    let mut count = 0;
    for row in rows {
        let tests_cell = row.split('|').nth(3).expect("expected the row to have a column of tests");
        let tests =
            tests_cell.split([',', ':', ';', ' ']).map(str::trim).filter(|word| word.contains('_'));
        for test in tests {
            let exists = match test.strip_suffix('*') {
                Some(prefix) => names.iter().any(|name| name.starts_with(prefix)),
                None => names.contains(test),
            };
            assert!(exists, "expected a test named {test}");
            count += 1;
        }
    }
    assert!(count > 50, "expected more than 50 names of tests, found {count}");
}
