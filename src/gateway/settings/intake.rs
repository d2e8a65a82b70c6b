//! The budget for clients, which follows from the limits of the machine.

use rustix::process::{Resource, getrlimit};

use super::{
    field::{field_error, non_negative},
    raw::{RawIntake, RawLimits},
};
use crate::{
    kernel::intake::{CONNECTION_BYTES, IntakeLimits},
    settings::SettingsError,
};

/// Memory of the smallest machine, which counts where the settings name none.
const DEFAULT_MEMORY_MB: f64 = 160.0;

/// Descriptors of the smallest machine, which count where the settings name none.
const DEFAULT_FDS: usize = 3_075;

/// Descriptors that are left to files, the store and other uses.
const FILE_FDS: usize = 200;

/// Fraction of the memory that clients may occupy. The process itself needs 20 to 30 MB, and the allocator
/// keeps memory that is freed in pieces: with 0.4, a process of 96 MB reached 107 MB.
const MEMORY_FRACTION: f64 = 0.3;

/// Fraction of the sockets that listeners and requests may use. The rest is for idle connections to
/// endpoints and for connections that are being closed.
const SOCKET_FRACTION: f64 = 0.9;

/// Fraction of the budget that one peer address may use. Many callers may share an address, and less than
/// what all bodies may use together leaves others some.
const PEER_FRACTION: f64 = 0.7;

/// Fraction of the bytes that connections without a request may use, which bounds their number.
const CONNECTION_FRACTION: f64 = 0.6;

/// Least budget of bytes, in megabytes, and of sockets.
const MIN_INTAKE_MB: f64 = 4.0;
const MIN_SOCKETS: usize = 64;

/// Returns the budget for clients, by default from the limits of the machine.
pub(super) fn parse_intake(
    limits: &RawLimits,
    raw: &RawIntake,
) -> Result<IntakeLimits, SettingsError> {
    let memory = non_negative("limits.memory_mb", limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB))?;
    let default_mb = (memory * MEMORY_FRACTION).max(MIN_INTAKE_MB);
    let bytes_mb = non_negative("intake.bytes_mb", raw.bytes_mb.unwrap_or(default_mb))?;
    if bytes_mb < MIN_INTAKE_MB {
        return Err(field_error("intake.bytes_mb", "write a number of at least 4"));
    }
    let system = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize);
    let fds = limits.max_fds.unwrap_or(DEFAULT_FDS).min(system);
    let by_fds = (fds.saturating_sub(FILE_FDS) as f64 * SOCKET_FRACTION) as usize;
    let bytes = bytes_mb * (1 << 20) as f64;
    let by_bytes = (bytes * CONNECTION_FRACTION) as usize / CONNECTION_BYTES;
    let sockets = raw.sockets.unwrap_or(by_fds.min(by_bytes).max(MIN_SOCKETS));
    if sockets < MIN_SOCKETS {
        return Err(field_error("intake.sockets", "write a number of at least 64"));
    }
    let peer_fraction = raw.peer_fraction.unwrap_or(PEER_FRACTION);
    if !(peer_fraction > 0.0 && peer_fraction <= 1.0) {
        return Err(field_error("intake.peer_fraction", "write a number above 0, up to 1"));
    }
    Ok(IntakeLimits { bytes: bytes as usize, sockets, peer_fraction })
}
