//! `cardamomshore config check` for documents of the users' platform.

use std::net::SocketAddr;

use super::{CliError, args::Args, block_on, read_file};
use crate::platform::{
    DocumentReader,
    catalog::{
        check::{Finding, Rule, Severity, check, check_version},
        decode,
        diff::{Difference, compare},
    },
};

/// Sections that only the YAML configuration has.
const YAML_SECTIONS: [&str; 2] = ["classes", "pools"];

/// Returns whether a text is a document of the users' platform, perhaps a malformed one, and not a YAML
/// configuration, which may be written as JSON too.
pub fn is_platform_document(text: &str) -> bool {
    match serde_json::from_str::<serde_json::Value>(text) {
        Ok(value) => {
            value.is_object() && YAML_SECTIONS.iter().all(|name| value.get(name).is_none())
        }
        Err(_) => {
            let fields = text.trim_start().strip_prefix('{').map(str::trim_start);
            fields.is_some_and(|fields| fields.starts_with('"'))
        }
    }
}

/// What the check of a document has found.
struct Outcome {
    findings: Vec<Finding>,
    /// Differences from the document in force; `None` if it was not asked for, or cannot be compared.
    differences: Option<Vec<Difference>>,
}

/// Checks a document, and compares it with the one in force if the arguments name where that is. Prints
/// what is found.
pub fn check_document(path: &str, text: &str, args: &Args) -> Result<(), CliError> {
    let mut outcome = Outcome { findings: check(text), differences: None };
    let is_readable = outcome.findings.iter().all(|finding| finding.rule != Rule::Unreadable);
    if let Some(source) = args.option("against").filter(|_| is_readable) {
        let in_force = read_in_force(source)?;
        let reference = in_force.as_deref().unwrap_or("{}");
        let differences =
            compare(reference, text).map_err(|err| CliError::Failed(format!("{source}: {err}")))?;
        if !differences.is_empty() {
            outcome.findings.extend(check_version(text, reference));
        }
        outcome.differences = Some(differences);
    }
    print_outcome(path, text, args.option("against"), &outcome)?;
    outcome.result(path, args.has_flag("exit-code"))
}

/// Reads the document in force from the store at an address or from a file. Returns `None` if the store
/// has none.
fn read_in_force(source: &str) -> Result<Option<String>, CliError> {
    let Ok(address) = source.parse::<SocketAddr>() else {
        return read_file(source).map(Some);
    };
    let document = block_on(DocumentReader::new(address).read())?;
    document.map_err(|err| CliError::Failed(format!("cannot read the store at {source}: {err}")))
}

/// Prints the findings and the differences, or what the document contains if there are no errors.
fn print_outcome(
    path: &str,
    text: &str,
    source: Option<&str>,
    outcome: &Outcome,
) -> Result<(), CliError> {
    for finding in &outcome.findings {
        println!("{path}: {finding}");
    }
    if outcome.count(Severity::Error) == 0 {
        let catalog =
            decode(text.as_bytes()).map_err(|err| CliError::Failed(format!("{path}: {err}")))?;
        let routes: usize = catalog.routes.values().map(Vec::len).sum();
        println!(
            "{path}: usable, version {}, routes: {routes}, services: {}, keys: {}",
            catalog.version,
            catalog.services.len(),
            catalog.keys.len()
        );
    }
    if let (Some(source), Some(differences)) = (source, &outcome.differences) {
        println!("differences from {source}: {}", differences.len());
        for difference in differences {
            println!("{difference}");
        }
    }
    Ok(())
}

impl Outcome {
    /// Returns the number of findings of a severity.
    fn count(&self, severity: Severity) -> usize {
        self.findings.iter().filter(|finding| finding.severity() == severity).count()
    }

    /// Returns the result of the command. Differences count only if `asks_differences` is set.
    fn result(&self, path: &str, asks_differences: bool) -> Result<(), CliError> {
        let (errors, warnings) = (self.count(Severity::Error), self.count(Severity::Warning));
        if errors > 0 {
            let text = format!("{path}: errors: {errors}, warnings: {warnings}");
            return Err(CliError::Failed(text));
        }
        let differs = self.differences.as_ref().is_some_and(|found| !found.is_empty());
        if asks_differences && differs {
            return Err(CliError::Differs(format!("{path} differs from the document in force")));
        }
        match warnings {
            0 => Ok(()),
            _ => Err(CliError::Warned(format!("{path}: warnings: {warnings}"))),
        }
    }
}
