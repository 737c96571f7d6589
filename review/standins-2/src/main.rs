//! Stand-ins of the review's cases 6 and up: `review-standins-2 CASE PROGRAM FOLDER RECORD`.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod false_promise;
mod gateway;
mod http;
mod moved_store;
mod record;
mod store;
mod uploads;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// What a case needs.
pub struct Setup {
    /// The project's program.
    pub program: PathBuf,
    /// Temporary folder.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption is brought about.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(record.as_ref()) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    let setup = Setup {
        program: program.into(),
        folder: folder.into(),
        record: record.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let held = match case.as_str() {
        "false-promise" => false_promise::run(&setup),
        "moved-store" => moved_store::run(&setup),
        "uploads" => uploads::run(&setup),
        _ => Err(format!("no case {case}").into()),
    };
    match held {
        Ok(true) => {
            record.line("result: held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("result: broken");
            ExitCode::FAILURE
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

/// A loopback address that no other case or run is likely to use.
pub fn address(number: u8) -> std::net::Ipv4Addr {
    let process = std::process::id();
    std::net::Ipv4Addr::new(127, 91 + (process / 250 % 100) as u8, (process % 250) as u8, number)
}
