//! Compares two configuration documents.

use similar::TextDiff;

use crate::config::RawConfig;

/// Unchanged lines that are printed around each difference.
const CONTEXT_LINES: usize = 3;

/// Returns the differences between two documents, each given by its name and text, as a unified
/// diff. It is empty if there are none.
///
/// Both documents are normalized before they are compared: comments are removed, and entries are
/// ordered by name.
pub fn unified_diff(old: (&str, &str), new: (&str, &str)) -> String {
    let old_text = normalize(old.1);
    let new_text = normalize(new.1);
    let diff = TextDiff::from_lines(&old_text, &new_text);
    let mut unified_diff = diff.unified_diff();
    unified_diff.context_radius(CONTEXT_LINES).header(old.0, new.0).to_string()
}

/// Returns a document in its normal form, or unchanged if it cannot be parsed.
fn normalize(text: &str) -> String {
    let raw = serde_saphyr::from_str::<RawConfig>(text).ok();
    let normalized = raw.and_then(|raw| serde_saphyr::to_string(&raw).ok());
    normalized.unwrap_or_else(|| text.to_owned())
}
