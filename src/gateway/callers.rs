//! Accepts connections and serves HTTP on them.
//!
//! The server library's own runner takes SIGHUP as the order to end, which here says that settings
//! have changed, so its HTTP layer is driven directly.

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
    Gateway, directory, forward,
    response::{ResponseBody, empty_response},
};
use crate::{http::pool::set_socket_options, telemetry};

/// Connections that may wait to be accepted; a burst beyond it costs callers a second each.
const BACKLOG: i32 = 1_024;

/// Most connections of callers at once.
const MAX_CONNECTIONS: usize = 3_000;

/// Wait before the next try after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Bytes of one connection that are buffered.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Time beyond the idle limit for which a connection is kept.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Callers' requests.
    Requests,
    /// Addresses for callers.
    Directory,
    /// Whether the instance is ready.
    Readiness,
    /// Metrics.
    Metrics,
}

/// Opens a listener with a long queue.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections until the process ends.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, kind: Kind) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                open.fetch_add(1, Ordering::Relaxed);
                let (gateway, open) = (gateway.clone(), open.clone());
                tokio::spawn(async move {
                    serve_connection(gateway, stream, kind).await;
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Err(err) => {
                log::warn!("event=accept_failed what={kind:?} reason={err}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, kind: Kind) {
    set_socket_options(&stream);
    let idle =
        gateway.catalog.load().as_ref().map_or(Duration::from_secs(15), |c| c.limits.idle_timeout);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(respond(gateway, request, kind).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle + IDLE_MARGIN)
        .max_buf_size(MAX_BUFFER_BYTES);
    if let Err(err) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("event=connection_ended what={kind:?} reason={err}");
    }
}

async fn respond(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    kind: Kind,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    match kind {
        Kind::Requests => {
            let stopping = gateway.shutdown.has_begun();
            let mut answer = forward::serve(gateway, request).await;
            if stopping {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            answer
        }
        Kind::Directory => directory::resolve(&gateway, request.method(), path),
        Kind::Readiness => directory::ready(&gateway, request.method(), path),
        Kind::Metrics => {
            let mut answer = empty_response(StatusCode::OK);
            *answer.body_mut() =
                ResponseBody::from(bytes::Bytes::from(telemetry::render_metrics()));
            answer
        }
    }
}
