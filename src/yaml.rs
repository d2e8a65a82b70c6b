//! Parses YAML documents, with errors that state the line and do not mention the library.

mod locate;

pub use self::locate::line_of;

use serde::de::DeserializeOwned;

/// Advice in the library's errors that does not help the author of a document.
const LIBRARY_ADVICE: &str = ", set DuplicateKeyPolicy in Options if acceptable";

/// Parses a document, or returns an error message that begins with the line.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    serde_saphyr::from_str(text).map_err(|err| {
        let reason = err.to_string();
        let reason = reason.strip_prefix("error: ").unwrap_or(&reason);
        reason.replace(LIBRARY_ADVICE, "")
    })
}
