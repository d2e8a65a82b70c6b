//! The table of parts and one instance's row in it.
//!
//! A part changes hands in one of two ways only: its holder stops using it and then gives it up, or
//! the holder left the platform's list, its row was marked as revoked, and the mark stood for
//! longer than a holder goes on without having seen its row unmarked.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::lending::{LOAN_TTL, TOTAL_PARTS};
use crate::{clock::Time, names::InstanceId};

/// Key of the table's record.
pub const TABLE_KEY: &str = "cardamomshore/shares";

/// Time for which an instance uses its row without having seen it again.
///
/// While the platform's service is down for most instances the time does not count, since nobody
/// can write a mark, and for [`RETURN_GRACE`] after, which ends long before [`HOLD_OFF`].
pub const CONFIRM_BOUND: Duration = Duration::from_millis(6_000);

/// Time for which an instance goes on after the service came back, to see its row again.
pub const RETURN_GRACE: Duration = Duration::from_millis(4_000);

/// Time between the last look at the own row and the last contact of anybody with the service,
/// within which nobody can have freed the row, whatever the table holds now.
pub const STALE_BOUND: Duration = Duration::from_millis(4_000);

/// Time after which parts of a holder that may still run cannot be in use any more.
pub const HOLD_OFF: Duration = Duration::from_millis(8_000);

/// Time for which an instance must be missing in the list before its row is marked.
pub const LIST_LAG: Duration = Duration::from_millis(5_000);

/// Rows that give parts up for newcomers, so that one newcomer costs a bounded number of writes.
const DONOR_COUNT: usize = 8;

/// Part of an even share below which a row is not worth a write.
const TRIFLE_DIVISOR: u32 = 16;

/// What the platform's service keeps of the parts.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShareTable {
    /// Rows by instance.
    pub rows: BTreeMap<InstanceId, ShareRow>,
    /// Random number of the last write, by which its writer recognizes it.
    pub nonce: u64,
}

/// The part of one instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ShareRow {
    /// Incarnation of the holder's process.
    pub incarnation: u64,
    /// Address for other instances, which only one process can hold at a time.
    pub address: SocketAddr,
    /// Parts of the whole.
    pub parts: u32,
    /// Whether the holder must stop using them.
    pub revoked: bool,
}

impl ShareTable {
    /// Returns the parts that no row holds.
    pub fn free(&self) -> u32 {
        TOTAL_PARTS.saturating_sub(self.rows.values().map(|row| row.parts).sum())
    }

    /// Returns the table after a step of `owner`.
    pub fn after(&self, owner: &Owner, step: &Step) -> ShareTable {
        let mut table = self.clone();
        let row = |parts| ShareRow {
            incarnation: owner.incarnation,
            address: owner.address,
            parts,
            revoked: false,
        };
        match step {
            Step::Keep => {}
            Step::Hold(parts) | Step::GiveUp(parts) => {
                table.rows.insert(owner.instance.clone(), row(*parts));
            }
            Step::Leave => {
                table.rows.remove(&owner.instance);
            }
            Step::Revoke(id) => {
                if let Some(row) = table.rows.get_mut(id) {
                    row.revoked = true;
                }
            }
            Step::Free(id) => {
                table.rows.remove(id);
            }
        }
        table
    }
}

/// What to write next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing.
    Keep,
    /// Own this many parts, out of the free ones or the row of an earlier incarnation.
    Hold(u32),
    /// Own only this many parts; they are in force at once.
    GiveUp(u32),
    /// Own nothing, as the instance leaves.
    Leave,
    /// Mark the row of an instance that left the list.
    Revoke(InstanceId),
    /// Remove the row of an instance whose mark stood long enough.
    Free(InstanceId),
}

/// One process that owns a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Owner {
    /// Name.
    pub instance: InstanceId,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Its address for other instances.
    pub address: SocketAddr,
}

/// What an instance knows of the others.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    /// Instances in the list.
    pub listed: BTreeSet<InstanceId>,
    /// Those that are live.
    pub live: BTreeSet<InstanceId>,
    /// Whether this instance hears more than half of the live ones.
    pub majority: bool,
}

/// One instance's view of the table and of its own row.
#[derive(Clone, Debug)]
pub struct ShareTableView {
    owner: Owner,
    started: Time,
    table: ShareTable,
    revision: i64,
    newest_revision: i64,
    confirmed_at: Time,
    usable: Time,
    excused: Time,
    contact: Time,
    moved: Time,
    ceiling: Option<(i64, u32)>,
    absent: BTreeMap<InstanceId, Time>,
    marked: BTreeMap<InstanceId, Time>,
}

impl ShareTableView {
    /// Creates the view of a process that just started.
    pub fn new(owner: Owner, now: Time) -> Self {
        Self {
            owner,
            started: now,
            table: ShareTable::default(),
            revision: 0,
            newest_revision: 0,
            confirmed_at: Time::default(),
            usable: Time::default(),
            excused: Time::default(),
            contact: Time::default(),
            moved: Time::default(),
            ceiling: None,
            absent: BTreeMap::new(),
            marked: BTreeMap::new(),
        }
    }

    /// Returns the table as last read.
    pub fn table(&self) -> &ShareTable {
        &self.table
    }

    /// Returns the revision of the table as last read.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the highest revision that is known to exist.
    pub fn newest_revision(&self) -> i64 {
        self.newest_revision
    }

    /// Returns whether a newer table exists than the one that was read.
    pub fn is_stale(&self) -> bool {
        self.newest_revision > self.revision
    }

    /// Returns whether parts were given up without a write that is known to have taken effect.
    pub fn is_pending(&self) -> bool {
        self.ceiling.is_some()
    }

    /// Returns the table after a step of this instance.
    pub fn next_table(&self, step: &Step) -> ShareTable {
        self.table.after(&self.owner, step)
    }

    /// Returns when the table was last known to have its revision.
    pub fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// Takes in a table that was asked for at `asked`.
    pub fn apply_table(&mut self, table: ShareTable, revision: i64, asked: Time, now: Time) {
        if revision < self.revision {
            return;
        }
        if let Some(usable) = self.usable_after(&table, now) {
            self.usable = self.usable.max(usable);
            // An earlier holder elsewhere may still count on its row while the service is down.
            let same = self.table.rows.get(&self.owner.instance);
            let same = same.is_some_and(|row| row.address == self.owner.address && !row.revoked);
            self.moved = if same { self.moved } else { usable };
        }
        self.table = table;
        self.revision = revision;
        self.newest_revision = self.newest_revision.max(revision);
        self.confirmed_at = self.confirmed_at.max(asked);
        if self.ceiling.is_some_and(|(expected, _)| revision > expected) {
            self.ceiling = None;
        }
        let revoked = |id: &InstanceId| self.table.rows.get(id).is_some_and(|row| row.revoked);
        self.marked.retain(|id, _| revoked(id));
        for (id, _) in self.table.rows.iter().filter(|(_, row)| row.revoked) {
            self.marked.entry(id.clone()).or_insert(now);
        }
    }

    /// Notes that the table had this revision at a time, as a peer passed on.
    pub fn record_revision(&mut self, revision: i64, at: Time) {
        self.newest_revision = self.newest_revision.max(revision);
        if revision == self.revision {
            self.confirmed_at = self.confirmed_at.max(at);
        }
    }

    /// Notes the last contact of this or any heard instance with the platform's service.
    pub fn record_contact(&mut self, at: Time) {
        self.contact = self.contact.max(at);
    }

    /// Returns the parts that may be used; `down` says that nobody can write the table.
    pub fn usable_parts(&mut self, down: bool, now: Time) -> u32 {
        if down {
            self.excused = now;
        }
        let Some(row) = self.table.rows.get(&self.owner.instance) else { return 0 };
        let mine = row.incarnation == self.owner.incarnation && !row.revoked;
        let young = self.contact.since(self.confirmed_at) <= STALE_BOUND;
        let unchanged = (!self.is_stale() || young) && self.confirmed_at >= self.moved;
        let unwritten = now.since(self.excused) <= RETURN_GRACE && unchanged;
        let known = unwritten || now.since(self.confirmed_at) <= CONFIRM_BOUND;
        if !mine || !known || now < self.usable {
            return 0;
        }
        self.ceiling.map_or(row.parts, |(_, ceiling)| row.parts.min(ceiling))
    }

    /// Decides what to write; `lent` parts cannot be given up now.
    pub fn next_step(&mut self, census: &Membership, lent: u32, now: Time) -> Step {
        self.observe(census, now);
        let Some(row) = self.table.rows.get(&self.owner.instance).cloned() else {
            return self.take(census, 0);
        };
        if row.incarnation != self.owner.incarnation || row.revoked {
            return Step::Hold(row.parts);
        }
        match self.give(census, &row, lent) {
            Step::Keep => {}
            step => return step,
        }
        match self.take(census, row.parts) {
            Step::Keep => self.reclaim(census, now),
            step => step,
        }
    }

    /// Prepares for a write; parts that are given up are not used from here on.
    pub fn begin_step(&mut self, step: &Step) {
        let kept = match step {
            Step::GiveUp(parts) => *parts,
            Step::Leave => 0,
            _ => return,
        };
        self.ceiling = Some((self.revision, kept));
    }

    /// Returns when the own row of a new table can be used, or `None` where it is no new one.
    fn usable_after(&self, table: &ShareTable, now: Time) -> Option<Time> {
        let mine = |row: &&ShareRow| row.incarnation == self.owner.incarnation && !row.revoked;
        table.rows.get(&self.owner.instance).filter(mine)?;
        let before = self.table.rows.get(&self.owner.instance)?;
        if mine(&before) {
            return None;
        }
        // The earlier process is gone where this one holds its address; its loans may still run.
        let same = before.address == self.owner.address;
        let restarted = same && before.incarnation != self.owner.incarnation;
        Some(if restarted { self.started + LOAN_TTL * 2 } else { now + HOLD_OFF })
    }

    fn observe(&mut self, census: &Membership, now: Time) {
        self.absent.retain(|id, _| !census.listed.contains(id));
        for id in self.table.rows.keys().filter(|id| !census.listed.contains(*id)) {
            self.absent.entry(id.clone()).or_insert(now);
        }
    }

    fn take(&self, census: &Membership, held: u32) -> Step {
        if !census.live.contains(&self.owner.instance) {
            return Step::Keep;
        }
        let even = even(census);
        let more = even.saturating_sub(held).min(self.table.free());
        if more == 0 || (held > 0 && more < even / TRIFLE_DIVISOR) {
            return Step::Keep;
        }
        Step::Hold(held + more)
    }

    fn give(&self, census: &Membership, row: &ShareRow, lent: u32) -> Step {
        let even = even(census);
        let missing = self.missing(census, even);
        let donors = self.donors(even);
        let excess = row.parts.saturating_sub(even / 2);
        if missing <= even / TRIFLE_DIVISOR || !donors.contains(&&self.owner.instance) {
            return Step::Keep;
        }
        let given = missing.div_ceil(donors.len() as u32).min(excess);
        let kept = (row.parts - given).max(lent);
        if kept < row.parts { Step::GiveUp(kept) } else { Step::Keep }
    }

    /// Returns the parts that instances with less than half an even share lack.
    fn missing(&self, census: &Membership, even: u32) -> u32 {
        let parts = |id: &InstanceId| self.table.rows.get(id).map_or(0, |row| row.parts);
        let short = census.live.iter().map(parts).filter(|parts| *parts < even / 2);
        let lacking: u32 = short.map(|parts| even - parts).sum();
        lacking.saturating_sub(self.table.free())
    }

    /// Returns the instances with the largest rows above an even share.
    fn donors(&self, even: u32) -> Vec<&InstanceId> {
        let rich = self.table.rows.iter().filter(|(_, row)| row.parts > even && !row.revoked);
        let mut rich: Vec<_> = rich.collect();
        rich.sort_by(|a, b| (b.1.parts, a.0).cmp(&(a.1.parts, b.0)));
        rich.into_iter().take(DONOR_COUNT).map(|(id, _)| id).collect()
    }

    fn reclaim(&self, census: &Membership, now: Time) -> Step {
        if !census.majority {
            return Step::Keep;
        }
        for (id, since) in &self.absent {
            let marked = self.marked.get(id);
            match marked {
                Some(marked) if now.since(*marked) >= HOLD_OFF => return Step::Free(id.clone()),
                None if now.since(*since) >= LIST_LAG => return Step::Revoke(id.clone()),
                _ => {}
            }
        }
        Step::Keep
    }
}

fn even(census: &Membership) -> u32 {
    TOTAL_PARTS / census.live.len().max(1) as u32
}
