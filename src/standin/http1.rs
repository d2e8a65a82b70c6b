//! A small HTTP/1.1 server for the stand-ins of the users' platform. It breaks its connections when it
//! is dropped, as a process does that crashes.

use std::{future::Future, io, net::SocketAddr};

use bytes::Bytes;
use futures_util::stream::poll_fn;
use http::{Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, watch},
    task::AbortHandle,
};

/// Length of the queue of connections that are not accepted yet.
const LISTEN_QUEUE_LEN: u32 = 1_024;

/// Parts of a streamed body that may wait for the receiver.
const PART_QUEUE_LEN: usize = 64;

/// The error that breaks the connection of a response.
#[derive(Clone, Copy, Debug)]
#[derive(thiserror::Error)]
#[error("the connection is broken on purpose")]
pub struct Broken;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// Sends the parts of a streamed body; an error breaks the connection.
pub type PartSender = mpsc::Sender<Result<Bytes, Broken>>;

/// Returns a response with a whole body.
pub fn whole_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Returns a response with a streamed body, and the sender of its parts.
pub fn streamed_response(status: StatusCode) -> (PartSender, Response<Body>) {
    let (tx, mut rx) = mpsc::channel::<Result<Bytes, Broken>>(PART_QUEUE_LEN);
    let parts = poll_fn(move |cx| rx.poll_recv(cx).map(|part| part.map(|p| p.map(Frame::data))));
    let mut response = Response::new(StreamBody::new(parts).boxed_unsync());
    *response.status_mut() = status;
    (tx, response)
}

/// A running server. Dropping it closes the listener and breaks all connections.
pub struct Server {
    task: AbortHandle,
    /// Its receivers are notified when the server is dropped.
    _running: watch::Sender<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Starts a server at `address`. An error of the handler breaks the connection without a response.
    /// Fails if the address is in use.
    pub fn start<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<Response<Body>, Broken>> + Send + 'static,
    {
        let listener = listen(address)?;
        let (running, ended) = watch::channel(());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (handler, mut ended) = (handler.clone(), ended.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = serve(stream, handler) => {}
                        _ = ended.changed() => {}
                    }
                });
            }
        });
        Ok(Self { task: task.abort_handle(), _running: running })
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_QUEUE_LEN)
}

/// Serves the requests of one connection until it ends.
async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<Body>, Broken>>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(handler);
    if let Err(err) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
        log::debug!("event=standin_connection_ended reason={err}");
    }
}
