//! Messages between instances: `prost` structs in length-delimited frames on a link.
//!
//! The structs are written by hand with derives, so that the build needs no code generator.

mod answer;
mod ask;
mod codec;
mod end;
mod frame;
mod loan;
mod state;
mod suspect;
mod work;

pub use self::{
    answer::{Chunk, End, Head},
    ask::{
        ConfigDoc, ConfigRequest, Document, DocumentRequest, Move, MoveReply, PeerRequest,
        PeerRequestBody, Reply, ReplyBody, StoredResponseRequest,
    },
    codec::{FrameCodec, MAX_FRAME_BYTES, WireError},
    frame::{Body, Cancel, Credit, Frame, Hello},
    loan::{LoanGrant, LoanRequest},
    state::{Digest, EndpointDigest, Heartbeat, ModelDemand},
    suspect::Suspect,
    work::{Header, Work},
};
