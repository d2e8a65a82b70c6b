//! Messages between instances: `prost` structs in length-delimited frames.
//!
//! They are written by hand with derives, so that the build needs no generator.

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
        ConfigAsk, ConfigDoc, Document, Inspect, KeptAsk, Move, MoveReply, PeerRequest,
        PeerRequestBody, Reply, ReplyBody,
    },
    codec::{FRAME_LIMIT, FrameCodec, WireError},
    frame::{Body, Cancel, Credit, Frame, Hello},
    loan::{LoanGrant, LoanRequest},
    state::{Beat, Digest, EndpointDigest, ModelDemand},
    suspect::Suspect,
    work::{Header, Work},
};
