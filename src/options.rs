//! Command line options of the daemon, and the exit codes.

use std::path::PathBuf;

use getopts::Options as Parser;
use snafu::{ResultExt, Snafu};

/// Parsed command line of the daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Options {
    /// Run a process with these settings.
    Run {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Check the settings and exit.
    Check {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Print this text and exit.
    Print(String),
}

/// Invalid command line.
#[derive(Debug, Snafu)]
pub enum OptionsError {
    /// An option is unknown or lacks its value.
    #[snafu(display("{source}; see --help"))]
    Syntax {
        /// The invalid option.
        source: getopts::Fail,
    },
    /// The settings file is missing.
    #[snafu(display("--settings FILE is required; see --help"))]
    NoSettings,
}

/// Parses the arguments after the program name.
pub fn parse(args: &[String]) -> Result<Options, OptionsError> {
    let mut parser = Parser::new();
    parser.optopt("s", "settings", "the process's settings, in JSON", "FILE");
    parser.optflag("", "check", "check the settings and exit");
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
    /// Success.
    pub const OK: u8 = 0;
    /// The operation failed, or a check found errors.
    pub const FAILED: u8 = 1;
    /// The command line is invalid.
    pub const USAGE: u8 = 2;
    /// A file or message is invalid.
    pub const INVALID: u8 = 3;
    /// A process can't be reached.
    pub const UNREACHABLE: u8 = 4;
    /// The requested object is not known, or no longer known.
    pub const NOT_KNOWN: u8 = 5;
}

/// Executes the daemon's command line and returns the exit code.
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
