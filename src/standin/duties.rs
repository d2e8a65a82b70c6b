//! Stand-in for the platform API that takes usage reports and scaling orders. It keeps what it gets and
//! checks that one holder at a time calls.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::time::sleep;

use super::{
    MAX_BODY_BYTES,
    http1::{Broken, Server, whole_response},
};
use crate::clock::Time;

/// Time in which calls of holders A, B, A must not follow each other.
const TURN_TIME: Duration = Duration::from_secs(3);

/// How the stand-in treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DutyFaults {
    /// Whether calls are refused with status 503.
    pub refusing: bool,
    /// Whether calls get no response, and are not carried out.
    pub silent: bool,
    /// Whether calls are carried out and get no response.
    pub mute: bool,
    /// Whether calls get status 429.
    pub busy: bool,
    /// Time that each call takes.
    pub delay: Duration,
}

/// What a call says.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(untagged)]
pub enum DutyContent {
    /// A usage report.
    Usage {
        /// The window.
        window_id: u64,
        /// Runs of each team.
        counts: BTreeMap<String, u64>,
    },
    /// A scaling order.
    Scale {
        /// The service.
        service: String,
        /// The data centre.
        zone: String,
        /// Number of engines that the service is to have there.
        desired_count: u32,
    },
}

impl DutyContent {
    /// Returns the subject, which has one holder at a time.
    fn subject(&self) -> String {
        match self {
            DutyContent::Usage { .. } => "usage".to_owned(),
            DutyContent::Scale { service, zone, .. } => format!("{service} in {zone}"),
        }
    }
}

/// A call that the stand-in has accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyCall {
    /// When it arrived.
    pub at: Time,
    /// Name of the holder.
    pub holder: String,
    /// Number that grows with each holder.
    pub token: u64,
    /// What it says.
    pub content: DutyContent,
}

/// The calls that were accepted.
#[derive(Default)]
pub struct DutyLog {
    calls: Mutex<Vec<DutyCall>>,
}

impl DutyLog {
    /// Returns all calls in the order of their arrival.
    pub fn calls(&self) -> Vec<DutyCall> {
        self.calls.lock().clone()
    }

    /// Returns the reports by window, in the order of their arrival.
    pub fn reports(&self) -> Vec<(u64, BTreeMap<String, u64>)> {
        let report = |call: DutyCall| match call.content {
            DutyContent::Usage { window_id, counts } => Some((window_id, counts)),
            DutyContent::Scale { .. } => None,
        };
        self.calls().into_iter().filter_map(report).collect()
    }
}

/// Returns what is wrong with the calls: numbers that fall, one number of two holders, holders that
/// take turns too fast, and two reports of one window.
pub fn violations(calls: &[DutyCall]) -> Vec<String> {
    let mut all = Vec::new();
    let mut subjects: BTreeMap<String, Vec<&DutyCall>> = BTreeMap::new();
    for call in calls {
        subjects.entry(call.content.subject()).or_default().push(call);
    }
    for (subject, calls) in &subjects {
        for (index, call) in calls.iter().enumerate() {
            let earlier = &calls[..index];
            if let Some(other) = earlier.iter().rfind(|it| it.token > call.token) {
                all.push(format!("{subject}: a lower number, {call:?} after {other:?}"));
            }
            let is_shared = |it: &&&DutyCall| it.token == call.token && it.holder != call.holder;
            if let Some(other) = earlier.iter().find(is_shared) {
                all.push(format!("{subject}: one number of two holders, {call:?} and {other:?}"));
            }
            let recent = earlier.iter().filter(|it| call.at.since(it.at) < TURN_TIME);
            let mut has_other = false;
            for it in recent.rev() {
                if it.token != call.token {
                    has_other = true;
                } else if has_other {
                    all.push(format!("{subject}: holders take turns, {call:?} after {it:?}"));
                    break;
                }
            }
        }
    }
    let mut windows: BTreeMap<u64, &BTreeMap<String, u64>> = BTreeMap::new();
    for call in calls {
        let DutyContent::Usage { window_id, counts } = &call.content else { continue };
        let known = windows.entry(*window_id).or_insert(counts);
        if *known != counts {
            all.push(format!("two reports of window {window_id}: {known:?} and {counts:?}"));
        }
    }
    all
}

/// A running stand-in.
pub struct DutyApi {
    /// Its address.
    pub address: SocketAddr,
    /// What it has accepted.
    pub log: Arc<DutyLog>,
    faults: Arc<Mutex<DutyFaults>>,
    _server: Server,
}

impl DutyApi {
    /// Starts a stand-in at `address`. Fails if the address is in use.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let log: Arc<DutyLog> = Arc::default();
        let faults: Arc<Mutex<DutyFaults>> = Arc::default();
        let (shared_log, shared_faults) = (log.clone(), faults.clone());
        let server = Server::start(address, move |request| {
            let (log, faults) = (shared_log.clone(), shared_faults.clone());
            async move { respond(&log, &faults, request).await }
        })?;
        Ok(Self { address, log, faults, _server: server })
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: DutyFaults) {
        *self.faults.lock() = faults;
    }
}

fn parse_call(headers: &HeaderMap, path: &str, body: &[u8]) -> Option<DutyCall> {
    let header = |name| headers.get(name)?.to_str().ok();
    let content: DutyContent = serde_json::from_slice(body).ok()?;
    let is_usage = matches!(content, DutyContent::Usage { .. });
    if path != if is_usage { "/usage" } else { "/scale" } {
        return None;
    }
    Some(DutyCall {
        at: Time::now(),
        holder: header("x-duty-holder")?.to_owned(),
        token: header("x-fencing-token")?.parse().ok()?,
        content,
    })
}

async fn respond(
    log: &DutyLog,
    shared: &Mutex<DutyFaults>,
    request: Request<Incoming>,
) -> Result<http::Response<super::http1::Body>, Broken> {
    let faults = *shared.lock();
    sleep(faults.delay).await;
    if faults.silent {
        return std::future::pending().await;
    }
    if faults.refusing {
        return Ok(whole_response(StatusCode::SERVICE_UNAVAILABLE, "{}"));
    }
    if faults.busy {
        return Ok(whole_response(StatusCode::TOO_MANY_REQUESTS, "{}"));
    }
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| Broken)?.to_bytes();
    let Some(call) = parse_call(&parts.headers, parts.uri.path(), &body) else {
        return Ok(whole_response(StatusCode::BAD_REQUEST, "{}"));
    };
    log.calls.lock().push(call);
    if faults.mute {
        return std::future::pending().await;
    }
    Ok(whole_response(StatusCode::OK, "{}"))
}
