//! Messages between instances: `prost` structs in length-delimited frames.

mod codec;
mod message;

pub use self::{
    codec::{FRAME_LIMIT, FrameCodec, WireError},
    message::*,
};
