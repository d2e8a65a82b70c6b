//! Runs commands of the binary.

use std::process::{Command, Output, Stdio};

/// What a command printed, and its exit code.
#[derive(Debug)]
pub struct Ran {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// Runs a command to its end.
pub async fn run(args: &[&str]) -> Ran {
    run_owned(args).await.expect("the command runs")
}

/// Starts a command and returns the task that waits for its end.
pub fn run_owned(args: &[&str]) -> tokio::task::JoinHandle<Ran> {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    tokio::task::spawn_blocking(move || run_blocking(&args))
}

/// Runs a command to its end.
fn run_blocking(args: &[String]) -> Ran {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_cardamomshore"))
        .args(args)
        .stdin(Stdio::null())
        .output()
        .expect("the binary starts");
    Ran {
        code: output.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}
