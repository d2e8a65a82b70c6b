//! The codec of a link: each length-delimited frame holds one [`Frame`].

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::Frame;

/// Largest frame, in bytes; the entry instance refuses callers' bodies that would exceed it.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Why a frame cannot be read or written.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum WireError {
    /// The connection failed or a frame is too long.
    #[error("link: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes of a frame cannot be decoded.
    #[error("garbled frame: {0}")]
    Malformed(#[from] prost::DecodeError),
}

/// Decodes and encodes the frames of one connection.
#[derive(Debug)]
pub struct FrameCodec(LengthDelimitedCodec);

impl Default for FrameCodec {
    fn default() -> Self {
        Self(LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec())
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        match self.0.decode(src)? {
            Some(bytes) => Ok(Some(Frame::decode(bytes)?)),
            None => Ok(None),
        }
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), WireError> {
        let bytes = frame.encode_to_vec();
        metrics::counter!("cardamomshore_link_bytes_total").increment(bytes.len() as u64);
        self.0.encode(Bytes::from(bytes), dst)?;
        Ok(())
    }
}
