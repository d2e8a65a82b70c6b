//! Graceful shutdown.
