//! Accepts callers' connections and serves HTTP/1.1 on them.
//!
//! A request enters the process in this module, which calls the HTTP layer directly. The server
//! library's own runner would stop on SIGHUP, which in this process only means that the settings
//! file has changed.

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use super::{
    Gateway,
    arrival::Origin,
    directory, entry,
    intake::{Account, CountedBody, CountedStream, OpenConnection},
    output::{Output, TrackedBody},
    response::{Rejection, ResponseBody, empty_response},
};
use crate::{
    http::pool::set_caller_options,
    kernel::intake::{Listener, READ_BUFFER_BYTES},
    telemetry,
};

/// Connections that the operating system queues until they are accepted. If the queue is full, a
/// caller's connection is delayed by a second.
const LISTEN_QUEUE_LEN: i32 = 1_024;

/// Wait after accepting failed, or while there is no room for another connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Bytes beyond the configured size of a head that are read, since callers may count it differently.
const HEAD_MARGIN: usize = 1 << 10;

/// Memory of a field of a head beyond its bytes.
const FIELD_BYTES: usize = 128;

/// Time in which a connection that must be closed may end in order.
const CLOSE_GRACE: Duration = Duration::from_millis(100);

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

impl Kind {
    /// Returns the part of the budget from which connections are taken.
    fn listener(self) -> Listener {
        match self {
            Kind::Requests => Listener::Callers,
            Kind::Relay => Listener::Relay,
            Kind::Directory => Listener::Directory,
            Kind::Readiness => Listener::Readiness,
            Kind::Metrics => Listener::Metrics,
        }
    }
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
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let connection = loop {
                    match gateway.budget.open(kind.listener(), peer.ip()) {
                        Some(connection) => break connection,
                        None => sleep(ACCEPT_BACKOFF).await,
                    }
                };
                tokio::spawn(serve_connection(gateway.clone(), stream, kind, connection));
            }
            Err(err) => {
                log::warn!("event=accept_failed what={kind:?} reason={err}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves the requests of one connection until it ends or must be closed.
async fn serve_connection(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    kind: Kind,
    connection: OpenConnection,
) {
    set_caller_options(&stream);
    let account = connection.account().clone();
    let limits = gateway.catalog.load().as_ref().map(|catalog| catalog.limits);
    let idle_timeout = limits.as_ref().map_or(Duration::from_secs(15), |it| it.idle_timeout);
    let max_head = limits.map_or(0, |it| it.max_headers) + HEAD_MARGIN;
    let max_fields = gateway.settings.max_header_fields;
    let stream = CountedStream::new(stream, account.clone());
    let (stream, output) = Output::track(stream, gateway.shutdown.unwritten.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (gateway, account, guard) = (gateway.clone(), account.clone(), output.begin());
        async move {
            let response = respond_counted(gateway, request, kind, account).await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, guard)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout + IDLE_MARGIN)
        .max_buf_size(READ_BUFFER_BYTES.max(max_head + HEAD_MARGIN))
        .max_headers(max_fields);
    let mut served = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = served.as_mut() => result,
        () = connection.account().closing() => {
            served.as_mut().graceful_shutdown();
            timeout(CLOSE_GRACE, served).await.unwrap_or(Ok(()))
        }
    };
    if let Err(err) = result {
        log::debug!("event=connection_ended what={kind:?} reason={err}");
    }
}

/// Returns the response to one request, which counts for its connection. Waits for the response before
/// it, which the client may not have read.
async fn respond_counted(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    kind: Kind,
    account: Account,
) -> Response<CountedBody> {
    account.flushed().await;
    let (head, cost) = head_size(&request);
    let max_head = gateway.catalog.load().as_ref().map(|catalog| catalog.limits.max_headers);
    let guard = match account.begin_request(cost) {
        Ok(_) if max_head.is_some_and(|max| head > max + HEAD_MARGIN) => {
            Err(account.refuse("large_head", Rejection::HeadTooLarge))
        }
        admitted => admitted,
    };
    let (response, guard) = match guard {
        Ok(guard) => (respond(gateway, request, kind, &account).await, Some(guard)),
        Err(rejection) => {
            let mut response = rejection.response();
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            (response, None)
        }
    };
    response.map(|body| CountedBody::new(body, &account, guard))
}

/// Returns the bytes of a head, and the memory that it needs.
fn head_size(request: &Request<Incoming>) -> (usize, usize) {
    let fields = request.headers().iter();
    let bytes: usize = fields.map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    let path = request.uri().path_and_query().map_or(0, |path| path.as_str().len());
    let head = path + bytes;
    // A field may list many short items, each of which is decoded to some more bytes.
    (head, 4 * head + FIELD_BYTES * request.headers().len())
}

/// Returns the response to one request, by the kind of the listener.
async fn respond(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    kind: Kind,
    account: &Account,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    match kind {
        Kind::Requests | Kind::Relay => {
            let stopping = gateway.shutdown.has_begun();
            let origin = if kind == Kind::Relay { Origin::Instance } else { Origin::Caller };
            let mut response = entry::serve(gateway, request, origin, account).await;
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
