//! Detects crashes of engines and marks the requests that were in flight as suspects.

use std::{sync::Arc, time::Duration};

use super::{
    StewardedEndpoint,
    flow::{refuse_all, reset_warmup},
};
use crate::{
    clock::Time,
    codes::Code,
    endpoint::{EndpointClient, Report},
    events::Event,
    kernel::{
        ledger::ReportStatus,
        suspect::{CrashId, Suspects},
        warmup::ColdSign,
    },
    names::EndpointId,
    node::Node,
    wire::{Heartbeat, Suspect, Work},
};

/// Time for which a response that was cut off is remembered, since reports lag behind crashes.
const CUT_TTL: Duration = Duration::from_secs(10);

/// How a failed request may be involved in a crash of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Involvement {
    /// The endpoint refused the connection or the request.
    None,
    /// The request ran when the endpoint went silent or cut off the response after part of it.
    InFlight,
    /// The endpoint cut the connection before any part of the response, as it does when the
    /// request crashes it.
    /// Since reports lag, the request becomes a suspect before a report confirms the crash.
    Suspect,
}

/// Reads the report of an endpoint that failed a request and detects whether it crashed.
///
/// Only engines are checked, since plain services give no reports.
pub async fn check_endpoint(
    node: &Arc<Node>,
    id: &EndpointId,
    work: &Work,
    involvement: Involvement,
    client: &EndpointClient,
) {
    let report = client.fetch_report().await;
    node.stewarded.endpoints.with(id, |endpoint| {
        let now = Time::now();
        endpoint.dispatch.recent_cuts.retain(|(_, at)| now.since(*at) < CUT_TTL);
        endpoint.dispatch.in_flight.remove(&work.request);
        if involvement != Involvement::None {
            endpoint.dispatch.recent_cuts.push((work.fingerprint, now));
        }
        if involvement == Involvement::Suspect {
            mark_suspect(node, endpoint, work.fingerprint);
        }
        match report {
            Ok(report) => apply_report(node, endpoint, report),
            Err(_) => handle_crash(node, endpoint, ColdSign::Refused),
        }
    });
}

/// Marks a request as suspect of a crash that no report shows yet.
fn mark_suspect(node: &Node, endpoint: &StewardedEndpoint, fingerprint: u64) {
    let Some(incarnation) = endpoint.dispatch.incarnation else { return };
    let crash = CrashId::of(&endpoint.listed.id, incarnation, endpoint.dispatch.exclusive);
    if node.suspects.lock().record_crashes(fingerprint, [crash], Time::now()) {
        node.peers.request_heartbeat();
    }
}

/// Applies a report unless it is older than the state that is known.
pub fn apply_report(node: &Node, endpoint: &mut StewardedEndpoint, report: Report) {
    match endpoint.ledger.apply_report(&report, Time::now()) {
        ReportStatus::Stale | ReportStatus::Uncertain => return,
        ReportStatus::Fresh | ReportStatus::Restarted => {}
    }
    check_incarnation(node, endpoint, report.incarnation);
    endpoint.warmup.record_report(report.running, endpoint.running);
    endpoint.dispatch.crashed = false;
    endpoint.report = Some(report);
}

/// Handles a change of the endpoint's incarnation as a crash.
fn check_incarnation(node: &Node, endpoint: &mut StewardedEndpoint, incarnation: u64) {
    if endpoint.dispatch.incarnation.is_some_and(|known| known != incarnation) {
        handle_crash(node, endpoint, ColdSign::Incarnation);
    }
    endpoint.dispatch.incarnation = Some(incarnation);
}

/// Marks all requests in flight as suspects and treats the endpoint as cold and empty.
fn handle_crash(node: &Node, endpoint: &mut StewardedEndpoint, sign: ColdSign) {
    reset_warmup(node, endpoint, sign);
    endpoint.dispatch.crashed = true;
    refuse_all(endpoint, Code::NoEndpoint);
    let Some(incarnation) = endpoint.dispatch.incarnation.take() else { return };
    let id = &endpoint.listed.id;
    let crash = CrashId::of(id, incarnation, endpoint.dispatch.exclusive);
    let now = Time::now();
    let cuts = endpoint.dispatch.recent_cuts.drain(..).filter(|(_, at)| now.since(*at) < CUT_TTL);
    let fingerprints = cuts
        .map(|(fingerprint, _)| fingerprint)
        .chain(endpoint.dispatch.in_flight.values().copied());
    let mut suspects = node.suspects.lock();
    let marked = fingerprints
        .filter(|fingerprint| suspects.record_crashes(*fingerprint, [crash], now))
        .count();
    drop(suspects);
    let detail = format!("sign={} suspects={marked}", sign.as_str());
    node.timeline.record(Event::EndpointCrashed, id.as_str(), detail);
    node.peers.request_heartbeat();
}

impl Node {
    /// Returns the ids of the crashes at which a request was in flight, as known to this instance.
    pub fn known_crashes(&self, fingerprint: u64) -> Vec<u64> {
        let suspects = self.suspects.lock();
        suspects.crashes(fingerprint, Time::now()).iter().map(|crash| crash.0).collect()
    }

    /// Records the crashes at which a request was in flight, as another instance knows them.
    pub fn record_crashes(&self, fingerprint: u64, crashes: &[u64]) {
        let crashes = crashes.iter().map(|id| CrashId(*id));
        self.suspects.lock().record_crashes(fingerprint, crashes, Time::now());
    }

    /// Returns the suspects that changed recently, for the next heartbeat.
    pub fn recent_suspects(&self) -> Vec<Suspect> {
        let recent = Suspects::recent(&self.suspects.lock(), Time::now());
        let to_wire = |(fingerprint, crashes): (u64, Vec<CrashId>)| Suspect {
            fingerprint,
            crashes: crashes.into_iter().map(|crash| crash.0).collect(),
        };
        recent.into_iter().map(to_wire).collect()
    }

    /// Records the suspects in the heartbeat of another instance.
    pub fn record_suspects(&self, heartbeat: &Heartbeat) {
        for suspect in &heartbeat.suspects {
            self.record_crashes(suspect.fingerprint, &suspect.crashes);
        }
    }
}
