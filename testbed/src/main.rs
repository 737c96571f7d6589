//! Program of the test bench: the demo, and tools for load and failure tests.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    ExitCode::from(stackmast_testbed::options::main(&args))
}
