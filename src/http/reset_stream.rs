//! A TCP stream that is never shut down in order.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A connection of a client that ends with a reset, so that what is still on the way is dropped: a
/// request that was given up must not arrive once a link heals.
///
/// The HTTP library shuts the stream down when nobody waits for a response any more. That would queue
/// the end behind the request, so it does nothing here; dropping the stream resets it.
pub struct ResetStream(TcpStream);

impl From<TcpStream> for ResetStream {
    fn from(stream: TcpStream) -> Self {
        if let Err(err) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("event=socket_option_failed reason={err}");
        }
        Self(stream)
    }
}

impl AsyncRead for ResetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
