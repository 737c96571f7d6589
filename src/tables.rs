//! Text output of the command-line tool.

use crate::admin::{EndpointStatus, RequestStatus, Status};
use crate::policy::explain::Explanation;

/// Formats the status of a process.
pub(crate) fn status_table(status: &Status) -> String {
    let age = status.platform_age_s.map_or("never".to_owned(), |a| format!("{a:.1} s ago"));
    let state = if status.draining { "draining" } else { "serving" };
    format!(
        "{} {} in {}: {state}\n\
         incarnation       {}\n\
         build             {}\n\
         up                {} s\n\
         configuration     {}\n\
         platform answered {age}\n\
         peers             {}\n\
         in flight         {}\n",
        status.role,
        status.host,
        status.data_centre,
        status.incarnation,
        status.build,
        status.uptime_s,
        status.config_version,
        status.peers,
        status.in_flight
    )
}

/// Formats a table of the endpoints that a gateway uses.
pub(crate) fn endpoints_table(endpoints: &[EndpointStatus]) -> String {
    let mut table = format!(
        "{:<24} {:<10} {:>9} {:>7} {:>8} {:>6} {:>11}\n",
        "ENDPOINT", "STATE", "IN FLIGHT", "QUEUED", "RUNNING", "LIMIT", "REPORT AGE"
    );
    for e in endpoints {
        let age = e.report_age_ms.map_or("-".to_owned(), |ms| format!("{ms} ms"));
        table.push_str(&format!(
            "{:<24} {:<10} {:>9} {:>7} {:>8} {:>6} {age:>11}\n",
            e.endpoint, e.state, e.in_flight, e.queued, e.running, e.limit
        ));
    }
    table
}

/// Formats completed and refused requests, one line each.
pub(crate) fn requests_table(requests: &[RequestStatus]) -> String {
    let lines = requests.iter().map(|r| {
        format!("{:<44} {:<16} {:<16} {}\n", r.request, r.pipeline, r.organisation, r.last)
    });
    lines.collect()
}

/// Formats the steps of a request, with the endpoints considered for each routing decision.
pub(crate) fn explanation_text(explanation: &Explanation) -> String {
    let Explanation { request, pipeline, organisation, ended, steps } = explanation;
    let state = if *ended { "ended" } else { "not ended" };
    let mut text = format!("request {request} ({state}): {pipeline} for {organisation}\n");
    for step in steps {
        text.push_str(&format!("{:>10.2} ms  {}\n", step.at_ms, step.what));
        for alternative in &step.alternatives {
            let labels = alternative.labels.iter().map(|(k, v)| format!("{k}={v}"));
            let labels: Vec<_> = labels.collect();
            text.push_str(&format!(
                "{:14} {:<20} {} [{}]\n",
                "",
                alternative.endpoint,
                alternative.verdict,
                labels.join(",")
            ));
        }
    }
    text
}
