//! Orders to engines carry a version as a fencing token; an older order changes nothing.

mod testenv;

use hyper::Method;
use serde_json::json;
use stackmast::agent::orders::{desired_load, load_delay};
use stackmast_testbed::client::Client;
use stackmast_testbed::deployment::projected_config;
use stackmast_testbed::fleet::Fleet;

fn loaded(fleet: &Fleet) -> Vec<String> {
    let engine = fleet.stand_ins["llm-0"].engine.as_ref().expect("an engine");
    engine.order().0.map(|order| order.load).unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_loads_what_the_configuration_places_on_it() {
    let mut fleet = testenv::fleet(testenv::small()).await;
    testenv::until("it is loaded", || async { loaded(&fleet) == ["guest@1", "guest+bengali"] })
        .await;

    fleet.publish(|c| c.placements[0].model_version = "2".to_owned()).expect("published");

    testenv::until("the next is loaded", || async { loaded(&fleet)[0] == "guest@2" }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_refuses_an_older_order() {
    let mut fleet = testenv::fleet(testenv::small()).await;
    testenv::until("it is loaded", || async { !loaded(&fleet).is_empty() }).await;
    // As if another incarnation of the agent, with a later configuration, had sent an order while
    // this one was paused.
    let newer = json!({ "version": 50, "incarnation": "other", "load": ["newer@9"] });
    let address = fleet.stand_ins["llm-0"].address;
    let client = Client::default();
    let given = client.call(Method::POST, address, "/v1/orders", "", newer.to_string()).await;
    assert_eq!(given.expect("an answer").status, 200);

    fleet.publish(|c| c.placements[0].model_version = "2".to_owned()).expect("published");

    let agent = &fleet.agents["llm-0"];
    testenv::until("the refusal is audited", || async {
        let audit = fleet.admin(agent, Method::GET, "/v1/audit").await.unwrap_or_default();
        audit.to_string().contains("\"accepted\":false")
    })
    .await;
    assert_eq!(loaded(&fleet), ["newer@9"]);
}

#[test]
fn engines_load_in_turn_within_the_weight_stores_rate() {
    let mut config = projected_config(240, 10);
    config.placements.push(stackmast::config::Placement {
        endpoints: stackmast_testbed::deployment::selector("service=model-0"),
        model: "m".to_owned(),
        model_version: "1".to_owned(),
        adapters: Vec::new(),
    });
    let engines = config.endpoints.iter().filter(|e| desired_load(&config, e).is_some());
    let mut turns: Vec<_> = engines.map(|e| load_delay(&config, e).as_millis()).collect();
    turns.sort_unstable();
    let expected: Vec<_> = (0..turns.len() as u128).map(|i| i * 100).collect();
    assert!(turns.len() > 5);
    assert_eq!(turns, expected);
}
