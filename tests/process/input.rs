//! Malformed, oversized and slow input.
