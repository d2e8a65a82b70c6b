//! The operators' commands.
