//! Passes requests to other instances while this one is cut off from the endpoints.
//!
//! Callers keep the address of an instance for a while, so that an instance which reaches no endpoint
//! still gets requests. Another instance serves them as its own, and this one returns the response
//! unchanged.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use tokio::time::timeout;

use super::{
    Gateway,
    forward::Job,
    response::{PartSender, Rejection, ResponseBody, Truncated},
};
use crate::{
    http::pool::{Connection, Pool, SendError},
    platform::caller,
};

/// Timeout of opening a connection to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Instances to which a request is passed, one after the other, while none takes it.
const MAX_INSTANCES: usize = 3;

/// Time for which an idle connection to another instance is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Header by which an instance declines a request that another one has admitted: it is cut off too
/// or stops, or its configuration is older.
const DECLINED: HeaderName = HeaderName::from_static("relay-declined");

/// The requests that other instances serve for this one.
#[derive(Default)]
pub struct Relay {
    pool: Arc<Pool>,
    running: AtomicUsize,
}

impl Relay {
    /// Returns the number of requests that other instances serve for this one.
    pub fn count(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Closes the idle connections that have expired.
    pub fn remove_expired(&self) {
        self.pool.remove_expired();
    }
}

/// Counts a request as running until it is dropped.
struct RunningGuard(Arc<Gateway>);

impl RunningGuard {
    fn new(gateway: &Arc<Gateway>) -> Self {
        gateway.relay.running.fetch_add(1, Ordering::Relaxed);
        Self(gateway.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.relay.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The result of passing a request to one instance.
enum PassResult {
    /// The instance responds; the body is not read yet.
    Response(Response<Incoming>, Connection),
    /// The request has not run there, and another instance may take it.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
}

impl Gateway {
    /// Returns the addresses of instances that reach the endpoints, as far as is known: in random
    /// order, those of the same data centre first.
    fn relay_addresses(&self) -> Vec<SocketAddr> {
        let members = self.members.load();
        let others = members.list.iter().filter(|it| !it.cut_off && !self.is_self(&it.instance));
        let mut others: Vec<_> = others.collect();
        others.shuffle(&mut rand::rng());
        others.sort_by_key(|member| member.data_centre != self.settings.data_centre);
        others.into_iter().map(|member| member.relay).take(MAX_INSTANCES).collect()
    }
}

/// Passes a request to another instance and returns its response. Fails if no instance takes the
/// request.
pub async fn run(job: &Job) -> Result<Response<ResponseBody>, Rejection> {
    let guard = RunningGuard::new(&job.gateway);
    for address in job.gateway.relay_addresses() {
        let passed = timeout(job.time_left(), pass(job, address)).await;
        match passed.unwrap_or(PassResult::Unknown) {
            PassResult::Response(response, connection) => {
                metrics::counter!("cardamomshore_relayed_total").increment(1);
                log::debug!("event=relayed request={} instance={address}", job.head.request);
                return Ok(stream_body(job, response, connection, guard));
            }
            PassResult::NotRun => {}
            PassResult::Unknown if job.time_left().is_zero() => return Err(Rejection::TimedOut),
            PassResult::Unknown => return Err(Rejection::Unknown),
        }
    }
    Err(Rejection::CutOff)
}

/// Sends the request to one instance and waits for the head of its response.
async fn pass(job: &Job, address: SocketAddr) -> PassResult {
    let pool = &job.gateway.relay.pool;
    loop {
        let Ok(mut connection) = pool.acquire(address, CONNECT_TIMEOUT).await else {
            return PassResult::NotRun;
        };
        match connection.send(request(job)).await {
            Ok(response) if response.headers().contains_key(DECLINED) => return PassResult::NotRun,
            Ok(response) => return PassResult::Response(response, connection),
            // The instance may have closed an idle connection before.
            Err(SendError::NotSent(_)) if !connection.is_fresh() => {}
            Err(SendError::NotSent(_) | SendError::Refused) => return PassResult::NotRun,
            Err(SendError::Unknown(reason)) => {
                log::debug!("event=relay_broke request={} reason={reason}", job.head.request);
                return PassResult::Unknown;
            }
        }
    }
}

/// Marks the response to a request of another instance by which this one declines it.
pub fn mark_declined(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(DECLINED, HeaderValue::from_static("1"));
}

/// Returns the request as it is sent to another instance.
fn request(job: &Job) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = caller::relayed_headers(&job.headers, job.time_left());
    request
}

/// Returns the response whose body is passed on as it arrives. A body that breaks off does not look
/// complete.
fn stream_body(
    job: &Job,
    response: Response<Incoming>,
    connection: Connection,
    guard: RunningGuard,
) -> Response<ResponseBody> {
    let (parts, body) = response.into_parts();
    let (tx, relayed) = ResponseBody::stream();
    let mut response = Response::new(relayed);
    *response.status_mut() = parts.status;
    *response.headers_mut() = caller::response_headers(&parts.headers);
    let time_left = job.time_left();
    tokio::spawn(async move {
        match timeout(time_left, pass_body(body, &tx)).await {
            Ok(Ok(())) => guard.0.relay.pool.release(connection, KEEP_ALIVE),
            Ok(Err(Truncated)) | Err(_) => drop(tx.send(Err(Truncated)).await),
        }
    });
    response
}

/// Passes the parts of a body on until it ends. Fails if it breaks off or the caller leaves.
async fn pass_body(mut body: Incoming, tx: &PartSender) -> Result<(), Truncated> {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = tx.closed() => return Err(Truncated),
        };
        match frame {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    tx.send(Ok(data)).await.map_err(|_| Truncated)?;
                }
            }
            Some(Err(_)) => return Err(Truncated),
            None => return Ok(()),
        }
    }
}
