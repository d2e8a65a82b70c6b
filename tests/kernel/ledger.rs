//! The memory ledger.
