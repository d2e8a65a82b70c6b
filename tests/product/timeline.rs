//! Recording, merging and printing of the timeline.

use cardamomshore::{
    events::Event,
    timeline::{Entry, Timeline, format_line, merge, newest_json},
};

#[test]
fn timeline_cause_before_effect() {
    let (a, b) = (Timeline::new("i-a".into()), Timeline::new("i-b".into()));
    for _ in 0..5 {
        b.tick();
    }
    b.record(Event::RequestAdmitted, "r-1", "");
    a.observe_clock(b.tick());
    a.record(Event::RequestDispatched, "r-1", "endpoint=e-1");
    b.observe_clock(a.tick());
    b.record(Event::RequestCompleted, "r-1", "");
    let merged = merge([a.entries("r-1"), b.entries("r-1")]);
    let names: Vec<&str> = merged.iter().map(|entry| entry.name.as_str()).collect();
    assert_eq!(names, ["RequestAdmitted", "RequestDispatched", "RequestCompleted"]);
}

#[test]
fn timeline_busy_requests_keep_rare_events() {
    let timeline = Timeline::new("i-a".into());
    timeline.record(Event::StewardTaken, "e-1", "");
    for _ in 0..20_000 {
        timeline.record(Event::RequestAdmitted, "r", "");
    }
    assert_eq!(timeline.entries("e-1").len(), 1);
    assert!(timeline.entries("").len() < 10_000);
}

#[test]
fn timeline_line_shows_time_and_event() {
    let timeline = Timeline::new("i-a".into());
    timeline.record(Event::ConfigInForce, "config-3", "");
    let mut entry = timeline.entries("config-3").remove(0);
    entry.wall_ms = 3_723_004;
    assert_eq!(
        format_line(&entry),
        "       1 01:02:03.004 i-a              E2201 ConfigInForce      config-3"
    );
}

#[test]
fn timeline_document_bounded() {
    let timeline = Timeline::new("i-a".into());
    for number in 0..5_000 {
        timeline.record(Event::RequestRefused, format!("r-{number}"), "é".repeat(1_000));
    }
    let entries = timeline.entries("");
    assert!(entries.iter().all(|entry| entry.detail.len() <= 300));
    timeline.record(Event::ConfigRejected, "config-3", "line 1:\n  |\r\n2 | x");
    let line = format_line(&timeline.entries("config-3")[0]);
    assert!(line.ends_with("config-3 line 1:   |  2 | x"), "{line}");
    let text = newest_json(&entries, 100_000);
    assert!(text.len() <= 100_000);
    let kept: Vec<Entry> = serde_json::from_str(&text).expect("a JSON list");
    assert_eq!(kept.last(), entries.last());
    assert_eq!(newest_json(&entries, 1), "[]");
}
