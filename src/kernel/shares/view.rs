//! An instance's view of the share table: which of its parts it may use, and which change it makes
//! next.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    lending::{LOAN_TTL, TOTAL_PARTS},
    table::{Owner, ShareRow, ShareTable, Step},
};
use crate::{clock::Time, names::InstanceId};

/// Time for which an instance uses its row after it last saw the row in the table.
///
/// The time is extended while the platform's service is down for most instances, because no
/// instance can then revoke the row. The extension lasts until [`RETURN_GRACE`] after the outage,
/// well before [`REUSE_DELAY`] has passed.
pub const ROW_TTL: Duration = Duration::from_millis(6_000);

/// Time after an outage of the platform's service for which an instance uses its row without having
/// read the table, so that it can read the table before it must stop.
pub const RETURN_GRACE: Duration = Duration::from_millis(4_000);

/// Time after an instance last saw its row within which no other instance can have removed the row.
///
/// If no instance reached the service after this time, the row is certainly still there, even if
/// the table has changed since.
pub const MAX_STALENESS: Duration = Duration::from_millis(4_000);

/// Time after which the parts of a revoked or replaced owner are certainly no longer in use, even if
/// its process still runs.
pub const REUSE_DELAY: Duration = Duration::from_millis(8_000);

/// Time for which an instance must be missing from the list before its row is revoked.
pub const REVOKE_DELAY: Duration = Duration::from_millis(5_000);

/// Largest number of instances that give parts up for new instances at the same time, which bounds
/// the number of writes that a new instance causes.
const MAX_DONORS: usize = 8;

/// Divisor of an even share that gives the smallest change of a row worth a write.
const MIN_CHANGE_DIVISOR: u32 = 16;

/// What an instance knows of the other instances.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    /// Instances in the platform's list.
    pub listed: BTreeSet<InstanceId>,
    /// Listed instances that are live.
    pub live: BTreeSet<InstanceId>,
    /// Whether this instance is in contact with more than half of the listed live instances.
    pub majority: bool,
}

/// One instance's view of the share table and of its own row.
#[derive(Clone, Debug)]
pub struct ShareTableView {
    /// The process whose view this is.
    owner: Owner,
    /// When the process started.
    started_at: Time,
    /// The table as last read or written.
    table: ShareTable,
    /// Revision of `table`.
    revision: i64,
    /// Highest revision of the table that is known to exist.
    newest_revision: i64,
    /// When the table was last known to have the revision of `table`.
    confirmed_at: Time,
    /// When the own row may be used for the first time.
    usable_at: Time,
    /// When the service was last known to be down for most instances.
    outage_at: Time,
    /// When any instance is known to have last reached the service.
    contact_at: Time,
    /// Time after which the own row must be confirmed before it may be used during an outage,
    /// because an earlier process at another address may have used it until then.
    moved_at: Time,
    /// While a smaller row is written: the table's revision before the write, and the number of
    /// parts that stay in use.
    reduction: Option<(i64, u32)>,
    /// Instances with a row that are missing from the list, and since when.
    absent_since: BTreeMap<InstanceId, Time>,
    /// Instances whose row is revoked, and since when this instance knows it.
    revoked_since: BTreeMap<InstanceId, Time>,
}

impl ShareTableView {
    /// Creates the view of a process that just started and has not read the table.
    pub fn new(owner: Owner, now: Time) -> Self {
        Self {
            owner,
            started_at: now,
            table: ShareTable::default(),
            revision: 0,
            newest_revision: 0,
            confirmed_at: Time::default(),
            usable_at: Time::default(),
            outage_at: Time::default(),
            contact_at: Time::default(),
            moved_at: Time::default(),
            reduction: None,
            absent_since: BTreeMap::new(),
            revoked_since: BTreeMap::new(),
        }
    }

    /// Returns the table as last read or written.
    pub fn table(&self) -> &ShareTable {
        &self.table
    }

    /// Returns the revision of the table as last read or written.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the highest revision of the table that is known to exist.
    pub fn newest_revision(&self) -> i64 {
        self.newest_revision
    }

    /// Returns whether the table is known to have changed since it was read.
    pub fn is_stale(&self) -> bool {
        self.newest_revision > self.revision
    }

    /// Returns whether the instance stopped using parts and the smaller row is not written yet.
    pub fn is_pending(&self) -> bool {
        self.reduction.is_some()
    }

    /// Returns the table with a step of this instance applied.
    pub fn next_table(&self, step: &Step) -> ShareTable {
        self.table.with_step(&self.owner, step)
    }

    /// Returns when the table was last known to be the one that was read.
    pub fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// Applies a table that was read or written. `sent_at` is when the request to the service was
    /// sent.
    ///
    /// A table older than the one already applied is ignored.
    pub fn apply_table(&mut self, table: ShareTable, revision: i64, sent_at: Time, now: Time) {
        if revision < self.revision {
            return;
        }
        if let Some(usable_at) = self.usable_after(&table, now) {
            self.usable_at = self.usable_at.max(usable_at);
            // An earlier process at another address may still use the row during an outage.
            let own_row = self.table.rows.get(&self.owner.instance);
            let same_address =
                own_row.is_some_and(|row| row.address == self.owner.address && !row.revoked);
            self.moved_at = if same_address { self.moved_at } else { usable_at };
        }
        self.table = table;
        self.revision = revision;
        self.newest_revision = self.newest_revision.max(revision);
        self.confirmed_at = self.confirmed_at.max(sent_at);
        if self.reduction.is_some_and(|(expected, _)| revision > expected) {
            self.reduction = None;
        }
        let is_revoked = |id: &InstanceId| self.table.rows.get(id).is_some_and(|row| row.revoked);
        self.revoked_since.retain(|id, _| is_revoked(id));
        for (id, _) in self.table.rows.iter().filter(|(_, row)| row.revoked) {
            self.revoked_since.entry(id.clone()).or_insert(now);
        }
    }

    /// Records that, according to a peer, the table had this revision at the time `at`.
    pub fn record_revision(&mut self, revision: i64, at: Time) {
        self.newest_revision = self.newest_revision.max(revision);
        if revision == self.revision {
            self.confirmed_at = self.confirmed_at.max(at);
        }
    }

    /// Records that this instance, or a peer that it is in contact with, reached the platform's
    /// service at `at`.
    pub fn record_contact(&mut self, at: Time) {
        self.contact_at = self.contact_at.max(at);
    }

    /// Returns the number of own parts that the instance may use at `now`.
    ///
    /// `service_down` says that the platform's service is down for most instances, so that nobody
    /// can write the table.
    pub fn usable_parts(&mut self, service_down: bool, now: Time) -> u32 {
        if service_down {
            self.outage_at = now;
        }
        let Some(row) = self.table.rows.get(&self.owner.instance) else { return 0 };
        let is_owned = row.incarnation == self.owner.incarnation && !row.revoked;
        let is_recent = self.contact_at.since(self.confirmed_at) <= MAX_STALENESS;
        let is_unchanged = (!self.is_stale() || is_recent) && self.confirmed_at >= self.moved_at;
        let is_extended = now.since(self.outage_at) <= RETURN_GRACE && is_unchanged;
        let is_valid = is_extended || now.since(self.confirmed_at) <= ROW_TTL;
        if !is_owned || !is_valid || now < self.usable_at {
            return 0;
        }
        self.reduction.map_or(row.parts, |(_, kept)| row.parts.min(kept))
    }

    /// Returns the next change to the table.
    ///
    /// `lent` is the number of parts that the instance lent, which it cannot give up now.
    pub fn next_step(&mut self, membership: &Membership, lent: u32, now: Time) -> Step {
        self.update_absences(membership, now);
        let Some(row) = self.table.rows.get(&self.owner.instance).cloned() else {
            return self.step_to_take(membership, 0);
        };
        if row.incarnation != self.owner.incarnation || row.revoked {
            return Step::Hold(row.parts);
        }
        match self.step_to_give(membership, &row, lent) {
            Step::Keep => {}
            step => return step,
        }
        match self.step_to_take(membership, row.parts) {
            Step::Keep => self.step_to_reclaim(membership, now),
            step => step,
        }
    }

    /// Prepares for the write of a step. From now on, the parts to give up are not used.
    pub fn begin_step(&mut self, step: &Step) {
        let kept = match step {
            Step::GiveUp(parts) => *parts,
            Step::Leave => 0,
            _ => return,
        };
        self.reduction = Some((self.revision, kept));
    }

    /// Returns when the own row in `table` may be used, if this process takes it over from an
    /// earlier owner or after a revocation, or `None` otherwise.
    fn usable_after(&self, table: &ShareTable, now: Time) -> Option<Time> {
        let is_owned = |row: &&ShareRow| row.incarnation == self.owner.incarnation && !row.revoked;
        table.rows.get(&self.owner.instance).filter(is_owned)?;
        let old_row = self.table.rows.get(&self.owner.instance)?;
        if is_owned(&old_row) {
            return None;
        }
        // If this process has bound the address of the earlier one, the earlier process has ended.
        // Only its loans may still be in use.
        let same_address = old_row.address == self.owner.address;
        let is_restart = same_address && old_row.incarnation != self.owner.incarnation;
        Some(if is_restart { self.started_at + LOAN_TTL * 2 } else { now + REUSE_DELAY })
    }

    /// Updates which instances with a row are missing from the list, and since when.
    fn update_absences(&mut self, membership: &Membership, now: Time) {
        self.absent_since.retain(|id, _| !membership.listed.contains(id));
        for id in self.table.rows.keys().filter(|id| !membership.listed.contains(*id)) {
            self.absent_since.entry(id.clone()).or_insert(now);
        }
    }

    /// Returns the step that adds free parts to the own row, up to an even share.
    fn step_to_take(&self, membership: &Membership, held: u32) -> Step {
        if !membership.live.contains(&self.owner.instance) {
            return Step::Keep;
        }
        let even_share = even_parts(membership);
        let added = even_share.saturating_sub(held).min(self.table.free_parts());
        if added == 0 || (held > 0 && added < even_share / MIN_CHANGE_DIVISOR) {
            return Step::Keep;
        }
        Step::Hold(held + added)
    }

    /// Returns the step that gives parts up for instances that have too few.
    fn step_to_give(&self, membership: &Membership, row: &ShareRow, lent: u32) -> Step {
        let even_share = even_parts(membership);
        let missing = self.missing_parts(membership, even_share);
        let donors = self.donors(even_share);
        let max_given = row.parts.saturating_sub(even_share / 2);
        if missing <= even_share / MIN_CHANGE_DIVISOR || !donors.contains(&&self.owner.instance) {
            return Step::Keep;
        }
        let given = missing.div_ceil(donors.len() as u32).min(max_given);
        let kept = (row.parts - given).max(lent);
        if kept < row.parts { Step::GiveUp(kept) } else { Step::Keep }
    }

    /// Returns how many parts, beyond the free ones, the instances with less than half an even
    /// share need to reach one.
    fn missing_parts(&self, membership: &Membership, even_share: u32) -> u32 {
        let parts = |id: &InstanceId| self.table.rows.get(id).map_or(0, |row| row.parts);
        let too_small = membership.live.iter().map(parts).filter(|parts| *parts < even_share / 2);
        let missing: u32 = too_small.map(|parts| even_share - parts).sum();
        missing.saturating_sub(self.table.free_parts())
    }

    /// Returns the instances with the largest rows, as far as those exceed an even share.
    fn donors(&self, even_share: u32) -> Vec<&InstanceId> {
        let donors =
            self.table.rows.iter().filter(|(_, row)| row.parts > even_share && !row.revoked);
        let mut donors: Vec<_> = donors.collect();
        donors.sort_by(|a, b| (b.1.parts, a.0).cmp(&(a.1.parts, b.0)));
        donors.into_iter().take(MAX_DONORS).map(|(id, _)| id).collect()
    }

    /// Returns the step that revokes or removes the row of an instance missing from the list.
    ///
    /// An instance that is in contact with only a minority of the others may be wrong about which
    /// instances have ended, so it changes nothing.
    fn step_to_reclaim(&self, membership: &Membership, now: Time) -> Step {
        if !membership.majority {
            return Step::Keep;
        }
        for (id, absent) in &self.absent_since {
            let revoked_since = self.revoked_since.get(id);
            match revoked_since {
                Some(since) if now.since(*since) >= REUSE_DELAY => return Step::Free(id.clone()),
                None if now.since(*absent) >= REVOKE_DELAY => return Step::Revoke(id.clone()),
                _ => {}
            }
        }
        Step::Keep
    }
}

/// Returns the number of parts of an even share, the total divided by the live instances.
fn even_parts(membership: &Membership) -> u32 {
    TOTAL_PARTS / membership.live.len().max(1) as u32
}
