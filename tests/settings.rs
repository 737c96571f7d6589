//! Settings are checked completely; all errors are reported at once.

use std::process::Command;

use proptest::prelude::*;
use serde_json::{Value, json};
use stackmast::settings::{Settings, SettingsError};
use test_case::test_case;

fn gateway() -> Value {
    json!({
        "role": "gateway", "host": "gw-1", "data_centre": "dc-1",
        "callers": "127.0.0.1:8080", "internal": "127.0.0.1:8081", "admin": "127.0.0.1:8082",
        "admin_token": "0123456789abcdef", "ticket_key": "0123456789abcdef",
        "platform": "127.0.0.1:7000"
    })
}

fn problems(document: &Value) -> Vec<String> {
    match Settings::parse(&document.to_string()) {
        Err(SettingsError::Invalid { problems }) => {
            problems.iter().map(ToString::to_string).collect()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn valid_settings_are_accepted() {
    assert!(Settings::parse(&gateway().to_string()).is_ok());
}

#[test_case("role", json!("proxy"), "role: \"proxy\" is not allowed"; "a role that is none")]
#[test_case("internal", json!("localhost:80"), "internal: \"localhost:80\" is not allowed: an IP address"; "a name in place of an address")]
#[test_case("admin_token", json!("short"), "admin_token:"; "a token that is guessed")]
#[test_case("threads", json!(0), "threads: 0 is not allowed"; "no threads")]
#[test_case("colour", json!("red"), "colour: \"red\" is not allowed: no field"; "an unknown field")]
#[test_case("bounds", json!({"in_flight": 0}), "bounds.in_flight: 0 is not allowed"; "a bound of nothing")]
#[test_case("bounds", json!({"colour": 1}), "bounds.colour: 1 is not allowed"; "an unknown bound")]
#[test_case("endpoint", json!("e"), "endpoint: \"e\" is not allowed"; "an agent's field in a gateway")]
fn finds(key: &str, value: Value, problem: &str) {
    let mut document = gateway();
    document[key] = value;
    let found = problems(&document);
    assert!(found.iter().any(|p| p.starts_with(problem)), "{found:?}");
}

#[test]
fn all_problems_are_reported_together() {
    let found = problems(&json!({"role": "agent", "host": "", "threads": -1, "x": 1}));
    let paths = ["host", "data_centre", "internal", "admin", "admin_token", "platform", "threads"];
    for path in paths {
        assert!(found.iter().any(|p| p.starts_with(path)), "{path} in {found:?}");
    }
}

#[test_case(&["--check", "--settings"], true, 0; "good settings")]
#[test_case(&["--check", "--settings"], false, 3; "bad settings")]
#[test_case(&["--no-such"], true, 2; "an unknown option")]
#[test_case(&["--version"], true, 0; "the version")]
fn the_daemon_ends_with(args: &[&str], good: bool, code: i32) {
    let folder = env!("CARGO_TARGET_TMPDIR");
    let path = format!("{folder}/settings{}-{code}.json", args.concat());
    let document = if good { gateway() } else { json!({}) };
    std::fs::write(&path, document.to_string()).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_stackmastd"));
    command.args(args);
    if args.contains(&"--settings") {
        command.arg(&path);
    }
    assert_eq!(command.output().expect("it runs").status.code(), Some(code));
}

proptest! {
    #[test]
    fn any_text_parses_or_is_refused(text in ".{0,300}") {
        Settings::parse(&text).ok();
    }
}
