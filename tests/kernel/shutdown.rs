//! The protocol of a shutdown.
