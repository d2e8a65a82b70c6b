//! Crashes of endpoints: how they are recognized, and who was in flight.

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

/// Time for which a cut answer is remembered, since reports lag behind crashes.
const CUT_TTL: Duration = Duration::from_secs(10);

/// What a failed request has to do with the state of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Involvement {
    /// It was turned away.
    None,
    /// It ran when the endpoint went silent or broke off after part of the answer.
    InFlight,
    /// The endpoint broke off before any of the answer, as it does when the request crashes it.
    /// Reports lag, so the request is suspect before one confirms the crash.
    Suspect,
}

/// Looks at an endpoint that failed a request.
///
/// Only engines are examined, since plain services give no reports.
pub async fn check_endpoint(
    node: &Arc<Node>,
    id: &EndpointId,
    work: &Work,
    part: Involvement,
    client: &EndpointClient,
) {
    let report = client.fetch_report().await;
    node.stewarded.endpoints.with(id, |stewarded| {
        let now = Time::now();
        stewarded.dispatch.recent_cuts.retain(|(_, at)| now.since(*at) < CUT_TTL);
        stewarded.dispatch.in_flight.remove(&work.request);
        if part != Involvement::None {
            stewarded.dispatch.recent_cuts.push((work.fingerprint, now));
        }
        if part == Involvement::Suspect {
            mark_suspect(node, stewarded, work.fingerprint);
        }
        match report {
            Ok(report) => apply_report(node, stewarded, report),
            Err(_) => handle_crash(node, stewarded, ColdSign::Refused),
        }
    });
}

/// Makes one request suspect of a crash that no report shows yet.
fn mark_suspect(node: &Node, stewarded: &StewardedEndpoint, fingerprint: u64) {
    let Some(incarnation) = stewarded.dispatch.incarnation else { return };
    let crash = CrashId::of(&stewarded.listed.id, incarnation, stewarded.dispatch.exclusive);
    if node.suspects.lock().record_crashes(fingerprint, [crash], Time::now()) {
        node.peers.request_heartbeat();
    }
}

/// Takes in a report unless it is older than what is known.
pub fn apply_report(node: &Node, stewarded: &mut StewardedEndpoint, report: Report) {
    match stewarded.ledger.apply_report(&report, Time::now()) {
        ReportStatus::Stale | ReportStatus::Uncertain => return,
        ReportStatus::Fresh | ReportStatus::Restarted => {}
    }
    check_incarnation(node, stewarded, report.incarnation);
    stewarded.warmup.record_report(report.running, stewarded.running);
    stewarded.dispatch.crashed = false;
    stewarded.report = Some(report);
}

fn check_incarnation(node: &Node, stewarded: &mut StewardedEndpoint, incarnation: u64) {
    if stewarded.dispatch.incarnation.is_some_and(|known| known != incarnation) {
        handle_crash(node, stewarded, ColdSign::Incarnation);
    }
    stewarded.dispatch.incarnation = Some(incarnation);
}

/// Makes everything in flight suspect and treats the endpoint as cold and empty.
fn handle_crash(node: &Node, stewarded: &mut StewardedEndpoint, sign: ColdSign) {
    reset_warmup(node, stewarded, sign);
    stewarded.dispatch.crashed = true;
    refuse_all(stewarded, Code::NoEndpoint);
    let Some(incarnation) = stewarded.dispatch.incarnation.take() else { return };
    let id = &stewarded.listed.id;
    let crash = CrashId::of(id, incarnation, stewarded.dispatch.exclusive);
    let now = Time::now();
    let cuts = stewarded.dispatch.recent_cuts.drain(..).filter(|(_, at)| now.since(*at) < CUT_TTL);
    let prints = cuts.map(|(print, _)| print).chain(stewarded.dispatch.in_flight.values().copied());
    let mut suspects = node.suspects.lock();
    let marked = prints.filter(|print| suspects.record_crashes(*print, [crash], now)).count();
    drop(suspects);
    let detail = format!("sign={} suspects={marked}", sign.as_str());
    node.timeline.record(Event::EndpointCrashed, id.as_str(), detail);
    node.peers.request_heartbeat();
}

impl Node {
    /// Returns the crashes at which a request was in flight, as far as this instance knows.
    pub fn known_crashes(&self, fingerprint: u64) -> Vec<u64> {
        let suspects = self.suspects.lock();
        suspects.crashes(fingerprint, Time::now()).iter().map(|crash| crash.0).collect()
    }

    /// Takes in what another instance knows of a request's crashes.
    pub fn record_crashes(&self, fingerprint: u64, crashes: &[u64]) {
        let crashes = crashes.iter().map(|id| CrashId(*id));
        self.suspects.lock().record_crashes(fingerprint, crashes, Time::now());
    }

    /// Returns the latest suspects for the next heartbeat.
    pub fn recent_suspects(&self) -> Vec<Suspect> {
        let news = Suspects::recent(&self.suspects.lock(), Time::now());
        let wire = |(fingerprint, crashes): (u64, Vec<CrashId>)| Suspect {
            fingerprint,
            crashes: crashes.into_iter().map(|crash| crash.0).collect(),
        };
        news.into_iter().map(wire).collect()
    }

    /// Takes in the suspects of another instance's heartbeat.
    pub fn record_suspects(&self, beat: &Heartbeat) {
        for suspect in &beat.suspects {
            self.record_crashes(suspect.fingerprint, &suspect.crashes);
        }
    }
}
