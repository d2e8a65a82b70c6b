//! The configuration in force on every instance.
