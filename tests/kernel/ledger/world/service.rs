//! Leases, takeovers and writes of the endpoint's record.

use std::time::Duration;

use cardamomshore::{
    kernel::{
        freshness::Freshness,
        ledger::{EndpointRecord, Ledger, LedgerLimits},
        stewardship::{
            KeepContext, KeepDecision, LEASE_TTL, Lease, Takeover, TakeoverContext, Vacancy,
            decide_keep, decide_takeover, vacancy,
        },
    },
    names::InstanceId,
};

use super::{CAPACITY, DelayedWrite, ORDER_TTL, World, WriteFate};

impl World {
    /// Removes the leases that have ended.
    pub(super) fn expire_leases(&mut self) {
        let now = self.now;
        let ends = &self.lease_ends;
        self.leases.retain(|id, _| ends.get(id).is_some_and(|end| *end > now));
    }

    /// Acquires or renews the lease of an instance if it reaches the service.
    pub(super) fn keep_lease(&mut self, index: usize) {
        if !self.reaches_service(index) {
            return;
        }
        let (id, incarnation) = (self.stewards[index].id.clone(), self.stewards[index].incarnation);
        self.lease_ends.insert(id.clone(), self.now + LEASE_TTL);
        let known = self.leases.insert(id, Lease { incarnation, revision: 1 });
        if known.is_none() {
            self.verify_term(index);
        }
        let now = self.now;
        self.stewards[index].lease.record_renewal(now);
    }

    /// Drops the endpoint if another term has begun.
    pub fn verify_term(&mut self, index: usize) {
        let steward = &mut self.stewards[index];
        let is_own = self.record.as_ref().is_some_and(|r| r.is_same_term(&steward.record));
        if !is_own {
            steward.ledger = None;
        }
    }

    /// Drops the endpoint if the steward sees a record of another term.
    pub(super) fn keep_endpoint(&mut self, index: usize) {
        let steward = &self.stewards[index];
        if !self.reaches_service(index) || steward.ledger.is_none() {
            return;
        }
        let decision = decide_keep(&KeepContext {
            own: &steward.id,
            written: &steward.record,
            record: self.record.as_ref(),
            listed: true,
            idle: false,
            preferred: None,
            leases: &self.leases,
        });
        if decision == KeepDecision::Lost {
            self.stewards[index].ledger = None;
        }
    }

    /// Takes the endpoint over if the instance decides to.
    pub(super) fn try_takeover(&mut self, index: usize) {
        if self.freshness(index) != Freshness::Fresh {
            self.stewards[index].vacant_since = None;
        }
        if self.stewards[index].ledger.is_some() || !self.reaches_service(index) {
            return;
        }
        let own = (&self.stewards[index].id, self.stewards[index].incarnation);
        let vacancy = vacancy(own, self.record.as_ref(), &self.leases);
        if vacancy == Vacancy::Held {
            self.stewards[index].vacant_since = None;
            return;
        }
        let since = *self.stewards[index].vacant_since.get_or_insert(self.now);
        let ranked: Vec<InstanceId> = self.stewards.iter().map(|s| s.id.clone()).collect();
        let context = TakeoverContext {
            own: &self.stewards[index].id,
            lease_held: self.stewards[index].lease.is_held(self.now),
            freshness: self.freshness(index),
            ranked: &ranked,
            leases: &self.leases,
            vacancy: &vacancy,
            vacant_for: self.now.since(since),
        };
        if decide_takeover(&context) == Takeover::Take
            && let Some(takeover) = self.prepare_takeover(index)
        {
            self.take_over(index, takeover);
        }
    }

    /// Returns the record by which an instance takes the endpoint over, and the revision that the
    /// write expects.
    pub fn prepare_takeover(&self, index: usize) -> Option<(EndpointRecord, i64)> {
        let steward = &self.stewards[index];
        if !steward.may_act() || steward.ledger.is_some() || !steward.lease.is_held(self.now) {
            return None;
        }
        let previous = self.record.clone().unwrap_or_default();
        let steward = &self.stewards[index];
        let record = EndpointRecord {
            holder: Some(steward.id.clone()),
            incarnation: steward.incarnation,
            fence: previous.fence + 1,
            ..previous
        };
        Some((record, self.revision))
    }

    /// Takes the endpoint over if its record is unchanged and it has no steward.
    pub fn take_over(&mut self, index: usize, (record, expected): (EndpointRecord, i64)) {
        let steward = &self.stewards[index];
        let own = (&steward.id, steward.incarnation);
        let is_held = vacancy(own, self.record.as_ref(), &self.leases) == Vacancy::Held;
        let has_lease = self.leases.contains_key(&steward.id);
        if !self.reaches_service(index)
            || is_held
            || !has_lease
            || !self.commit(expected, record.clone())
        {
            return;
        }
        let fate = std::mem::replace(&mut self.write_fate, WriteFate::Delivered);
        if fate == WriteFate::ResponseLost {
            return;
        }
        let limits = LedgerLimits {
            weight_bytes: CAPACITY,
            adapter_bytes: 0,
            max_orders: 1,
            order_ttl: ORDER_TTL,
        };
        let mut ledger = Ledger::from_record(limits, &record, self.now);
        ledger.record_write(&record);
        let revision = self.revision;
        let steward = &mut self.stewards[index];
        steward.ledger = Some(ledger);
        steward.record = record;
        steward.revision = revision;
        steward.sent.clear();
        steward.responses.clear();
    }

    /// Writes the record if it has the expected revision, and returns whether it had.
    fn commit(&mut self, expected: i64, record: EndpointRecord) -> bool {
        if expected != self.revision {
            return false;
        }
        self.revision += 1;
        self.record = Some(record);
        true
    }

    /// Delivers the delayed writes that are due.
    pub(super) fn deliver_writes(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.delayed_writes.extract_if(.., |write| write.due_at <= now).collect();
        for write in due {
            self.commit(write.expected, write.record);
        }
    }

    /// Returns the record that a steward writes next, and the revision that the write expects.
    pub fn build_record(&self, index: usize) -> Option<(EndpointRecord, i64)> {
        let steward = &self.stewards[index];
        let ledger = steward.ledger.as_ref()?;
        Some((ledger.record(&steward.record), steward.revision))
    }

    /// Delivers a write as its fate says, and its response to the steward.
    pub fn deliver_write(&mut self, index: usize, record: EndpointRecord, expected: i64) {
        let fate = std::mem::replace(&mut self.write_fate, WriteFate::Delivered);
        if !self.reaches_service(index) {
            return self.record_failed_write(index);
        }
        if fate == WriteFate::Late {
            let due_at = self.now + Duration::from_secs(12);
            self.delayed_writes.push(DelayedWrite { due_at, expected, record });
            return self.record_failed_write(index);
        }
        let done = self.commit(expected, record.clone());
        if fate == WriteFate::ResponseLost {
            return self.record_failed_write(index);
        }
        if done {
            let revision = self.revision;
            let steward = &mut self.stewards[index];
            steward.revision = revision;
            steward.record = record.clone();
            if let Some(ledger) = &mut steward.ledger {
                ledger.record_write(&record);
            }
        } else {
            self.handle_conflict(index);
        }
    }

    /// Reads the record after a write that expected another revision, and drops the endpoint if
    /// another term has begun.
    fn handle_conflict(&mut self, index: usize) {
        let steward = &mut self.stewards[index];
        let current = self.record.clone().unwrap_or_default();
        let is_own =
            current.fence == steward.record.fence && current.holder.as_ref() == Some(&steward.id);
        if is_own {
            steward.revision = self.revision;
        } else {
            steward.ledger = None;
        }
    }

    /// Records that a write got no response, and cancels the orders that were not sent.
    fn record_failed_write(&mut self, index: usize) {
        let steward = &mut self.stewards[index];
        let Some(ledger) = &mut steward.ledger else { return };
        ledger.record_lost_write();
        let unsent: Vec<String> = ledger.intents().map(|intent| intent.order.clone()).collect();
        for order in unsent {
            ledger.cancel(&order);
        }
    }

    /// Writes the record until it matches the ledger, at most twice.
    pub fn write(&mut self, index: usize) {
        for _ in 0..2 {
            let is_dirty = self.stewards[index].ledger.as_ref().is_some_and(Ledger::is_dirty);
            if !is_dirty {
                return;
            }
            let Some((record, expected)) = self.build_record(index) else { return };
            self.deliver_write(index, record, expected);
        }
    }
}
