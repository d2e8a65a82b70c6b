//! Runs commands of the binary, as an operator does.

use std::process::{Command, Output, Stdio};

/// Exit code and output of a command that has ended.
#[derive(Debug)]
pub struct CommandOutput {
    /// Exit code, or -1 if a signal ended the command.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// Runs a command and returns its output once it has ended.
pub async fn run(args: &[&str]) -> CommandOutput {
    spawn(args).await.expect("expected the command to run")
}

/// Spawns a command and returns the task that waits for its output.
pub fn spawn(args: &[&str]) -> tokio::task::JoinHandle<CommandOutput> {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    tokio::task::spawn_blocking(move || run_blocking(&args))
}

/// Runs a command on the current thread until it ends.
fn run_blocking(args: &[String]) -> CommandOutput {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_cardamomshore"))
        .args(args)
        .stdin(Stdio::null())
        .output()
        .expect("expected the binary to start");
    CommandOutput {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}
