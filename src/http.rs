//! HTTP helpers for `volo-http`, shared by the node, the stand-ins and the command line.

mod incoming;
pub mod pool;
mod reset_stream;

use std::{
    error::Error,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http::{HeaderMap, Method, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpListener, sync::mpsc};
use volo_http::{
    body::Body,
    client::{Client, ClientBuilder},
    error::client::{ClientError, ErrorKind, Timeout},
    request::Request,
    response::Response,
    server::{Router, Server},
};

use self::incoming::BoundedIncoming;
use crate::codes::Refusal;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Header that says whether a refused request may have run.
pub const RUN_HEADER: &str = "x-cardamomshore-run";

/// Header that carries the id of a request to endpoints, and of its response back to callers.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Why an HTTP exchange failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum HttpError {
    /// No connection could be opened, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The exchange failed after the connection was open; the request may have been sent.
    #[error("exchange failed: {0}")]
    Exchange(String),
    /// The exchange made no progress, or did not end, within its timeout.
    #[error("timed out")]
    Timeout,
    /// The body is larger than this number of bytes.
    #[error("body over {0} bytes")]
    TooLarge(usize),
    /// The response has this status, which is an error, and this body.
    #[error("status {0}: {1}")]
    Status(StatusCode, String),
    /// The request could not be encoded, or the response could not be parsed.
    #[error("bad answer: {0}")]
    Parse(String),
}

/// Limits of an HTTP client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Timeout of opening a connection.
    pub connect_timeout: Duration,
    /// Longest time between two reads or writes.
    pub io_timeout: Duration,
    /// Idle connections that are kept for each host.
    pub max_idle: usize,
}

/// Creates a client with these limits that resolves no names and follows no redirects.
pub fn client(limits: ClientLimits) -> Client {
    let mut builder = ClientBuilder::new();
    builder
        .set_connect_timeout(limits.connect_timeout)
        .set_read_timeout(limits.io_timeout)
        .set_write_timeout(limits.io_timeout)
        .set_max_idle_per_host(limits.max_idle)
        .set_pool_idle_timeout(Duration::from_secs(5));
    builder.build().expect("a client without TLS always builds")
}

/// Sends a request with its whole body. Returns the response, whose body is not read yet.
///
/// The caller must limit the time itself: the library sets the read and write timeouts as socket
/// options, which have no effect on non-blocking sockets.
pub async fn send(
    client: &Client,
    method: Method,
    url: &str,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, HttpError> {
    let mut request = client.request(method, url);
    request.headers_mut().extend(headers);
    request.body(Body::from(body)).send().await.map_err(|err| classify_error(&err))
}

/// Classifies an error of the library, as [`HttpError::Connect`] if it happened before the request
/// was sent.
///
/// The library returns an I/O error of its connector directly. An error on an open connection comes
/// as an error of the HTTP layer, which contains the cause.
fn classify_error(err: &ClientError) -> HttpError {
    let cause = err.source();
    let is_dial_error = cause.is_some_and(|source| source.is::<std::io::Error>());
    if is_dial_error || *err.kind() == ErrorKind::Connect {
        return HttpError::Connect(err.to_string());
    }
    if is_timeout(cause) { HttpError::Timeout } else { HttpError::Exchange(err.to_string()) }
}

/// Returns whether an error, or one of its causes, is a timeout.
fn is_timeout(err: Option<&(dyn Error + 'static)>) -> bool {
    std::iter::successors(err, |err: &&(dyn Error + 'static)| (*err).source()).any(|err| {
        let io = err.downcast_ref::<std::io::Error>();
        io.is_some_and(|io| io.kind() == std::io::ErrorKind::TimedOut) || err.is::<Timeout>()
    })
}

/// Reads a whole body. Fails if it is larger than `max_bytes`.
pub async fn read_body(body: Body, max_bytes: usize) -> Result<Bytes, HttpError> {
    let mut body = body;
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| HttpError::Exchange(err.to_string()))?;
        if let Ok(data) = frame.into_data() {
            if bytes.len() + data.len() > max_bytes {
                return Err(HttpError::TooLarge(max_bytes));
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

/// Largest JSON response that [`call_json`] reads, in bytes.
const MAX_JSON_BYTES: usize = 16 << 20;

/// Sends a request with a JSON body and parses the JSON response, all within `time_limit`.
pub async fn call_json<T: DeserializeOwned>(
    client: &Client,
    method: Method,
    url: &str,
    body: &impl Serialize,
    time_limit: Duration,
) -> Result<T, HttpError> {
    let body = serde_json::to_vec(body).map_err(|err| HttpError::Parse(err.to_string()))?;
    let exchange = async {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", http::HeaderValue::from_static("application/json"));
        let response = send(client, method, url, headers, body.into()).await?;
        let status = response.status();
        let bytes = read_body(response.into_body(), MAX_JSON_BYTES).await?;
        if !status.is_success() {
            return Err(HttpError::Status(status, String::from_utf8_lossy(&bytes).into_owned()));
        }
        serde_json::from_slice(&bytes).map_err(|err| HttpError::Parse(err.to_string()))
    };
    tokio::time::timeout(time_limit, exchange).await.unwrap_or(Err(HttpError::Timeout))
}

/// Returns a response with a JSON body.
pub fn json_response(status: u16, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert("content-type", http::HeaderValue::from_static("application/json"));
    response
}

/// Returns the response to a request that is refused, with the refusal as JSON.
pub fn error_response(refusal: &Refusal, request: &str) -> Response {
    #[derive(Serialize)]
    struct ErrorFields<'a> {
        code: u32,
        name: &'a str,
        message: &'a str,
        run: &'a str,
        retry_after_ms: Option<u64>,
        request: &'a str,
    }
    #[derive(Serialize)]
    struct ErrorBody<'a> {
        error: ErrorFields<'a>,
    }
    let code = refusal.code;
    let error = ErrorFields {
        code: code.number(),
        name: code.name(),
        message: code.text(),
        run: refusal.run.as_str(),
        retry_after_ms: refusal.retry_ms,
        request,
    };
    let mut response = json_response(code.status(), &ErrorBody { error });
    let headers = response.headers_mut();
    headers.insert(RUN_HEADER, http::HeaderValue::from_static(refusal.run.as_str()));
    if let Some(ms) = refusal.retry_ms {
        headers.insert("retry-after", http::HeaderValue::from(ms.div_ceil(1_000)));
    }
    response
}

/// Returns the base URL of the server at an address.
pub fn base_url(address: SocketAddr) -> String {
    format!("http://{address}")
}

/// Serves all requests on `listener` with `handle` until the process receives a signal to stop.
///
/// `drain` runs after the signal to stop. The library then waits at most 30 s for open requests.
pub async fn serve<F, Fut, D>(listener: TcpListener, handle: F, drain: D) -> Result<(), HttpError>
where
    F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
    D: Future<Output = ()> + Send + 'static,
{
    let router: Router = Router::new().fallback(move |request: Request| handle(request));
    let server = Server::new(router).register_shutdown_hook(move || Box::pin(drain));
    server
        .run(BoundedIncoming::new(listener))
        .await
        .map_err(|err| HttpError::Exchange(err.to_string()))
}

/// A stream of the items that a channel receives.
#[derive(Debug)]
pub struct ReceiverStream<T>(pub mpsc::Receiver<T>);

impl<T> Stream for ReceiverStream<T> {
    type Item = T;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<T>> {
        self.0.poll_recv(cx)
    }
}

/// Sender of a streamed body. An error closes the connection before the body is complete.
pub type BodySender = mpsc::Sender<Result<Frame<Bytes>, BoxError>>;

/// Parts of a streamed body that may wait to be sent.
const BODY_QUEUE_LEN: usize = 64;

/// Creates a streamed body and its sender.
pub fn channel_body() -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(BODY_QUEUE_LEN);
    (tx, Body::from_stream(ReceiverStream(rx)))
}
