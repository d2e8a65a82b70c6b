//! Cold endpoints and requests that crash endpoints.
