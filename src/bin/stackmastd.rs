//! The daemon: runs a gateway or an agent, according to its settings.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    ExitCode::from(stackmast::options::main(&args))
}
