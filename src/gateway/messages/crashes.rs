//! Frames about the causes of crashes.

use prost::Message;

use crate::kernel::{
    grants::{Cause, CrashRecord},
    suspect::CrashId,
};

/// The causes of crashes that the sender knows.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct CrashesFrame {
    /// A record of each cause.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<CrashRecordFrame>,
}

/// What is known of a possible cause.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct CrashRecordFrame {
    /// The possible cause.
    #[prost(message, optional, tag = "1")]
    pub cause: Option<CauseFrame>,
    /// Ids of the crashes.
    #[prost(fixed64, repeated, tag = "2")]
    pub crashes: Vec<u64>,
}

/// A possible cause of a crash.
#[derive(Clone, Copy, PartialEq)]
#[derive(Message)]
pub struct CauseFrame {
    /// Whether the cause is a part of a prompt, not a whole request.
    #[prost(bool, tag = "1")]
    pub is_part: bool,
    /// Hash of the part, or fingerprint of the request.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
}

impl From<Cause> for CauseFrame {
    fn from(cause: Cause) -> Self {
        match cause {
            Cause::Request(hash) => Self { is_part: false, hash },
            Cause::PromptPart(hash) => Self { is_part: true, hash },
        }
    }
}

impl From<CauseFrame> for Cause {
    fn from(frame: CauseFrame) -> Self {
        match frame.is_part {
            true => Cause::PromptPart(frame.hash),
            false => Cause::Request(frame.hash),
        }
    }
}

impl From<Vec<CrashRecord>> for CrashesFrame {
    fn from(records: Vec<CrashRecord>) -> Self {
        let records = records.into_iter().map(|record| CrashRecordFrame {
            cause: Some(record.cause.into()),
            crashes: record.crashes.into_iter().map(|CrashId(id)| id).collect(),
        });
        Self { records: records.collect() }
    }
}

impl From<CrashesFrame> for Vec<CrashRecord> {
    fn from(frame: CrashesFrame) -> Self {
        let records = frame.records.into_iter().filter_map(|record| {
            Some(CrashRecord {
                cause: record.cause?.into(),
                crashes: record.crashes.into_iter().map(CrashId).collect(),
            })
        });
        records.collect()
    }
}
