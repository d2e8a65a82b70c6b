//! Requests that crash their endpoints.
