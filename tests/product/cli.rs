//! The command line: its help, exit codes and error messages.

use std::process::Command;

use expect_test::{Expect, expect};

/// Runs a command. Returns its exit code and its output, standard error last.
fn run(args: &[&str]) -> (i32, String) {
    let result = Command::new(env!("CARGO_BIN_EXE_cardamomshore")).args(args).output();
    let result = result.expect("the binary starts");
    let output = [result.stdout, result.stderr].concat();
    (result.status.code().unwrap_or(-1), String::from_utf8_lossy(&output).into_owned())
}

/// Checks the exit code and the output of a command.
fn check(args: &[&str], code: i32, expected: &Expect) {
    let (actual, output) = run(args);
    assert_eq!(actual, code, "{args:?}: {output}");
    expected.assert_eq(&output);
}

#[test]
fn help_lists_every_command() {
    check(
        &["--help"],
        0,
        &expect![[r#"
            Serves many models on fewer accelerators.

            Usage: cardamomshore COMMAND [OPTIONS]

            Commands:
              serve        Run one instance
              gateway      Run one entry instance on the users' platform
              demo         Run a small fleet with stand-ins in one process
              config       Check, show, compare and apply the configuration
              key          Give a key to a team or withdraw it
              data-centre  Take a data centre out of service or return it
              status       Show all instances
              timeline     Show the recent events of all instances
              measure      Measure the policies under seeded demand
              soak         Run gateways under load and faults and check their promises
              standin      Run a stand-in of the platform, an engine or a service

            Options:
              -h, --help     Print this help; `COMMAND --help` tells more
              -V, --version  Print the version

            Exit codes:
              0  Done
              1  Not done
              2  The command line cannot be understood
              3  Conflict: the configuration changed since it was read
              4  Unknown: the change may be in force, or may come into force
              5  Checked: there are warnings and no errors
              6  Checked: the document differs from the one in force (only with --exit-code)
        "#]],
    );
}

#[test]
fn help_of_each_command() {
    let (_, help) = run(&["--help"]);
    let commands = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let commands = commands.take_while(|line| !line.is_empty());
    for command in commands.filter_map(|line| line.split_whitespace().next()) {
        let (code, text) = run(&[command, "--help"]);
        assert_eq!(code, 0, "{command}: {text}");
        assert!(text.contains(&format!("Usage: cardamomshore {command}")), "{command}: {text}");
    }
}

#[test]
fn usage_errors_say_what_to_write() {
    check(
        &["deploy"],
        2,
        &expect![[r#"
        error: no such command: deploy
        Try `cardamomshore --help`.
    "#]],
    );
    check(
        &["status"],
        2,
        &expect![[r#"
        error: missing --to IP:PORT, the operators' address of any instance
        Try `cardamomshore --help`.
    "#]],
    );
    check(
        &["status", "--to", "localhost"],
        2,
        &expect![[r#"
        error: cannot parse argument "localhost": invalid socket address syntax
        Try `cardamomshore --help`.
    "#]],
    );
    check(
        &["key", "give", "spare", "--to", "127.0.0.1:1"],
        2,
        &expect![[r#"
        error: missing --team
        Try `cardamomshore --help`.
    "#]],
    );
    check(
        &["config", "apply", "x.yaml", "--to", "127.0.0.1:1"],
        2,
        &expect![[r#"
        error: missing --seen VERSION, as `config diff` prints it
        Try `cardamomshore --help`.
    "#]],
    );
    check(
        &["data-centre", "away", "kano"],
        2,
        &expect![[r#"
        error: no such command: data-centre away
        Try `cardamomshore --help`.
    "#]],
    );
}

#[test]
fn failures_say_what_to_do() {
    check(
        &["status", "--to", "127.0.0.1:1"],
        1,
        &expect![[r#"
        error: no instance answers at 127.0.0.1:1; name another one with --to IP:PORT
    "#]],
    );
    check(
        &["config", "check", "no/such/file.yaml"],
        1,
        &expect![[r#"
        error: cannot read no/such/file.yaml: No such file or directory (os error 2)
    "#]],
    );
    check(
        &["serve", "--settings", "deploy/harmattan.yaml"],
        1,
        &expect![[r#"
        error: deploy/harmattan.yaml: line 7 column 1: unknown field `classes`, expected one of instance, data_centre, listen, peer, operator, platform, list, log
         --> <input>:7:1
          |
        5 | # Targets. `first_ms` bounds the first token or byte, `gap_ms` th…
        6 | # `deadline_ms` the whole answer; `percent` of the requests must …
        7 | classes:
          | ^ unknown field `classes`, expected one of instance, data_centre, listen, peer, operator, platform, list, log
        8 |   # A customer stands at the counter and waits.
        9 |   counter-chat: { first_ms: 1500, gap_ms: 73, deadline_ms: 30000,…
          |
    "#]],
    );
}

#[test]
fn config_check_accepts_samples() {
    check(
        &["config", "check", "deploy/harmattan.yaml"],
        0,
        &expect![[r#"
        deploy/harmattan.yaml: good, with 7 classes, 5 teams, 4 data centres, 2 pools, 30 models, 95 adapters and 1 services
    "#]],
    );
    check(
        &["config", "check", "deploy/cuenca.yaml"],
        0,
        &expect![[r#"
        deploy/cuenca.yaml: good, with 5 classes, 5 teams, 4 data centres, 2 pools, 40 models, 100 adapters and 1 services
    "#]],
    );
    check(
        &["config", "check", "deploy/settings.yaml"],
        1,
        &expect![[r#"
        error: deploy/settings.yaml: line 5 column 1: unknown field `instance`, expected one of classes, teams, keys, data_centres, pools, models, services, weight_store, policy
         --> <input>:5:1
          |
        3 |
        4 | # Name of this instance in the platform's list.
        5 | instance: entry-1
          | ^ unknown field `instance`, expected one of classes, teams, keys, data_centres, pools, models, services, weight_store, policy
        6 | # Data centre in which it runs, as the list names it.
        7 | data_centre: ikeja
          |
    "#]],
    );
}

#[test]
fn demo_checks_hold() {
    let (code, output) = run(&["demo"]);
    assert_eq!(code, 0, "{output}");
    assert_eq!(output.lines().filter(|line| line.starts_with("  held   ")).count(), 6);
}
