//! Settings of a process.

use cardamomshore::settings::Settings;
use expect_test::{Expect, expect};

const SAMPLE: &str = include_str!("../../deploy/settings.yaml");

fn check(old: &str, new: &str, expected: &Expect) {
    assert!(SAMPLE.contains(old), "{old}");
    let error = Settings::parse(&SAMPLE.replacen(old, new, 1)).expect_err(new).to_string();
    expected.assert_eq(error.lines().next().unwrap_or_default());
}

#[test]
fn settings_sample_accepted() {
    let settings = Settings::parse(SAMPLE).expect("the sample is good");
    assert_eq!((settings.instance.as_str(), settings.platform.len()), ("entry-1", 2));
    assert!(!settings.log.json);
}

#[test]
fn settings_field_refused() {
    check(
        "listen: 10.0.1.11:8080",
        "listen: entry-1:8080",
        &expect!["line 10: listen: write an IP number and a port, such as 10.0.0.1:8000"],
    );
    check(
        "  - 10.0.9.2:2379",
        "  - 10.0.9.2",
        &expect!["line 19: platform[1]: write an IP number and a port, such as 10.0.0.1:8000"],
    );
    check(
        "instance: entry-1",
        "instance: entry 1",
        &expect!["line 5: instance: write letters, digits, '-', '_' and '.' only"],
    );
    check("format: plain", "format: xml", &expect!["line 27: log.format: write plain or json"]);
    check(
        "format: plain",
        "format: plain\n  file: /tmp/log",
        &expect!["line 28 column 3: unknown field `file`, expected one of level, format"],
    );
    check(
        "data_centre: ikeja",
        "data_centre: [",
        &expect!["line 7 column 14: expected string scalar"],
    );
}
