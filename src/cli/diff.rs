//! Differences between two configuration documents.

use similar::TextDiff;

use crate::config::RawConfig;

/// Lines of context around each difference.
const CONTEXT_LINES: usize = 3;

/// Returns the differences as a unified diff, or an empty text where there are none.
///
/// Both documents are compared in their standard form, without comments and in the order of names.
pub fn unified(old: (&str, &str), new: (&str, &str)) -> String {
    let before = normalize(old.1);
    let after = normalize(new.1);
    let diff = TextDiff::from_lines(&before, &after);
    let mut unified = diff.unified_diff();
    unified.context_radius(CONTEXT_LINES).header(old.0, new.0).to_string()
}

fn normalize(text: &str) -> String {
    let raw = serde_saphyr::from_str::<RawConfig>(text).ok();
    let standard = raw.and_then(|raw| serde_saphyr::to_string(&raw).ok());
    standard.unwrap_or_else(|| text.to_owned())
}
