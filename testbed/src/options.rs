//! The command line of the test bench.

use std::path::PathBuf;

use getopts::{Matches, Options as Parser};
use stackmast::options::exit;

use crate::fleet::Program;

const USAGE: &str = "Usage: stackmast-testbed COMMAND [OPTIONS]

  demo                  both deployments on loopback, with explanations
  hop                   added latency, compared with calling the endpoints directly
  capacity [N...]       measurements for docs/CAPACITY.md, with N processes
  load FILE [POLICY...] a scenario under several policies, paired
  group N...            traffic and delays in groups of N gateways, in virtual time
  frames FILE           writes encoded messages between gateways, one of each kind
  soak                  real processes under random faults, with a check of all outcomes
  stackmastd ARGS       the daemon, as part of this program
";

/// Parses the arguments and runs the command. Returns the exit code.
pub fn main(args: &[String]) -> u8 {
    if let Some((first, rest)) = args.split_first()
        && first == "stackmastd"
    {
        return stackmast::options::main(rest);
    }
    let mut parser = Parser::new();
    parser.optopt("r", "rate", "requests per second", "N");
    parser.optopt("s", "seconds", "duration of a round", "N");
    parser.optopt("n", "rounds", "number of rounds", "N");
    parser.optopt("", "seed", "the seed of a soak", "N");
    parser.optflag("h", "help", "print this help");
    let matches = match parser.parse(args) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("stackmast-testbed: {error}");
            return exit::USAGE;
        }
    };
    if matches.opt_present("help") {
        print!("{}", parser.usage(USAGE));
        return exit::OK;
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["demo"] => run(crate::demo::run(&this_program())),
        ["hop"] => {
            let (rate, seconds) =
                (number(&matches, "rate", 100.0), number(&matches, "seconds", 5.0));
            let rounds = number(&matches, "rounds", 5.0) as usize;
            run(crate::hop::run(&this_program(), rate, seconds, rounds))
        }
        ["capacity", counts @ ..] => {
            let counts: Vec<_> = counts.iter().filter_map(|c| c.parse().ok()).collect();
            run(crate::capacity::run(&this_program(), &counts))
        }
        ["group", counts @ ..] => {
            let counts: Vec<usize> = counts.iter().filter_map(|c| c.parse().ok()).collect();
            print!("{}", crate::group_table::table(&counts, number(&matches, "seed", 1.0) as u64));
            exit::OK
        }
        ["frames", file] => run(std::future::ready(crate::frames::write(file))),
        ["soak"] => {
            let (seconds, seed) =
                (number(&matches, "seconds", 300.0), number(&matches, "seed", 1.0));
            run(crate::soak::run(&this_program(), seconds, seed as u64))
        }
        ["load", file, policies @ ..] => {
            let rounds = number(&matches, "rounds", 5.0) as u64;
            run(crate::scenario::compare(&this_program(), file.as_ref(), policies, rounds))
        }
        _ => {
            eprint!("{}", parser.usage(USAGE));
            exit::USAGE
        }
    }
}

fn number(matches: &Matches, option: &str, default: f64) -> f64 {
    matches.opt_str(option).and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Command that runs this executable as the daemon.
fn this_program() -> Program {
    let path = std::env::current_exe().unwrap_or_else(|_| PathBuf::from("stackmast-testbed"));
    Program { path, before: vec!["stackmastd".to_owned()] }
}

fn run<E: std::fmt::Display>(work: impl Future<Output = Result<(), E>>) -> u8 {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("stackmast-testbed: {error}");
            return exit::FAILED;
        }
    };
    match runtime.block_on(work) {
        Ok(()) => exit::OK,
        Err(error) => {
            eprintln!("stackmast-testbed: {error}");
            exit::FAILED
        }
    }
}
