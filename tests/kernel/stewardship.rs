//! Stewardship of endpoints.
