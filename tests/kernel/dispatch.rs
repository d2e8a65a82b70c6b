//! The order of dispatch.
