//! Compresses large contents of frames.

use std::io::{Error, ErrorKind, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// Compresses `data`, fast rather than small.
pub fn deflate(data: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let result = encoder.write_all(data).and_then(|()| encoder.finish());
    result.expect("writing to memory cannot fail").into()
}

/// Decompresses what another instance has sent; fails if it is not valid or longer than `max_bytes`.
pub fn inflate(deflated: &[u8], max_bytes: u64) -> Result<Bytes, Error> {
    let mut data = Vec::new();
    // One byte more than allowed tells data that is too long from data that ends there.
    DeflateDecoder::new(deflated).take(max_bytes.saturating_add(1)).read_to_end(&mut data)?;
    if data.len() as u64 > max_bytes {
        let message = format!("more than {max_bytes} bytes after decompression");
        return Err(Error::new(ErrorKind::InvalidData, message));
    }
    Ok(data.into())
}
