//! Accepts callers' connections and serves HTTP/1.1 on them.
//!
//! A request enters the process in this module, which calls the HTTP layer directly. The server
//! library's own runner would stop on SIGHUP, which in this process only means that the settings
//! file has changed.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{
    Gateway, directory,
    entry::{self, Origin},
    output::{CountedBody, Output},
    response::{ResponseBody, empty_response},
};
use crate::{http::pool::set_caller_options, telemetry};

/// Connections that the operating system queues until they are accepted. If the queue is full, a
/// caller's connection is delayed by a second.
const LISTEN_QUEUE_LEN: i32 = 1_024;

/// Connections that one listener serves at once.
const MAX_CONNECTIONS: usize = 3_000;

/// Wait after accepting failed, or while [`MAX_CONNECTIONS`] are open.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Bytes that are buffered for one connection.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Time beyond the configured idle timeout after which an idle connection is closed.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests of callers.
    Requests,
    /// Requests of callers that other instances pass on.
    Relay,
    /// Addresses of instances, for callers.
    Directory,
    /// Readiness checks of the platform.
    Readiness,
    /// Metrics of this instance.
    Metrics,
}

/// Opens a listener on `address` with a listen queue of [`LISTEN_QUEUE_LEN`] connections.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_QUEUE_LEN)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections and serves each in a task of its own until the process ends.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, kind: Kind) {
    let connections = Arc::new(AtomicUsize::new(0));
    loop {
        if connections.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.fetch_add(1, Ordering::Relaxed);
                let (gateway, connections) = (gateway.clone(), connections.clone());
                tokio::spawn(async move {
                    serve_connection(gateway, stream, kind).await;
                    connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Err(err) => {
                log::warn!("event=accept_failed what={kind:?} reason={err}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves the requests of one connection until it ends.
async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, kind: Kind) {
    set_caller_options(&stream);
    let idle_timeout =
        gateway.catalog.load().as_ref().map_or(Duration::from_secs(15), |c| c.limits.idle_timeout);
    let (stream, output) = Output::track(stream, gateway.shutdown.unwritten.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (gateway, guard) = (gateway.clone(), output.begin());
        async move {
            let response = respond(gateway, request, kind).await;
            Ok::<_, Infallible>(response.map(|body| CountedBody::new(body, guard)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + IDLE_MARGIN)
        .max_buf_size(MAX_BUFFER_BYTES);
    if let Err(err) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("event=connection_ended what={kind:?} reason={err}");
    }
}

/// Returns the response to one request, by the kind of the listener.
async fn respond(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    kind: Kind,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    match kind {
        Kind::Requests | Kind::Relay => {
            let stopping = gateway.shutdown.has_begun();
            let origin = if kind == Kind::Relay { Origin::Instance } else { Origin::Caller };
            let mut response = entry::serve(gateway, request, origin).await;
            if stopping {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
        Kind::Directory => directory::resolve(&gateway, request.method(), path),
        Kind::Readiness => directory::ready(&gateway, request.method(), path),
        Kind::Metrics => {
            let mut response = empty_response(StatusCode::OK);
            *response.body_mut() =
                ResponseBody::from(bytes::Bytes::from(telemetry::render_metrics()));
            response
        }
    }
}
