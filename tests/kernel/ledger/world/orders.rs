//! Orders, their answers and the reports.

use cardamomshore::{
    clock::Time,
    endpoint::Order,
    kernel::{ledger::Step, stewardship::Authority},
};

use super::{DEFAULT_STEP, InFlight, ORDER_TTL, OrderFate, RESPONSE_TIMEOUT, World};

impl World {
    /// Puts an order on the way.
    pub fn send_order(&mut self, index: usize, order: Order) {
        let fate = std::mem::replace(&mut self.order_fate, OrderFate::Delivered);
        let at = self.now;
        self.stewards[index].sent.push((order.id.clone(), at));
        self.check_sender(index, &order);
        let late = self.now + ORDER_TTL - DEFAULT_STEP;
        let sent = self.now;
        let mut put = |due, back| {
            self.in_flight.push(InFlight {
                due_at: due,
                sent_at: sent,
                order: order.clone(),
                responds_to: back,
            });
        };
        match fate {
            OrderFate::Lost => {}
            OrderFate::Delivered => put(sent, Some(index)),
            OrderFate::ResponseLost => put(sent, None),
            OrderFate::Late => put(late, None),
            OrderFate::Twice => {
                put(sent, Some(index));
                put(late, None);
            }
        }
    }

    pub fn deliver_orders(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |sent| sent.due_at <= now).collect();
        for InFlight { sent_at: sent, order, responds_to: back, .. } in due {
            if now.since(sent) >= ORDER_TTL {
                continue;
            }
            let reply = self.engine.apply(&order, back, now);
            self.engine.record_report(now);
            self.check_memory(&order);
            if let (Some(reply), Some(index)) = (reply, back) {
                self.stewards[index].responses.push(reply);
            }
        }
        for (reply, index) in self.engine.finish(now) {
            self.stewards[index].responses.push(reply);
        }
        self.engine.record_report(now);
    }

    /// Lets a steward hear the answers to its orders, and give up those that stay away.
    pub fn receive_responses(&mut self, index: usize) {
        let now = self.now;
        let steward = &mut self.stewards[index];
        let Some(ledger) = &mut steward.ledger else { return };
        for reply in steward.responses.drain(..) {
            ledger.record_response(&reply, now);
        }
        let silent = |(_, at): &mut (String, Time)| now.since(*at) >= RESPONSE_TIMEOUT;
        for (order, _) in steward.sent.extract_if(.., silent) {
            ledger.record_no_response(&order, now);
        }
    }

    /// Reads a report, closes orders and writes the record.
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

    pub fn read_report(&mut self, index: usize) {
        let report = self.engine.report(self.now);
        let now = self.now;
        if let (Some(ledger), Some(report)) = (&mut self.stewards[index].ledger, report) {
            ledger.apply_report(&report, now);
        }
    }

    /// Unloads and loads what the steward still wants, all steps at once.
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

    /// Runs an order as far as it goes without waiting.
    pub fn run_order(&mut self, index: usize, order: &str) {
        loop {
            let duty = self.authority(index);
            let Some(ledger) = &mut self.stewards[index].ledger else { return };
            match ledger.next_step(order, duty, 0) {
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
