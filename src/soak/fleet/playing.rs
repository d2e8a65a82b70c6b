//! Plays the faults of a soak: begins each at its time, and ends it after a while.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use super::{
    super::{
        callers::Callers,
        history::{Cut, Disturbance, Evacuation},
        plan::{Fault, Step},
    },
    Fleet, evacuation_key,
};
use crate::{
    clock::Time,
    standin::{http1::PacketFilter, metadata::StoreFaults, worker::WorkerFaults},
};

/// Time from a return of the store until the operators write their records again.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Time from a return of the store until it removes the entries of endpoints that have ended.
const GHOST_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Writes of others to the store that each return of the store loses.
const OTHER_WRITES: usize = 200;

/// Interval at which faults are looked for that must begin or end.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which an endpoint says that it leaves before its entry does.
const SAY_TIME: Duration = Duration::from_secs(5);

/// Time after which an endpoint that leaves has been replaced.
const LEAVE_TIME: Duration = Duration::from_secs(6);

/// Something that must be undone after a while.
enum Undo {
    Resume(usize),
    MendStore(Option<usize>),
    MendWorker(usize),
    ReturnKey,
    StopFatal,
    RestoreStore(Time),
    WriteAgain,
    RemoveGhosts,
    EndEvacuation(usize),
    EndCut,
    LeaveAfterSaying(usize),
}

impl Fleet {
    /// Plays the faults, for `length` in total, or longer if less than `calm` would follow the last one.
    pub async fn play(
        &mut self,
        steps: &[Step],
        callers: &Callers,
        length: Duration,
        calm: Duration,
    ) {
        let started_at = Time::now();
        let mut disturbed_at = started_at;
        let mut steps = steps.iter().peekable();
        let mut undo: Vec<(Time, Undo)> = Vec::new();
        loop {
            let now = Time::now();
            let elapsed = now.since(started_at);
            while let Some(step) = steps.next_if(|step| step.at <= elapsed) {
                log::info!("event=soak_fault at_ms={} fault={:?}", step.at.as_millis(), step.fault);
                undo.extend(self.begin(step.fault, callers, now));
                disturbed_at = now;
            }
            let due = undo.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
            for (_, due) in due {
                undo.extend(self.end(due, callers, now));
                disturbed_at = now;
            }
            let is_calm = undo.is_empty() && now.since(disturbed_at) >= calm;
            self.tend_processes(now);
            self.copy_store(now);
            self.api.disturb(now);
            if elapsed >= length && is_calm {
                return;
            }
            sleep(STEP_INTERVAL).await;
        }
    }

    /// Begins a fault; returns what must be undone, and when.
    fn begin(&mut self, fault: Fault, callers: &Callers, now: Time) -> Option<(Time, Undo)> {
        match fault {
            Fault::Kill(index) => self.kill(index, now),
            Fault::KillAll => (0..self.gateways.len()).for_each(|index| self.kill(index, now)),
            Fault::Stop(index) => self.stop(index, now),
            Fault::Pause(index, length) => {
                self.gateways[index].signal(Signal::STOP);
                self.disturb(Some(index), now, now + length, false);
                return Some((now + length, Undo::Resume(index)));
            }
            Fault::StoreCut(index, faults, length) => {
                self.gateways[index].store.set_faults(faults);
                self.disturbances.push(Disturbance {
                    gateway: Some(index),
                    from: now,
                    to: now + length,
                    is_stop: false,
                    is_store: true,
                });
                return Some((now + length, Undo::MendStore(Some(index))));
            }
            Fault::StoreDown(faults, length) => {
                self.gateways.iter().for_each(|gateway| gateway.store.set_faults(faults));
                self.disturb_store(now, now + length);
                return Some((now + length, Undo::MendStore(None)));
            }
            Fault::ForgetHistory => self.store.forget_history(),
            Fault::StoreReturn(age, length) => {
                (0..OTHER_WRITES).for_each(|number| self.store.put("other", &number.to_string()));
                let away = StoreFaults { refusing: true, ..StoreFaults::default() };
                self.gateways.iter().for_each(|gateway| gateway.store.set_faults(away));
                self.disturb_store(now, now + length + REWRITE_DELAY);
                return Some((now + length, Undo::RestoreStore(now - age)));
            }
            Fault::Evacuate(data_centre, length) => {
                if self.is_evacuated() {
                    return None;
                }
                self.store.put(&evacuation_key(data_centre), "{}");
                self.evacuations.push(Evacuation { data_centre, from: Time::now(), to: None });
                return Some((now + length, Undo::EndEvacuation(data_centre)));
            }
            Fault::AddRoute => self.add_route(callers),
            Fault::Release => self.release(),
            Fault::Crash(index) => {
                self.worker_faults.push(now);
                self.workers[index].crash();
            }
            Fault::Leave(index) => self.workers[index].leave(),
            Fault::Unsound(index, faults, length) => {
                self.worker_faults.push(now);
                self.workers[index].set_faults(faults);
                return Some((now + length, Undo::MendWorker(index)));
            }
            Fault::CutOff(gateway, closing, length) => {
                if self.cuts.iter().any(|cut| cut.to > now) {
                    return None;
                }
                let host = self.gateways[gateway].source;
                let filter = match closing {
                    true => PacketFilter::Closing(vec![host]),
                    false => PacketFilter::From(vec![host]),
                };
                self.workers.iter().for_each(|worker| worker.set_filter(filter.clone()));
                self.cuts.push(Cut { gateway, from: now, to: now + length });
                return Some((now + length, Undo::EndCut));
            }
            Fault::SayLeaving(index) => {
                let faults = WorkerFaults { leaving: true, ..WorkerFaults::default() };
                self.workers[index].set_faults(faults);
                return Some((now + SAY_TIME, Undo::LeaveAfterSaying(index)));
            }
            Fault::WithdrawKey(length) => {
                self.set_key(false);
                return Some((now + length, Undo::ReturnKey));
            }
            Fault::FatalRequests(length) => {
                self.worker_faults.push(now);
                callers.set_fatal(true);
                return Some((now + length, Undo::StopFatal));
            }
        }
        None
    }

    /// Ends a fault. Returns what must be undone of that in turn, and when.
    fn end(&mut self, undo: Undo, callers: &Callers, now: Time) -> Vec<(Time, Undo)> {
        match undo {
            Undo::Resume(index) => self.gateways[index].signal(Signal::CONT),
            Undo::MendStore(Some(index)) => {
                self.gateways[index].store.set_faults(StoreFaults::default());
            }
            Undo::MendStore(None) => self.mend_store(),
            Undo::RestoreStore(copied_at) => {
                self.restore_store(copied_at);
                let ghosts = (now + GHOST_TIMEOUT, Undo::RemoveGhosts);
                return vec![(now + REWRITE_DELAY, Undo::WriteAgain), ghosts];
            }
            Undo::WriteAgain => self.write_again(),
            Undo::RemoveGhosts => self.remove_ghosts(),
            Undo::EndEvacuation(data_centre) => {
                self.store.delete(&evacuation_key(data_centre));
                let lasting = self.evacuations.iter_mut().filter(|it| it.to.is_none());
                lasting.for_each(|it| it.to = Some(now));
            }
            Undo::MendWorker(index) => {
                self.worker_faults.push(now);
                self.workers[index].set_faults(WorkerFaults::default());
            }
            Undo::EndCut => {
                self.workers.iter().for_each(|worker| worker.set_filter(PacketFilter::Open));
            }
            Undo::LeaveAfterSaying(index) => {
                self.workers[index].leave();
                return vec![(now + LEAVE_TIME, Undo::MendWorker(index))];
            }
            Undo::ReturnKey => self.set_key(true),
            Undo::StopFatal => {
                self.worker_faults.push(now);
                callers.set_fatal(false);
            }
        }
        Vec::new()
    }
}
