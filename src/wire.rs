//! Messages between instances: `prost` structs in length-delimited frames.

mod codec;
mod end;
mod loan;
mod message;
mod suspect;

pub use self::{
    codec::{FRAME_LIMIT, FrameCodec, WireError},
    loan::{LoanAsk, LoanGrant},
    message::*,
    suspect::Suspect,
};
