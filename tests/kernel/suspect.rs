//! Requests that crash endpoints.
