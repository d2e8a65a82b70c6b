//! Token buckets.
