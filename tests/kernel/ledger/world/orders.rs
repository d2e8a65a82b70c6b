//! Orders, their answers and the reports.

use cardamomshore::{
    clock::Time,
    endpoint::Order,
    kernel::{ledger::Step, stewardship::Authority},
};

use super::{ANSWER_LIMIT, Fate, InFlight, LIFE, TICK, World};

impl World {
    /// Puts an order on the way.
    pub fn send(&mut self, index: usize, order: Order) {
        let fate = std::mem::replace(&mut self.fate, Fate::Arrives);
        let at = self.now;
        self.stewards[index].sent.push((order.id.clone(), at));
        self.check_sender(index, &order);
        let late = self.now + LIFE - TICK;
        let sent = self.now;
        let mut put = |due, back| {
            self.net.push(InFlight { due, sent, order: order.clone(), back });
        };
        match fate {
            Fate::Lost => {}
            Fate::Arrives => put(sent, Some(index)),
            Fate::Mute => put(sent, None),
            Fate::Late => put(late, None),
            Fate::Twice => {
                put(sent, Some(index));
                put(late, None);
            }
        }
    }

    pub fn deliver_orders(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.net.extract_if(.., |sent| sent.due <= now).collect();
        for InFlight { sent, order, back, .. } in due {
            if now.since(sent) >= LIFE {
                continue;
            }
            let reply = self.engine.apply(&order, back, now);
            self.engine.note(now);
            self.check_memory(&order);
            if let (Some(reply), Some(index)) = (reply, back) {
                self.stewards[index].replies.push(reply);
            }
        }
        for (reply, index) in self.engine.finish(now) {
            self.stewards[index].replies.push(reply);
        }
        self.engine.note(now);
    }

    /// Lets a steward hear the answers to its orders, and give up those that stay away.
    pub fn hear(&mut self, index: usize) {
        let now = self.now;
        let steward = &mut self.stewards[index];
        let Some(ledger) = &mut steward.ledger else { return };
        for reply in steward.replies.drain(..) {
            ledger.record_response(&reply, now);
        }
        let silent = |(_, at): &mut (String, Time)| now.since(*at) >= ANSWER_LIMIT;
        for (order, _) in steward.sent.extract_if(.., silent) {
            ledger.record_no_response(&order, now);
        }
    }

    /// Reads a report, closes orders and writes the record.
    pub fn tend(&mut self, index: usize) {
        self.hear(index);
        self.see_report(index);
        if self.duty(index) != Authority::Full {
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
        self.engine.note(now);
        if let Some(ledger) = &mut self.stewards[index].ledger {
            ledger.remove_closed(now);
        }
        self.write(index);
    }

    pub fn see_report(&mut self, index: usize) {
        let report = self.engine.report(self.now);
        let now = self.now;
        if let (Some(ledger), Some(report)) = (&mut self.stewards[index].ledger, report) {
            ledger.apply_report(&report, now);
        }
    }

    /// Unloads and loads what the steward still wants, all steps at once.
    pub(super) fn eat(&mut self, index: usize) {
        if let Some(model) = self.churn.clone() {
            let order = self.next_order();
            let Some(ledger) = &mut self.stewards[index].ledger else { return };
            if ledger.plan_unload(order.clone(), model).is_ok() {
                self.churn = None;
                self.run(index, &order);
            }
        }
        for (model, bytes) in self.hunger.clone() {
            let order = self.next_order();
            let Some(ledger) = &mut self.stewards[index].ledger else { return };
            if ledger.plan_load(order.clone(), model, bytes).is_ok() {
                self.run(index, &order);
            }
        }
    }

    /// Runs an order as far as it goes without waiting.
    pub fn run(&mut self, index: usize, order: &str) {
        loop {
            let duty = self.duty(index);
            let Some(ledger) = &mut self.stewards[index].ledger else { return };
            match ledger.next_step(order, duty, 0) {
                Step::Write => self.write(index),
                Step::CheckKeeper => ledger.approve(order),
                Step::Send(order) => {
                    self.send(index, order);
                    self.deliver_orders();
                    self.hear(index);
                }
                _ => return,
            }
        }
    }
}
