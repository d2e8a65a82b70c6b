//! Settings of a process and their error messages.

use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    path::PathBuf,
    process::{Command, Stdio},
};

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
    let settings = Settings::parse(SAMPLE).expect("a valid sample");
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

#[test]
fn settings_json_log_lines() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("json-log");
    std::fs::create_dir_all(&dir).expect("the folder is created");
    let file = dir.join("settings.yaml");
    let address = || TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let settings = serde_json::json!({
        "instance": "i-0", "data_centre": "dc-a", "listen": address(), "peer": address(),
        "operator": address(), "platform": [address()], "list": address(),
        "log": { "level": "warn, cardamomshore::event=info", "format": "json" },
    });
    std::fs::write(&file, settings.to_string()).expect("settings are written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_cardamomshore"))
        .args(["serve", "--settings", &file.display().to_string()])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("stdout is piped");
    BufReader::new(stdout).read_line(&mut line).expect("the process logs a line");
    child.kill().expect("the process is killed");
    child.wait().expect("the process ends");
    let line: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
    assert_eq!((&line["level"], &line["module"]), (&"INFO".into(), &"cardamomshore::event".into()));
    assert!(line["message"].as_str().unwrap().starts_with("E2001 InstanceStarted"), "{line}");
}
