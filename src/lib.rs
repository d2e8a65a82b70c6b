//! Serves many models on fewer accelerators.
//!
//! One binary runs on each entry instance. `kernel` makes the decisions without any I/O. `node` and
//! `gateway` connect it to sockets, clocks and the platform.

pub mod catalog;
pub mod cli;
pub mod clock;
pub mod codes;
pub mod config;
pub mod demo;
pub mod endpoint;
pub mod events;
pub mod gateway;
pub mod http;
pub mod json;
pub mod kernel;
pub mod measure;
pub mod names;
pub mod node;
pub mod platform;
pub mod settings;
pub mod shards;
pub mod soak;
pub mod standin;
pub mod telemetry;
pub mod timeline;
pub mod wire;
pub mod yaml;
