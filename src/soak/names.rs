//! Names and keys that the fleet, its callers and the check share.

/// Data centres of the fleet.
pub const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Models of the engines.
pub const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];

/// Hash of the part of prompts that crashes engines.
pub const FATAL_PART: &str = "fa7a1";

/// Key that is always valid, and the team that it belongs to.
pub const KEY: &str = "soak-key-0001";

/// Key that is withdrawn at times.
pub const WITHDRAWN_KEY: &str = "soak-key-0002";

/// Team of both keys.
pub const TEAM: &str = "kites";

/// Host of all routes.
pub const HOST: &str = "soak.example";
