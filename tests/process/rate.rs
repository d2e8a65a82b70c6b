//! Rates of teams over all instances.
