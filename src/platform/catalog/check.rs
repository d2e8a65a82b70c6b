//! Checks a document for what cannot be used, can never match or contradicts itself.
//!
//! The check reads the document as written, since the decoded catalog no longer shows entries that
//! replace each other and values that are out of range. It reports all that it finds.

mod callers;
mod finding;
mod routes;
mod services;

use std::collections::HashSet;

pub use self::finding::{Finding, Rule, Severity};
use super::{MAX_TIME_S, RawDocument, diff::KEYS_FIELD};
use crate::json::Places;

/// Checks a document. Returns the findings in the order of their lines.
pub fn check(text: &str) -> Vec<Finding> {
    let places = Places::scan(text);
    let document: RawDocument = match serde_json::from_str(text) {
        Ok(document) => document,
        Err(err) => return vec![unreadable(&places, &err)],
    };
    let mut checker = Checker { places, findings: Vec::new() };
    if document.version == 0 {
        let message = "instances ignore version 0; write a version above that in force";
        checker.add(Rule::Version, "version", message);
    }
    checker.check_routes(&document);
    checker.check_services(&document);
    checker.check_teams(&document.tenants);
    if let Some(limits) = &document.limits {
        checker.check_limits(limits);
    }
    checker.findings.sort_by_key(|finding| finding.line);
    checker.findings
}

/// Returns the finding of a document whose version does not replace that of the document in force;
/// `None` if it does, or if one of the two cannot be read.
pub fn check_version(text: &str, in_force: &str) -> Option<Finding> {
    let document: RawDocument = serde_json::from_str(text).ok()?;
    let in_force: RawDocument = serde_json::from_str(in_force).ok()?;
    if document.version > in_force.version {
        return None;
    }
    let mut checker = Checker { places: Places::scan(text), findings: Vec::new() };
    let (version, known) = (document.version, in_force.version);
    let message = format!("version {known} is in force, so instances ignore version {version}");
    checker.add(Rule::Version, "version", message);
    checker.findings.pop()
}

/// Section of the teams, whose values are never quoted: an API key may stand in any of them by mistake.
const TEAMS_SECTION: &str = "tenants";

/// Returns the finding of a document that cannot be read. The parser's message may quote a value, which
/// must not be an API key.
fn unreadable(places: &Places, err: &serde_json::Error) -> Finding {
    let text = err.to_string();
    let path = places.path_at(err.line(), err.column()).unwrap_or_default();
    let whole = text.rsplit_once(" at line ").map_or(&*text, |(message, _)| message);
    let message = match whole.split_once(", expected ") {
        _ if path.contains(KEYS_FIELD) => "write a list of strings".to_owned(),
        Some((_, expected)) if path.starts_with(TEAMS_SECTION) => format!("write {expected}"),
        _ => whole.to_owned(),
    };
    Finding { rule: Rule::Unreadable, path: path.to_owned(), line: err.line() as u64, message }
}

/// Collects what is found in a document.
struct Checker {
    places: Places,
    findings: Vec<Finding>,
}

impl Checker {
    fn add(&mut self, rule: Rule, path: impl Into<String>, message: impl Into<String>) {
        let path = path.into();
        let line = self.places.line_of(&path).unwrap_or(1);
        self.findings.push(Finding { rule, path, line, message: message.into() });
    }

    /// Adds a finding for each name that an earlier entry has.
    fn check_names<'a>(&mut self, list: &str, rule: Rule, names: impl Iterator<Item = &'a str>) {
        let mut seen = HashSet::new();
        for (index, name) in names.enumerate() {
            if !seen.insert(name) {
                let message = format!("an earlier entry is named {name} too");
                self.add(rule, format!("{list}[{index}].name"), message);
            }
        }
    }

    /// Adds a finding for a number below zero.
    fn check_sign(&mut self, path: String, number: f64) {
        if number < 0.0 {
            self.add(Rule::Negative, path, format!("{number} is below zero"));
        }
    }

    /// Adds findings for a time that is below zero or longer than a day.
    fn check_time(&mut self, path: String, seconds: f64) {
        if seconds > MAX_TIME_S {
            self.add(Rule::LongTime, path, format!("{seconds} s is cut to a day"));
        } else {
            self.check_sign(path, seconds);
        }
    }
}
