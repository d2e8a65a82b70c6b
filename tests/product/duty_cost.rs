//! Cost of the usage counts on the links and at the leader.

use std::{sync::Arc, time::Instant};

use cardamomshore::{
    gateway::messages::{Content, DutiesFrame, EncodedFrame, StartFrame, UsageFrame},
    kernel::duties::counts::{StartId, StartUsage, UsageTable},
};

const INSTANCES: u64 = 77;
const TEAMS: usize = 24;
const WINDOW: u64 = 353_445_120;

/// Frames that are sent in a second.
const FRAMES_PER_SECOND: usize = 2;

/// Frames a second in which the leader sends its own new counts to a peer that keeps a copy.
const COPIES_PER_SECOND: usize = 5;

/// Bytes a second that all control may take on the link of an instance.
const MAX_LINK_BYTES: usize = 9_000;

/// Returns the counts of a start which has all teams in this many windows.
fn counted(start: u64, windows: u64) -> StartUsage {
    let mut usage = StartUsage::new(StartId(start), WINDOW - 1);
    for window in WINDOW..WINDOW + windows {
        for team in 0..TEAMS {
            let team: Arc<str> = format!("team-number-{team:02}").into();
            (0..300).for_each(|_| usage.count(window, team.clone()));
        }
    }
    usage
}

fn usage_frame(start: u64, windows: u64) -> UsageFrame {
    let starts = vec![StartFrame::new(&counted(start, windows), |_| true)];
    UsageFrame { wall_ms: 1_767_225_600_000, sender: start, starts }
}

/// Guards against counts that take the link of an instance, or the leader's. The time of the leader's work
/// is only printed.
#[test]
fn duty_cost_of_frames_stays_low() {
    let size = |content: Content| EncodedFrame::from(content).size();
    let usage = size(Content::Usage(usage_frame(1, 1)));
    let told = size(Content::Duties(DutiesFrame {
        true_ms: 1_767_225_600_000,
        next: WINDOW,
        ..DutiesFrame::default()
    }));
    let copy = size(Content::Duties(DutiesFrame {
        true_ms: 1_767_225_600_000,
        next: WINDOW,
        starts: vec![StartFrame::new(&counted(1, 2), |_| true)],
        ..DutiesFrame::default()
    }));
    let leader_in = usage * FRAMES_PER_SECOND * INSTANCES as usize;
    println!("bytes: usage {usage}, told {told}, copy of two windows {copy}");
    println!("bytes a second to the leader: {leader_in}");
    assert!(usage * FRAMES_PER_SECOND < MAX_LINK_BYTES / 4, "{usage} bytes of counts");
    assert!(told < 64, "{told} bytes of true time");
    let copies = copy * FRAMES_PER_SECOND + usage * COPIES_PER_SECOND;
    assert!(copies < MAX_LINK_BYTES, "{copies} bytes of copies a second");
    let mut table = UsageTable::default();
    let frames: Vec<UsageFrame> = (1..=INSTANCES).map(|start| usage_frame(start, 1)).collect();
    let begun = Instant::now();
    for frame in frames {
        frame.starts.into_iter().map(StartUsage::from).for_each(|usage| table.merge(usage));
    }
    println!("merging the counts of {INSTANCES} instances: {:?}", begun.elapsed());
    assert_eq!(table.sum(WINDOW).values().sum::<u64>(), INSTANCES * TEAMS as u64 * 300);
}
