//! Streamed answers that are cut, crossed or late.
