//! Small stand-ins for the platform, engines and plain services, for tests and the demo only.

pub mod engine;
pub mod platform;
pub mod service;

/// Most bytes of a request body that a stand-in reads.
pub const BODY_LIMIT: usize = 8 << 20;
