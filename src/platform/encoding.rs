//! JSON messages of the key-value service, in which bytes are base64 and 64-bit integers are text.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Bytes that are encoded as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64(pub Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Base64).map_err(D::Error::custom)
    }
}

/// An integer that is encoded as text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int(pub i64);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Number(i64),
        }
        match Either::deserialize(deserializer)? {
            Either::Text(text) => text.parse().map(Int).map_err(D::Error::custom),
            Either::Number(number) => Ok(Int(number)),
        }
    }
}

/// Returns the end of the key range that holds all keys with the given prefix.
pub fn range_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// A record.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct KvJson {
    pub key: Base64,
    pub value: Base64,
    pub mod_revision: Int,
    pub lease: Int,
}

/// Header of each reply.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct HeaderJson {
    pub revision: Int,
}

/// Request to read a record, or the records of a key range.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeJson {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
}

/// Reply to a request to read.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeReply {
    pub header: HeaderJson,
    pub kvs: Vec<KvJson>,
}

/// Operation that writes a record.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct PutJson {
    pub key: Base64,
    pub value: Base64,
    pub lease: Int,
}

/// Operation that deletes a record.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteJson {
    pub key: Base64,
}

/// Condition on the revision of a record.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct CompareJson {
    pub key: Base64,
    pub target: String,
    pub result: String,
    pub mod_revision: Int,
}

/// An operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct OpJson {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutJson>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteJson>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeJson>,
}

/// Request to run a transaction.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TxnJson {
    pub compare: Vec<CompareJson>,
    pub success: Vec<OpJson>,
    pub failure: Vec<OpJson>,
}

/// Reply to an operation of a transaction.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct OpReply {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeReply>,
}

/// Reply to a transaction.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TxnReplyJson {
    pub header: HeaderJson,
    pub succeeded: bool,
    pub responses: Vec<OpReply>,
}

/// Request to grant, renew or revoke a lease, and the reply to it.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "UPPERCASE")]
pub struct LeaseJson {
    pub id: Int,
    pub ttl: Int,
}

/// A message in a reply that is a stream.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct StreamReply<T: Default> {
    pub result: T,
}

/// Request to open a watch.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchJson {
    pub create_request: WatchCreate,
}

/// What a watch covers.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    pub key: Base64,
    pub range_end: Base64,
    pub start_revision: Int,
}

/// A message of a watch.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchReply {
    pub header: HeaderJson,
    pub events: Vec<EventJson>,
    pub canceled: bool,
    pub compact_revision: Int,
}

/// A change that a watch reports.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct EventJson {
    #[serde(rename = "type")]
    pub kind: String,
    pub kv: KvJson,
}
