//! Configuration versions.
