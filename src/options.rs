//! The daemon's command line, read in one place into one plain struct.

use std::path::PathBuf;

use getopts::Options as Parser;
use snafu::{ResultExt, Snafu};

/// What the daemon is told on its command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Options {
    /// Run with these settings.
    Run {
        /// The settings file.
        settings: PathBuf,
    },
    /// Only check the settings.
    Check {
        /// The settings file.
        settings: PathBuf,
    },
    /// Print this text and end.
    Print(String),
}

/// A command line that can't be read.
#[derive(Debug, Snafu)]
pub enum OptionsError {
    /// An unknown option, or one without its value.
    #[snafu(display("{source}; see --help"))]
    Syntax {
        /// Which.
        source: getopts::Fail,
    },
    /// The settings file is not named.
    #[snafu(display("--settings FILE is required; see --help"))]
    NoSettings,
}

/// Reads the arguments after the program's name.
pub fn parse(args: &[String]) -> Result<Options, OptionsError> {
    let mut parser = Parser::new();
    parser.optopt("s", "settings", "the process's settings, in JSON", "FILE");
    parser.optflag("", "check", "check the settings and end");
    parser.optflag("h", "help", "print this help");
    parser.optflag("V", "version", "print the version");
    let matches = parser.parse(args).context(SyntaxSnafu)?;
    if matches.opt_present("help") {
        return Ok(Options::Print(parser.usage("Usage: stackmastd --settings FILE [--check]")));
    }
    if matches.opt_present("version") {
        return Ok(Options::Print(format!("stackmastd {}\n", env!("CARGO_PKG_VERSION"))));
    }
    let Some(settings) = matches.opt_str("settings").map(PathBuf::from) else {
        return NoSettingsSnafu.fail();
    };
    if matches.opt_present("check") {
        return Ok(Options::Check { settings });
    }
    Ok(Options::Run { settings })
}

/// Exit codes of the daemon and the tool.
pub mod exit {
    /// All went well.
    pub const OK: u8 = 0;
    /// It ran and found something wrong.
    pub const FAILED: u8 = 1;
    /// The command line can't be read.
    pub const USAGE: u8 = 2;
    /// A file or message is not what it must be.
    pub const INVALID: u8 = 3;
    /// A process can't be reached.
    pub const UNREACHABLE: u8 = 4;
    /// What was asked for is not known (any more).
    pub const NOT_KNOWN: u8 = 5;
}

/// Carries the daemon's command line out and returns its exit code.
pub fn main(args: &[String]) -> u8 {
    let options = match parse(args) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("stackmastd: {error}");
            return exit::USAGE;
        }
    };
    match options {
        Options::Print(text) => {
            print!("{text}");
            exit::OK
        }
        Options::Check { settings } => load(&settings).map_or_else(|code| code, |_| exit::OK),
        Options::Run { settings } => load(&settings).map_or_else(|code| code, run),
    }
}

fn load(path: &std::path::Path) -> Result<crate::settings::Settings, u8> {
    crate::settings::Settings::load(path).map_err(|error| {
        eprintln!("stackmastd: {error}");
        exit::INVALID
    })
}

fn run(settings: crate::settings::Settings) -> u8 {
    match crate::daemon::run(settings) {
        Ok(()) => exit::OK,
        Err(error) => {
            eprintln!("stackmastd: {error}");
            exit::FAILED
        }
    }
}
