//! Callers' keys, which no endpoint may see.
