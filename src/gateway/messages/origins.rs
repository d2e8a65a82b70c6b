//! Frames and records that say at which software version streams began.

use prost::Message;

use crate::kernel::grants::{StreamId, VersionStreams};

/// Streams, by the software version at which they began. The store's records have the same format.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct OriginsFrame {
    /// The streams of each version.
    #[prost(message, repeated, tag = "1")]
    pub versions: Vec<VersionStreamsFrame>,
}

/// The streams that began at one version of a service.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct VersionStreamsFrame {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Version of the endpoints' software.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Hashes of the streams.
    #[prost(fixed64, repeated, tag = "3")]
    pub streams: Vec<u64>,
}

impl From<&[VersionStreams]> for OriginsFrame {
    fn from(lists: &[VersionStreams]) -> Self {
        let versions = lists.iter().map(|list| VersionStreamsFrame {
            service: list.service.to_string(),
            version: list.version.to_string(),
            streams: list.streams.iter().map(|stream| stream.0).collect(),
        });
        Self { versions: versions.collect() }
    }
}

impl From<OriginsFrame> for Vec<VersionStreams> {
    fn from(frame: OriginsFrame) -> Self {
        let lists = frame.versions.into_iter().map(|list| VersionStreams {
            service: list.service.into(),
            version: list.version.into(),
            streams: list.streams.into_iter().map(StreamId).collect(),
        });
        lists.collect()
    }
}
