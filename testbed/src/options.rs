//! The command line of the test bench.

use std::path::PathBuf;

use crate::fleet::Program;

/// Reads the arguments and runs what they name; returns the exit code.
pub fn main(args: &[String]) -> u8 {
    match args.split_first() {
        Some((first, rest)) if first == "stackmastd" => stackmast::options::main(rest),
        Some((first, _)) if first == "demo" => run(crate::demo::run(&this_program())),
        _ => {
            eprintln!("Usage: stackmast-testbed demo");
            stackmast::options::exit::USAGE
        }
    }
}

/// This executable, as the daemon.
fn this_program() -> Program {
    let path = std::env::current_exe().unwrap_or_else(|_| PathBuf::from("stackmast-testbed"));
    Program { path, before: vec!["stackmastd".to_owned()] }
}

fn run<E: std::fmt::Display>(work: impl Future<Output = Result<(), E>>) -> u8 {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("stackmast-testbed: {error}");
            return stackmast::options::exit::FAILED;
        }
    };
    match runtime.block_on(work) {
        Ok(()) => stackmast::options::exit::OK,
        Err(error) => {
            eprintln!("stackmast-testbed: {error}");
            stackmast::options::exit::FAILED
        }
    }
}
