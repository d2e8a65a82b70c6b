//! Encodes and decodes frames, each with its length in front.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::{
    super::deflate::{deflate, inflate},
    Content, Frame,
};

/// Largest frame in bytes. It must hold the operators' document, which is the largest content.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Largest first frame of a link, which holds a hello or an announcement of some hundred bytes.
const MAX_FIRST_FRAME_BYTES: usize = 16 << 10;

/// Largest frame in bytes before it is deflated. It must hold the table of 12,000 endpoints, about 4 MB.
const MAX_INFLATED_BYTES: usize = 16 << 20;

/// Size in bytes from which a frame is deflated. A smaller one takes few packets either way.
const MIN_DEFLATED_BYTES: usize = 4_096;

/// Why a frame could not be read or written.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or a frame is too long.
    #[error("link failed: {0}")]
    Io(#[from] std::io::Error),
    /// A frame could not be decoded.
    #[error("malformed frame: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A deflated frame holds no content that this release knows, or is deflated twice.
    #[error("deflated frame without known content")]
    NoContent,
}

/// An encoded frame, which can be sent on many links without encoding it again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedFrame(Bytes);

impl EncodedFrame {
    /// Returns the size in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }

    /// Deflates the frame for a receiver that reads deflated frames. A small frame stays as it is, and so
    /// does one that the receiver would refuse to inflate.
    pub fn deflated(self) -> Self {
        match (MIN_DEFLATED_BYTES..=MAX_INFLATED_BYTES).contains(&self.size()) {
            true => Self::from(Content::Deflated(deflate(&self.0))),
            false => self,
        }
    }
}

impl Content {
    /// Returns the content of a deflated frame; fails if it is not valid, not known, or deflated itself.
    pub fn inflate(deflated: &[u8]) -> Result<Content, FrameError> {
        let content = Frame::decode(inflate(deflated, MAX_INFLATED_BYTES as u64)?)?.content;
        let content = content.filter(|content| !matches!(content, Content::Deflated(_)));
        content.ok_or(FrameError::NoContent)
    }
}

impl From<Content> for EncodedFrame {
    fn from(content: Content) -> Self {
        Self(Frame { content: Some(content) }.encode_to_vec().into())
    }
}

/// Encodes and decodes the frames of a link.
#[derive(Debug)]
pub struct FrameCodec(LengthDelimitedCodec);

impl Default for FrameCodec {
    fn default() -> Self {
        Self(LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec())
    }
}

impl FrameCodec {
    /// Returns the codec of a link that was accepted, which takes no larger frame than a hello before
    /// [`allow_all`](Self::allow_all).
    pub fn before_hello() -> Self {
        let mut codec = Self::default();
        codec.0.set_max_frame_length(MAX_FIRST_FRAME_BYTES);
        codec
    }

    /// Takes frames of all contents from now on.
    pub fn allow_all(&mut self) {
        self.0.set_max_frame_length(MAX_FRAME_BYTES);
    }
}

impl Decoder for FrameCodec {
    type Item = Content;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Content>, FrameError> {
        while let Some(bytes) = self.0.decode(src)? {
            // A newer release may send a content that this one does not know; it is skipped.
            if let Some(content) = Frame::decode(bytes)?.content {
                return Ok(Some(content));
            }
        }
        Ok(None)
    }
}

impl Encoder<EncodedFrame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: EncodedFrame, dst: &mut BytesMut) -> Result<(), FrameError> {
        metrics::counter!("cardamomshore_link_bytes_total").increment(frame.0.len() as u64);
        self.0.encode(frame.0, dst)?;
        Ok(())
    }
}

impl Encoder<Content> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, content: Content, dst: &mut BytesMut) -> Result<(), FrameError> {
        self.encode(EncodedFrame::from(content), dst)
    }
}
