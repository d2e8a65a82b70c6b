//! Checks of the settings.
