//! The `cardamomshore` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    cardamomshore::cli::main()
}
