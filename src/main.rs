//! The `cardamomshore` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    cardamomshore::cli::main()
}
