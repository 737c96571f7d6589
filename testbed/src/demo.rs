//! The demo: runs both deployments at a small size on loopback, sends real requests, and prints
//! each response with its explanation.

use hyper::Method;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use crate::client::{Ask, Client, ClientError};
use crate::deployment::{Deployment, SERVICE_TIMES, Sizes, campsites, guild};
use crate::engine::Speed;
use crate::fleet::{Fleet, FleetError, Program};

/// Reason why the demo failed.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// The fleet failed to start.
    #[snafu(display("{source}"), context(false))]
    Start {
        /// Underlying error.
        source: FleetError,
    },
    /// A request got no response.
    #[snafu(display("{pipeline}: {source}"))]
    NoAnswer {
        /// Pipeline of the request.
        pipeline: String,
        /// Underlying error.
        source: ClientError,
    },
}

const SIZES: Sizes = Sizes { service: 2, model: 4, data_centres: 2 };
/// Size of a long brief in bytes.
const LONG_BRIEF: usize = 64 << 10;

/// Runs both deployments and prints the responses for callers and operators.
pub async fn run(program: &Program) -> Result<(), DemoError> {
    let speed = Speed::default();
    println!("== campsites: guest replies and refund notices ==");
    let mut plan = Ask::new("season-plan", "keepers-0", "plan-1");
    plan.more = serde_json::json!({ "labels": { "kind": "plan" } });
    let mut guest = Ask::new("guest-reply", "keepers-1", "guest-1");
    guest.tokens = 8;
    guest.more = serde_json::json!({ "labels": { "caller": "guest" }, "stream": true });
    let refund = Ask::new("refund-notice", "keepers-2", "refund-1");
    let stranger = Ask::new("guest-reply", "nobody", "stranger-1");
    let asks = [guest, refund, plan, stranger];
    show(program, campsites(SIZES, SERVICE_TIMES, speed), &asks).await?;

    println!("\n== guild: a long brief and an invoice ==");
    let mut brief = Ask::new("walkthrough", "studio-0", "brief-1");
    brief.padding = LONG_BRIEF;
    brief.tokens = 16;
    let invoice = Ask::new("invoice", "studio-1", "invoice-1");
    show(program, guild(SIZES, SERVICE_TIMES, speed), &[brief, invoice]).await
}

async fn show(program: &Program, deployment: Deployment, asks: &[Ask]) -> Result<(), DemoError> {
    let fleet = Fleet::start(program, deployment, 2).await?;
    println!(
        "{} agents and {} gateways are running with configuration {}",
        fleet.agents.len(),
        fleet.gateways.len(),
        fleet.config.version
    );
    let client = Client::default();
    for (i, ask) in asks.iter().enumerate() {
        let gateway = i % fleet.gateways.len();
        let asked = client.ask(fleet.callers(gateway), ask).await;
        let reply = asked.context(NoAnswerSnafu { pipeline: &ask.pipeline })?;
        let text = reply.text();
        println!("\n--- {} for {}: {}", ask.pipeline, ask.organisation, reply.status);
        println!("{}", text.trim_end());
        let id = match reply.request() {
            id if id.is_empty() => last_request(&text),
            id => id,
        };
        // Query the other gateway, to show that any gateway can explain a request.
        let other = &fleet.gateways[(gateway + 1) % fleet.gateways.len()];
        let path = format!("/v1/requests/{id}/explain");
        if let Some(explanation) = fleet.admin(other, Method::GET, &path).await {
            print_explanation(&explanation);
        }
    }
    Ok(())
}

/// Request id in the last event of a stream.
fn last_request(text: &str) -> String {
    let data = text.lines().rev().find_map(|l| l.strip_prefix("data: "));
    let data: Value = data.and_then(|d| serde_json::from_str(d).ok()).unwrap_or_default();
    data["request"].as_str().unwrap_or_default().to_owned()
}

fn print_explanation(explanation: &Value) {
    println!("explained by the other gateway, request {}:", explanation["request"]);
    for step in explanation["steps"].as_array().into_iter().flatten() {
        let what = step["what"].as_str().unwrap_or_default();
        println!("  {:>8.2} ms  {what}", step["at_ms"].as_f64().unwrap_or_default());
        for alternative in step["alternatives"].as_array().into_iter().flatten() {
            let text = |key: &str| alternative[key].as_str().unwrap_or_default().to_owned();
            println!("               {:<14} {}", text("endpoint"), text("verdict"));
        }
    }
}
