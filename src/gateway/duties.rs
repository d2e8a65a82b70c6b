//! Carries out the duties towards the platform.
//!
//! Each instance counts the runs of its requests and sends the counts to the leader. The leader fixes
//! and sends the reports. The decisions are made in [`kernel::duties`](crate::kernel::duties).

mod calls;
mod scale;
mod share;

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;

pub use self::{calls::report, scale::scale, share::share};
use super::{Gateway, settings::DutySettings};
use crate::{
    catalog::Team,
    clock::{Time, wall_millis},
    http::pool::Pool,
    kernel::duties::{
        clock::{JumpGuard, TrueTime, WallMillis},
        counts::{StartId, UsageTable, Window},
        demand::{DemandTable, Subject},
        pace::CallPace,
        scaling::Scaler,
        usage::Reporter,
    },
};

/// Duties of this instance.
pub struct Duties {
    settings: DutySettings,
    /// Connections to the platform API.
    pool: Arc<Pool>,
    state: Mutex<State>,
    /// Demand that this instance has seen while it leads.
    demand: Mutex<DemandTable>,
}

/// What this instance knows about usage.
struct State {
    time: TrueTime,
    jumps: JumpGuard,
    table: UsageTable,
    /// The start of this process.
    own: StartId,
    /// Windows in which this instance has counted since it sent its counts to the leader, or to the
    /// peers that keep a copy.
    unsent: HashSet<Window>,
    /// Peers that keep a copy while this instance leads.
    keepers: Vec<Arc<str>>,
    /// Start of each instance that is linked to this one while it leads.
    linked: HashMap<Arc<str>, StartId>,
    reporter: Reporter,
    pace: CallPace,
    scaler: Scaler,
    /// Most slots that an endpoint of each service has named. A data centre may have lost all of its
    /// endpoints.
    slots: HashMap<Arc<str>, u32>,
    /// Numbers of engines that the leader has ordered last, if this instance keeps a copy.
    known_orders: Vec<(Subject, u32)>,
}

impl Duties {
    /// Creates the duties that the settings name.
    pub fn new(settings: DutySettings) -> Self {
        let state = State {
            time: TrueTime::default(),
            jumps: JumpGuard::default(),
            table: UsageTable::default(),
            own: StartId(rand::random()),
            unsent: HashSet::new(),
            keepers: Vec::new(),
            linked: HashMap::new(),
            reporter: Reporter::new(settings.limits),
            pace: CallPace::new(settings.call_rate),
            scaler: Scaler::default(),
            slots: HashMap::new(),
            known_orders: Vec::new(),
        };
        Self { settings, pool: Arc::default(), state: Mutex::new(state), demand: Mutex::default() }
    }

    /// Counts a run that an endpoint begins now for a team. Returns the window.
    fn count(&self, team: Arc<str>) -> Window {
        let mut state = self.state.lock();
        let window = self.settings.limits.window_at(state.true_time(Time::now()));
        let own = state.own;
        state.table.start(own, window).count(window, team);
        state.unsent.insert(window);
        window
    }

    /// Counts that a run of this window, which was counted, has not been run.
    fn count_not_run(&self, window: Window, team: Arc<str>) {
        let mut state = self.state.lock();
        let own = state.own;
        state.table.start(own, window).count_not_run(window, team);
        state.unsent.insert(window);
    }
}

impl State {
    /// Compares the clocks of this machine. Returns whether they have not jumped lately.
    fn has_settled_clocks(&mut self, now: Time) -> bool {
        if self.jumps.observe(wall_millis(), now) {
            log::warn!("event=clocks_jumped");
            self.time.forget_samples();
        }
        self.jumps.is_settled(now)
    }

    /// Returns true time. Before it is known, this instance's wall clock counts.
    fn true_time(&self, now: Time) -> WallMillis {
        self.time.now(now).unwrap_or_else(wall_millis)
    }
}

/// A run that was counted when its request was sent.
#[derive(Clone, Debug)]
pub struct CountedRun {
    window: Window,
    team: Arc<str>,
}

impl Gateway {
    /// Counts a run that an endpoint begins now, if it is for a team and usage is reported.
    pub(super) fn count_run(&self, team: Option<&Arc<Team>>) -> Option<CountedRun> {
        let duties = self.duties.as_ref().filter(|duties| duties.settings.usage)?;
        let team = team?.name.clone();
        let window = duties.count(team.clone());
        Some(CountedRun { window, team })
    }

    /// Counts that a run has not been run after all.
    pub(super) fn count_not_run(&self, run: Option<CountedRun>) {
        if let (Some(duties), Some(run)) = (&self.duties, run) {
            duties.count_not_run(run.window, run.team);
        }
    }

    /// Returns how long this instance has led, and its term; `None` if it does not lead.
    fn leading_for(&self) -> Option<(u64, Duration)> {
        let leadership = self.leadership.lock();
        leadership.leads().then(|| (leadership.term(), leadership.succession(Time::now()).1))
    }
}
