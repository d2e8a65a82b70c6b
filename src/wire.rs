//! Messages between instances: `prost` structs in length-delimited frames.

mod codec;
mod end;
mod message;
mod suspect;

pub use self::{
    codec::{FRAME_LIMIT, FrameCodec, WireError},
    message::*,
    suspect::Suspect,
};
