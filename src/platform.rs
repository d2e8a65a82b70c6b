//! Clients of the platform: of its key-value service, its instance list and its metadata store. The
//! module also encodes requests to engines, and the headers of callers' requests and endpoints'
//! responses.
//!
//! Only this module knows the formats and protocols of the platform.

pub mod caller;
pub mod catalog;
mod client;
pub mod duties;
pub(crate) mod encoding;
pub mod engine;
mod in_force;
mod list;
pub mod registration;
pub mod store;

pub use self::{
    client::{Change, Client, Kv, LeaseId, PlatformError, Put, Snapshot, Txn, TxnReply, Watch},
    encoding::range_end,
    in_force::DocumentReader,
    list::{InstanceList, ListedEndpoint, ListedInstance, ListedState},
};
