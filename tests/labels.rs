//! Selectors follow the semantics of Kubernetes.

use proptest::prelude::*;
use stackmast::config::Selector;
use stackmast::config::labels::{Labels, MAX_SELECTOR_LEN, SelectorError};
use test_case::test_case;

fn labels() -> Labels {
    let pairs = [("tier", "large"), ("zone", "east"), ("empty", "")];
    pairs.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect()
}

#[test_case("", true; "the empty selector matches everything")]
#[test_case("tier=large", true; "equal")]
#[test_case("tier==large", true; "equal, written twice")]
#[test_case("tier=small", false; "not equal to the label")]
#[test_case("tier!=small", true; "different")]
#[test_case("colour!=red", true; "different, of an absent key")]
#[test_case("tier in (small, large)", true; "in a set")]
#[test_case("tier in (small)", false; "not in the set")]
#[test_case("colour in (red)", false; "in a set, of an absent key")]
#[test_case("tier notin (small)", true; "outside a set")]
#[test_case("colour notin (red)", true; "outside a set, of an absent key")]
#[test_case("zone", true; "the key exists")]
#[test_case("colour", false; "the key does not exist")]
#[test_case("!colour", true; "the key is absent")]
#[test_case("!zone", false; "the key is not absent")]
#[test_case("tier=large,zone in (east,west),!colour", true; "all of several")]
#[test_case("tier=large,zone=west", false; "one of several fails")]
#[test_case("empty=", true; "an empty value")]
fn matches(selector: &str, expected: bool) {
    let selector = Selector::parse(selector).expect("it parses");
    assert_eq!(selector.matches(&labels()), expected);
}

#[test_case("a b"; "two words")]
#[test_case("=x"; "no key")]
#[test_case("a in x"; "a set without parentheses")]
#[test_case("a in (x"; "a set that is not closed")]
#[test_case("a=b=c"; "two values")]
#[test_case("a,,b"; "an empty requirement")]
fn refuses(selector: &str) {
    assert!(Selector::parse(selector).is_err());
}

#[test]
fn refuses_a_selector_that_is_too_long() {
    let len = MAX_SELECTOR_LEN + 1;
    assert_eq!(Selector::parse(&"a".repeat(len)), Err(SelectorError::TooLong { len }));
}

proptest! {
    #[test]
    fn any_text_parses_or_is_refused(text in ".{0,200}") {
        Selector::parse(&text).ok();
    }

    #[test]
    fn display_output_parses_to_the_same_selector(text in "[a-c]( in \\([x-z](,[x-z])?\\)|=[x-z]|!=[x-z])?(,![d-f])?") {
        let parsed = Selector::parse(&text).expect("it parses");
        prop_assert_eq!(Selector::parse(&parsed.to_string()), Ok(parsed));
    }
}
