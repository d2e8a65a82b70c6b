//! Crashes of endpoints: how they are recognized, and who was in flight.

use std::{sync::Arc, time::Duration};

use super::{
    Stewarded,
    flow::{note, refuse_waiting},
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
    wire::{Beat, Suspect, Work},
};

/// Time for which a cut answer is remembered, since reports lag behind crashes.
const CUT_MEMORY: Duration = Duration::from_secs(10);

/// What a failed request has to do with the state of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// It was turned away.
    None,
    /// It ran when the endpoint went silent or broke off after part of the answer.
    Ran,
    /// The endpoint broke off before any of the answer, as it does when the request crashes it.
    /// Reports lag, so the request is suspect before one confirms the crash.
    Broke,
}

/// Looks at an endpoint that failed a request.
///
/// Only engines are examined, since plain services give no reports.
pub async fn examine(
    node: &Arc<Node>,
    id: &EndpointId,
    work: &Work,
    part: Part,
    client: &EndpointClient,
) {
    let report = client.fetch_report().await;
    node.stewards.endpoints.with(id, |stewarded| {
        let now = Time::now();
        stewarded.flow.cuts.retain(|(_, at)| now.since(*at) < CUT_MEMORY);
        stewarded.flow.flights.remove(&work.request);
        if part != Part::None {
            stewarded.flow.cuts.push((work.fingerprint, now));
        }
        if part == Part::Broke {
            suspect(node, stewarded, work.fingerprint);
        }
        match report {
            Ok(report) => take_report(node, stewarded, report),
            Err(_) => crashed(node, stewarded, ColdSign::Refused),
        }
    });
}

/// Makes one request suspect of a crash that no report shows yet.
fn suspect(node: &Node, stewarded: &Stewarded, fingerprint: u64) {
    let Some(incarnation) = stewarded.flow.incarnation else { return };
    let crash = CrashId::of(&stewarded.listed.id, incarnation, stewarded.flow.alone);
    if node.suspects.lock().record_crashes(fingerprint, [crash], Time::now()) {
        node.peers.beat_now();
    }
}

/// Takes in a report unless it is older than what is known.
pub fn take_report(node: &Node, stewarded: &mut Stewarded, report: Report) {
    match stewarded.ledger.apply_report(&report, Time::now()) {
        ReportStatus::Stale | ReportStatus::Uncertain => return,
        ReportStatus::Fresh | ReportStatus::Restarted => {}
    }
    meet(node, stewarded, report.incarnation);
    stewarded.warmth.record_report(report.running, stewarded.running);
    stewarded.flow.down = false;
    stewarded.report = Some(report);
}

fn meet(node: &Node, stewarded: &mut Stewarded, incarnation: u64) {
    if stewarded.flow.incarnation.is_some_and(|known| known != incarnation) {
        crashed(node, stewarded, ColdSign::Incarnation);
    }
    stewarded.flow.incarnation = Some(incarnation);
}

/// Makes everything in flight suspect and treats the endpoint as cold and empty.
fn crashed(node: &Node, stewarded: &mut Stewarded, sign: ColdSign) {
    note(node, stewarded, sign);
    stewarded.flow.down = true;
    refuse_waiting(stewarded, Code::NoEndpoint);
    let Some(incarnation) = stewarded.flow.incarnation.take() else { return };
    let id = &stewarded.listed.id;
    let crash = CrashId::of(id, incarnation, stewarded.flow.alone);
    let now = Time::now();
    let cuts = stewarded.flow.cuts.drain(..).filter(|(_, at)| now.since(*at) < CUT_MEMORY);
    let prints = cuts.map(|(print, _)| print).chain(stewarded.flow.flights.values().copied());
    let mut suspects = node.suspects.lock();
    let marked = prints.filter(|print| suspects.record_crashes(*print, [crash], now)).count();
    drop(suspects);
    let detail = format!("sign={} suspects={marked}", sign.as_str());
    node.timeline.record(Event::EndpointCrashed, id.as_str(), detail);
    node.peers.beat_now();
}

impl Node {
    /// Returns the crashes at which a request was in flight, as far as this instance knows.
    pub fn crashes(&self, fingerprint: u64) -> Vec<u64> {
        let suspects = self.suspects.lock();
        suspects.crashes(fingerprint, Time::now()).iter().map(|crash| crash.0).collect()
    }

    /// Takes in what another instance knows of a request's crashes.
    pub fn note_crashes(&self, fingerprint: u64, crashes: &[u64]) {
        let crashes = crashes.iter().map(|id| CrashId(*id));
        self.suspects.lock().record_crashes(fingerprint, crashes, Time::now());
    }

    /// Returns the latest suspects for the next heartbeat.
    pub fn suspect_news(&self) -> Vec<Suspect> {
        let news = Suspects::recent(&self.suspects.lock(), Time::now());
        let wire = |(fingerprint, crashes): (u64, Vec<CrashId>)| Suspect {
            fingerprint,
            crashes: crashes.into_iter().map(|crash| crash.0).collect(),
        };
        news.into_iter().map(wire).collect()
    }

    /// Takes in the suspects of another instance's heartbeat.
    pub fn hear_suspects(&self, beat: &Beat) {
        for suspect in &beat.suspects {
            self.note_crashes(suspect.fingerprint, &suspect.crashes);
        }
    }
}
