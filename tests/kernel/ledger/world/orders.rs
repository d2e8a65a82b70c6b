//! Orders, the responses to them, and reports.

use cardamomshore::{
    clock::Time,
    endpoint::Order,
    kernel::{ledger::Step, stewardship::Authority},
};

use super::{DEFAULT_STEP, InFlight, ORDER_TTL, OrderFate, RESPONSE_TIMEOUT, World};

impl World {
    /// Sends an order, which arrives as its fate says.
    pub fn send_order(&mut self, index: usize, order: Order) {
        let fate = std::mem::replace(&mut self.order_fate, OrderFate::Delivered);
        let now = self.now;
        self.stewards[index].sent.push((order.id.clone(), now));
        self.check_sender(index, &order);
        let late = self.now + ORDER_TTL - DEFAULT_STEP;
        let sent_at = self.now;
        let mut enqueue = |due_at, responds_to| {
            self.in_flight.push(InFlight { due_at, sent_at, order: order.clone(), responds_to });
        };
        match fate {
            OrderFate::Lost => {}
            OrderFate::Delivered => enqueue(sent_at, Some(index)),
            OrderFate::ResponseLost => enqueue(sent_at, None),
            OrderFate::Late => enqueue(late, None),
            OrderFate::Twice => {
                enqueue(sent_at, Some(index));
                enqueue(late, None);
            }
        }
    }

    /// Delivers the orders that are due, ends the loads that are complete, and returns the
    /// responses to the stewards.
    pub fn deliver_orders(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |order| order.due_at <= now).collect();
        for InFlight { sent_at, order, responds_to, .. } in due {
            if now.since(sent_at) >= ORDER_TTL {
                continue;
            }
            let reply = self.engine.apply(&order, responds_to, now);
            self.engine.record_report(now);
            self.check_memory(&order);
            if let (Some(reply), Some(index)) = (reply, responds_to) {
                self.stewards[index].responses.push(reply);
            }
        }
        for (reply, index) in self.engine.finish(now) {
            self.stewards[index].responses.push(reply);
        }
        self.engine.record_report(now);
    }

    /// Records the responses to a steward's orders, and the orders whose response timed out.
    pub fn receive_responses(&mut self, index: usize) {
        let now = self.now;
        let steward = &mut self.stewards[index];
        let Some(ledger) = &mut steward.ledger else { return };
        for reply in steward.responses.drain(..) {
            ledger.record_response(&reply, now);
        }
        let timed_out = |(_, at): &mut (String, Time)| now.since(*at) >= RESPONSE_TIMEOUT;
        for (order, _) in steward.sent.extract_if(.., timed_out) {
            ledger.record_no_response(&order, now);
        }
    }

    /// Does a steward's regular work: reads a report, probes the engine if needed, drops closed
    /// orders and writes the record.
    pub fn maintain(&mut self, index: usize) {
        self.receive_responses(index);
        self.read_report(index);
        if self.authority(index) != Authority::Full {
            return;
        }
        let now = self.now;
        let probe = self.stewards[index].ledger.as_ref();
        let probe = probe.and_then(|ledger| ledger.probe("probe".to_owned(), now));
        if let Some(order) = probe
            && let Some(reply) = self.engine.apply(&order, None, now)
            && let Some(ledger) = &mut self.stewards[index].ledger
        {
            ledger.record_probe_response(&reply, now);
        }
        self.engine.record_report(now);
        if let Some(ledger) = &mut self.stewards[index].ledger {
            ledger.remove_closed(now);
        }
        self.write(index);
    }

    /// Applies the engine's current report to a steward's ledger.
    pub fn read_report(&mut self, index: usize) {
        let report = self.engine.report(self.now);
        let now = self.now;
        if let (Some(ledger), Some(report)) = (&mut self.stewards[index].ledger, report) {
            ledger.apply_report(&report, now);
        }
    }

    /// Plans the unloads and loads that the test wants, and runs each as far as possible.
    pub(super) fn run_wanted_orders(&mut self, index: usize) {
        if let Some(model) = self.unload_once.clone() {
            let order = self.next_order();
            let Some(ledger) = &mut self.stewards[index].ledger else { return };
            if ledger.plan_unload(order.clone(), model).is_ok() {
                self.unload_once = None;
                self.run_order(index, &order);
            }
        }
        for (model, bytes) in self.wanted_models.clone() {
            let order = self.next_order();
            let Some(ledger) = &mut self.stewards[index].ledger else { return };
            if ledger.plan_load(order.clone(), model, bytes).is_ok() {
                self.run_order(index, &order);
            }
        }
    }

    /// Runs an order until it must wait.
    pub fn run_order(&mut self, index: usize, order: &str) {
        loop {
            let authority = self.authority(index);
            let Some(ledger) = &mut self.stewards[index].ledger else { return };
            match ledger.next_step(order, authority, 0) {
                Step::Write => self.write(index),
                Step::CheckKeeper => ledger.approve(order),
                Step::Send(order) => {
                    self.send_order(index, order);
                    self.deliver_orders();
                    self.receive_responses(index);
                }
                _ => return,
            }
        }
    }
}
