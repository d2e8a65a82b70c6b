//! Calls to the platform API for duties, and the store's records about them.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::kernel::duties::{
    counts::{TeamCounts, Window},
    demand::Subject,
    ledger::Ledger,
    usage::{CallResult, Report},
};

/// Key of the record of the fixed usage windows. It is outside the prefix that instances watch, since
/// only the holder of the duty reads it.
pub const USAGE_KEY: &str = "cardamomshore-duties/usage";

/// Path of scaling orders.
const SCALE_PATH: &str = "/scale";

/// Path of usage reports.
const USAGE_PATH: &str = "/usage";

/// Who makes a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller<'a> {
    /// Name of the instance.
    pub holder: &'a str,
    /// Term of the leader, which grows with each holder.
    pub term: u64,
    /// Address of the platform API.
    pub host: std::net::SocketAddr,
}

impl Caller<'_> {
    /// Returns a call with a JSON body.
    fn request(&self, path: &'static str, body: &impl Serialize) -> Request<Full<Bytes>> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(path);
        let headers = request.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("x-fencing-token", HeaderValue::from(self.term));
        if let Ok(value) = HeaderValue::from_str(&self.host.to_string()) {
            headers.insert(header::HOST, value);
        }
        if let Ok(value) = HeaderValue::from_str(self.holder) {
            headers.insert("x-duty-holder", value);
        }
        request
    }
}

#[derive(Serialize)]
struct RawReport<'a> {
    window_id: Window,
    counts: BTreeMap<&'a str, u64>,
}

/// Returns the call that sends a report.
pub fn usage_request(caller: &Caller<'_>, report: &Report) -> Request<Full<Bytes>> {
    let counts = report.counts.iter().map(|(team, count)| (&**team, *count)).collect();
    caller.request(USAGE_PATH, &RawReport { window_id: report.window, counts })
}

#[derive(Serialize)]
struct RawScale<'a> {
    service: &'a str,
    zone: &'a str,
    desired_count: u32,
}

/// Returns the call that orders a number of engines.
pub fn scale_request(
    caller: &Caller<'_>,
    subject: &Subject,
    desired_count: u32,
) -> Request<Full<Bytes>> {
    let (service, zone) = (&*subject.service, &*subject.data_centre);
    caller.request(SCALE_PATH, &RawScale { service, zone, desired_count })
}

/// Returns the result of a call by the status of its response.
pub fn call_result(status: StatusCode) -> CallResult {
    match status {
        status if status.is_success() => CallResult::Accepted,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => CallResult::Failed,
        status if status.is_client_error() => CallResult::Refused,
        _ => CallResult::Failed,
    }
}

/// The record of the fixed windows as stored.
#[derive(Serialize, Deserialize)]
struct RawLedger {
    era: u64,
    first: Window,
    next: Window,
    reports: BTreeMap<Window, BTreeMap<String, u64>>,
}

/// Encodes the record of the fixed windows.
pub fn encode_ledger(ledger: &Ledger) -> Vec<u8> {
    let to_raw = |counts: &TeamCounts| {
        counts.iter().map(|(team, count)| (team.to_string(), *count)).collect()
    };
    let reports = ledger.reports.iter().map(|(window, counts)| (*window, to_raw(counts)));
    let raw = RawLedger {
        era: ledger.era,
        first: ledger.first,
        next: ledger.next,
        reports: reports.collect(),
    };
    serde_json::to_vec(&raw).unwrap_or_default()
}

/// Decodes the record of the fixed windows. Fails if it is not valid JSON of this form.
pub fn decode_ledger(value: &[u8]) -> Result<Ledger, serde_json::Error> {
    let raw: RawLedger = serde_json::from_slice(value)?;
    let to_counts = |counts: BTreeMap<String, u64>| {
        counts.into_iter().map(|(team, count)| (Arc::from(team), count)).collect()
    };
    let reports = raw.reports.into_iter().map(|(window, counts)| (window, to_counts(counts)));
    let reports = reports.collect();
    Ok(Ledger { era: raw.era, first: raw.first, next: raw.next, reports })
}
