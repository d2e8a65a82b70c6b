//! Warm-up of endpoints.
