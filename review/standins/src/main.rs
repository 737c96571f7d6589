//! Stand-ins and clients of the review's scripts: `review-standins CASE DIRECTORY`, from the root
//! of the repository. DIRECTORY is the folder of the case, which gets `record.txt`.

mod cut_short;
mod gateways;
mod http;
mod json;
mod late_answers;
mod missed_leaving;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|word| word == "replica") {
        cut_short::replica(&arguments[2..]);
        return ExitCode::from(2);
    }
    let [_, case, directory] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE DIRECTORY");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::open(&Path::new(directory).join("record.txt"));
    let verdict = match case.as_str() {
        "cut-short" => cut_short::play(&record, trouble),
        "late-answers" => late_answers::play(&record, trouble),
        "missed-leaving" => missed_leaving::play(&record, trouble),
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    let text = match verdict {
        Some(true) => "the rule held",
        Some(false) => "the rule was broken",
        None => "the case could not run",
    };
    record.line(text);
    println!("{text}");
    ExitCode::from(match verdict {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    })
}
