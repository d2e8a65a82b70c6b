//! The platform's services: the key-value service and the instance list.
//!
//! Nothing outside this module knows their protocols.

pub mod caller;
pub mod catalog;
mod client;
pub(crate) mod encoding;
pub mod engine;
mod list;
pub mod registration;
pub mod store;

pub use self::{
    client::{Change, Client, Kv, LeaseId, PlatformError, Put, Snapshot, Txn, TxnReply, Watch},
    encoding::range_end,
    list::{InstanceList, ListedEndpoint, ListedInstance, ListedState},
};
