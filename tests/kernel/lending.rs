//! Shares of rates and loans.
