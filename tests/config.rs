//! Configurations are checked completely, split into parts, joined and compared.

use bytes::Bytes;
use proptest::prelude::*;
use serde_json::{Value, json};
use stackmast::config::Config;
use stackmast::config::check::check;
use stackmast::config::diff::diff;
use stackmast::config::parts::{MAX_PART_LEN, join, split};
use test_case::test_case;

fn document() -> Value {
    json!({
        "version": 1,
        "pipelines": [{"name": "p", "deadline_ms": 2000, "stages": [
            {"name": "encode", "endpoints": "service=encoder", "may_repeat": true}]}],
        "endpoints": [{"name": "e", "kind": "service", "agent": "127.0.0.1:1", "data_centre": "d",
            "labels": {"service": "encoder"}, "concurrency": 1}],
        "organisations": [{"name": "o", "labels": {"tier": "large"}}],
        "limits": [{"name": "l", "organisations": "tier=large", "per_second": 1.0, "burst": 1.0}],
        "rules": [{"name": "r", "organisations": "tier=large", "effect": {"priority": 3}}]
    })
}

fn config(change: impl FnOnce(&mut Value)) -> Config {
    let mut document = document();
    change(&mut document);
    serde_json::from_value(document).expect("it is a configuration")
}

#[test]
fn a_valid_configuration_has_no_findings() {
    assert_eq!(check(&config(|_| ())), []);
}

#[test_case("/pipelines/0/stages/0/endpoints", json!("service=encodr"), "pipelines[0].stages[0].endpoints: the selector \"service=encodr\" matches no endpoint"; "a selector that matches nothing")]
#[test_case("/pipelines/0/deadline_ms", json!(0), "pipelines[0].deadline_ms: 0 is not allowed"; "a deadline of nothing")]
#[test_case("/pipelines/0/stages", json!([]), "pipelines[0].stages: 0 members are not allowed"; "a pipeline without stages")]
#[test_case("/endpoints/0/concurrency", json!(0), "endpoints[0].concurrency: 0 is not allowed"; "an endpoint without concurrency")]
#[test_case("/endpoints/0/name", json!("a/b"), "endpoints[0].name: \"a/b\" is not a name"; "a name that is none")]
#[test_case("/endpoints/0/labels", json!({"service": "encoder", "a b": "c"}), "endpoints[0].labels[\"a b\"]"; "a label that no selector names")]
#[test_case("/limits/0/per_second", json!(0), "limits[0].per_second: 0 is not allowed"; "a limit of nothing")]
#[test_case("/rules/0/organisations", json!("tier=huge"), "rules[0].organisations"; "a rule for nobody")]
#[test_case("/rules/0/effect", json!({"require": {"stage": "x", "endpoints": ""}}), "rules[0].effect.require.stage: no pipeline has a stage \"x\""; "a rule for no stage")]
fn finds(pointer: &str, value: Value, finding: &str) {
    let config = config(|c| *c.pointer_mut(pointer).expect("it is there") = value);
    let findings: Vec<_> = check(&config).iter().map(ToString::to_string).collect();
    assert!(findings.iter().any(|f| f.starts_with(finding)), "{findings:?}");
}

#[test]
fn all_findings_are_reported_together() {
    let config = config(|c| {
        c["pipelines"][0]["deadline_ms"] = json!(0);
        c["endpoints"][0]["concurrency"] = json!(0);
        c["organisations"] = json!([{"name": "o"}, {"name": "o"}]);
    });
    assert!(check(&config).len() >= 4, "{:?}", check(&config));
}

#[test]
fn an_unknown_field_is_refused() {
    let mut document = document();
    document["pipelines"][0]["colour"] = json!("red");
    assert!(serde_json::from_value::<Config>(document).is_err());
}

fn many(organisations: usize) -> Config {
    config(|c| {
        let members = (0..organisations).map(|i| json!({"name": format!("org-{i}")}));
        c["organisations"] = members.collect();
        c["limits"] = json!([]);
        c["rules"] = json!([]);
    })
}

#[test]
fn parts_fit_the_size_limit_and_join_to_the_same_configuration() {
    let config = many(10_000);
    let bundle = split(&config).expect("it is split");
    assert!(bundle.parts.values().all(|part| part.len() <= MAX_PART_LEN));
    let joined = join(&bundle, None).expect("it is whole");
    let mut joined = Config::clone(&joined.config);
    joined.organisations.sort_by(|a, b| a.name.cmp(&b.name));
    let mut expected = config;
    expected.organisations.sort_by(|a, b| a.name.cmp(&b.name));
    assert_eq!(joined, expected);
}

#[test]
fn a_change_of_one_organisation_changes_one_part() {
    let before = split(&many(10_000)).expect("it is split");
    let mut config = many(10_000);
    std::sync::Arc::make_mut(&mut config.organisations[77])
        .labels
        .insert("tier".to_owned(), "large".to_owned());
    let after = split(&config).expect("it is split");
    let new = after.parts.keys().filter(|digest| !before.parts.contains_key(*digest));
    assert_eq!(new.count(), 1);
}

#[test]
fn members_of_unchanged_parts_are_shared_with_the_previous_configuration() {
    let mut config = many(1_000);
    let first = join(&split(&config).expect("it is split"), None).expect("it is whole");
    std::sync::Arc::make_mut(&mut config.organisations[7]).labels.clear();
    let labels = [("tier".to_owned(), "large".to_owned())].into();
    std::sync::Arc::make_mut(&mut config.organisations[7]).labels = labels;
    config.version += 1;
    let bundle = split(&config).expect("it is split");
    let second = join(&bundle, Some(&first)).expect("it is whole");
    let shared = second.config.organisations.iter().filter(|organisation| {
        first.config.organisations.iter().any(|o| std::sync::Arc::ptr_eq(o, organisation))
    });
    assert!((800..1_000).contains(&shared.count()));
}

#[test]
fn a_part_with_other_content_is_refused() {
    let mut bundle = split(&config(|_| ())).expect("it is split");
    let first = bundle.parts.keys().next().expect("a part").clone();
    bundle.parts.insert(first, Bytes::from_static(b"[]"));
    assert!(join(&bundle, None).is_err());
}

#[test]
fn a_missing_part_is_refused() {
    let mut bundle = split(&config(|_| ())).expect("it is split");
    bundle.parts.pop_first();
    assert!(join(&bundle, None).is_err());
}

#[test]
fn differences_name_the_changed_members() {
    let before = config(|_| ());
    let after = config(|c| {
        c["version"] = json!(2);
        c["endpoints"][0]["labels"]["zone"] = json!("east");
        c["organisations"] = json!([{"name": "o", "labels": {"tier": "large"}}, {"name": "new"}]);
    });
    let shown: Vec<_> = diff(&before, &after).iter().map(ToString::to_string).collect();
    assert_eq!(
        shown,
        [
            "+ endpoints[e].labels.zone: \"east\"",
            "+ organisations[new]: {\"labels\":{},\"name\":\"new\"}",
            "~ version: 1 -> 2"
        ]
    );
}

proptest! {
    #[test]
    fn any_bytes_parse_or_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        serde_json::from_slice::<Config>(&bytes).ok();
    }

    #[test]
    fn a_document_with_one_replaced_value_is_checked_or_refused(
        place in 0..12_usize,
        value in prop_oneof![
            Just(json!(null)), Just(json!(-1)), Just(json!(1e308)), Just(json!("")), Just(json!([])),
            Just(json!({})), "[a-z=!(), ]{0,20}".prop_map(Value::from), any::<f64>().prop_map(Value::from),
        ],
    ) {
        let places = [
            "/version", "/pipelines", "/pipelines/0", "/pipelines/0/stages/0/endpoints", "/endpoints/0",
            "/endpoints/0/agent", "/endpoints/0/cost", "/organisations/0/labels", "/limits/0/burst",
            "/limits/0/per_second", "/rules/0/effect", "/rules/0/requests",
        ];
        let mut document = document();
        if let Some(found) = document.pointer_mut(places[place]) {
            *found = value;
        }
        if let Ok(config) = serde_json::from_value::<Config>(document) && check(&config).is_empty() {
            let bundle = split(&config).expect("a checked configuration is split");
            join(&bundle, None).expect("and put together");
        }
    }
}
