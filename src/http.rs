//! Small helpers around `volo-http` that the node, the stand-ins and the command line share.

mod incoming;
pub mod pool;

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

/// Header that says whether a refused request can have run.
pub const RUN_HEADER: &str = "x-cardamomshore-run";

/// Header that carries the request id to endpoints and back to callers.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Why an HTTP exchange failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum HttpError {
    /// No connection was made, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The exchange failed after the connection was made.
    #[error("exchange failed: {0}")]
    Exchange(String),
    /// No progress within the limit.
    #[error("timed out")]
    Timeout,
    /// The body exceeds the limit.
    #[error("body over {0} bytes")]
    TooLarge(usize),
    /// The answer has an error status.
    #[error("status {0}: {1}")]
    Status(StatusCode, String),
    /// The answer cannot be parsed.
    #[error("bad answer: {0}")]
    Parse(String),
}

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Longest time for a connection to open.
    pub connect_timeout: Duration,
    /// Longest time between two reads or writes.
    pub io_timeout: Duration,
    /// Connections kept per host for the next request.
    pub max_idle: usize,
}

/// Builds a client with bounded timeouts and without name resolution or redirects.
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

/// Sends a request with a whole body and returns the answer with its body unread.
///
/// The caller bounds the wait: the library sets its read and write limits as socket options, which
/// sockets that do not block ignore.
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

/// Tells failures before the first byte of the request from later ones by their types.
///
/// The library wraps what its dialer returns, an input or output error, directly; what fails on an
/// open connection comes as an error of the HTTP layer with the cause inside.
fn classify_error(err: &ClientError) -> HttpError {
    let direct = err.source();
    let dialing = direct.is_some_and(|source| source.is::<std::io::Error>());
    if dialing || *err.kind() == ErrorKind::Connect {
        return HttpError::Connect(err.to_string());
    }
    if is_timeout(direct) { HttpError::Timeout } else { HttpError::Exchange(err.to_string()) }
}

/// Returns whether an error or one of its causes is a timeout.
fn is_timeout(err: Option<&(dyn Error + 'static)>) -> bool {
    std::iter::successors(err, |err: &&(dyn Error + 'static)| (*err).source()).any(|err| {
        let io = err.downcast_ref::<std::io::Error>();
        io.is_some_and(|io| io.kind() == std::io::ErrorKind::TimedOut) || err.is::<Timeout>()
    })
}

/// Reads a body up to `limit` bytes.
pub async fn read_body(body: Body, limit: usize) -> Result<Bytes, HttpError> {
    let mut body = body;
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| HttpError::Exchange(err.to_string()))?;
        if let Ok(data) = frame.into_data() {
            if all.len() + data.len() > limit {
                return Err(HttpError::TooLarge(limit));
            }
            all.extend_from_slice(&data);
        }
    }
    Ok(all.freeze())
}

/// Most bytes of a JSON answer that [`call_json`] reads.
const MAX_JSON_BYTES: usize = 16 << 20;

/// Sends a JSON request and parses the JSON answer, all within `limit`.
pub async fn call_json<T: DeserializeOwned>(
    client: &Client,
    method: Method,
    url: &str,
    body: &impl Serialize,
    limit: Duration,
) -> Result<T, HttpError> {
    let body = serde_json::to_vec(body).map_err(|err| HttpError::Parse(err.to_string()))?;
    let exchange = async {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", http::HeaderValue::from_static("application/json"));
        let answer = send(client, method, url, headers, body.into()).await?;
        let status = answer.status();
        let bytes = read_body(answer.into_body(), MAX_JSON_BYTES).await?;
        if !status.is_success() {
            return Err(HttpError::Status(status, String::from_utf8_lossy(&bytes).into_owned()));
        }
        serde_json::from_slice(&bytes).map_err(|err| HttpError::Parse(err.to_string()))
    };
    tokio::time::timeout(limit, exchange).await.unwrap_or(Err(HttpError::Timeout))
}

/// Builds a JSON answer.
pub fn json_response(status: u16, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(Body::from(body));
    *answer.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer.headers_mut().insert("content-type", http::HeaderValue::from_static("application/json"));
    answer
}

/// Builds the JSON answer of a refusal.
pub fn error_response(refusal: &Refusal, request: &str) -> Response {
    #[derive(Serialize)]
    struct Inner<'a> {
        code: u32,
        name: &'a str,
        message: &'a str,
        run: &'a str,
        retry_after_ms: Option<u64>,
        request: &'a str,
    }
    #[derive(Serialize)]
    struct Outer<'a> {
        error: Inner<'a>,
    }
    let code = refusal.code;
    let error = Inner {
        code: code.number(),
        name: code.name(),
        message: code.text(),
        run: refusal.run.as_str(),
        retry_after_ms: refusal.retry_ms,
        request,
    };
    let mut answer = json_response(code.status(), &Outer { error });
    let headers = answer.headers_mut();
    headers.insert(RUN_HEADER, http::HeaderValue::from_static(refusal.run.as_str()));
    if let Some(ms) = refusal.retry_ms {
        headers.insert("retry-after", http::HeaderValue::from(ms.div_ceil(1_000)));
    }
    answer
}

/// Returns the base URL of an address.
pub fn base_url(addr: SocketAddr) -> String {
    format!("http://{addr}")
}

/// Serves every request on `listener` with one function until the process is told to stop.
///
/// `drain` runs after the signal and before the library's own limit of half a minute starts.
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

/// A stream of what an `mpsc` channel receives.
#[derive(Debug)]
pub struct ReceiverStream<T>(pub mpsc::Receiver<T>);

impl<T> Stream for ReceiverStream<T> {
    type Item = T;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<T>> {
        self.0.poll_recv(cx)
    }
}

/// Sender of a streamed body; an error item cuts the body.
pub type BodySender = mpsc::Sender<Result<Frame<Bytes>, BoxError>>;

const BODY_QUEUE_LEN: usize = 64;

/// Creates a body that streams what its sender is given.
pub fn channel_body() -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(BODY_QUEUE_LEN);
    (tx, Body::from_stream(ReceiverStream(rx)))
}
