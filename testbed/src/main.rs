//! The test bench's program: `demo`, and what load and failure tests need.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    ExitCode::from(stackmast_testbed::options::main(&args))
}
