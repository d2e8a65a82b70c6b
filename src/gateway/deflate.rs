//! Compresses large contents of frames.

use std::io::{Error, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// Compresses `data`, fast rather than small.
pub fn deflate(data: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let result = encoder.write_all(data).and_then(|()| encoder.finish());
    // Writing to memory cannot fail.
    result.unwrap_or_default().into()
}

/// Decompresses what another instance has sent, at most `max_bytes` of it; fails if it is not valid.
pub fn inflate(deflated: &[u8], max_bytes: u64) -> Result<Bytes, Error> {
    let mut data = Vec::new();
    DeflateDecoder::new(deflated).take(max_bytes).read_to_end(&mut data)?;
    Ok(data.into())
}
