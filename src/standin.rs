//! Small stand-ins for the platform, for engines and for plain services, which only the tests and
//! the demo use.

pub mod caller;
pub mod duties;
pub mod engine;
pub mod http1;
pub mod metadata;
pub mod operator;
pub mod platform;
pub mod service;
pub mod worker;

/// Largest request body that a stand-in reads, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;
