//! Checks of the configuration.
