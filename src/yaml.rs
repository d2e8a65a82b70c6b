//! Reads YAML documents with errors that name the line and say nothing of the library.

mod locate;

pub use self::locate::line_of;

use serde::de::DeserializeOwned;

/// Advice of the library that is of no use to the writer of a document.
const ADVICE: &str = ", set DuplicateKeyPolicy in Options if acceptable";

/// Parses a document, or returns what is wrong with it, the line first.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    serde_saphyr::from_str(text).map_err(|err| {
        let reason = err.to_string();
        let reason = reason.strip_prefix("error: ").unwrap_or(&reason);
        reason.replace(ADVICE, "")
    })
}
