//! Names and help texts of all metrics, and helpers that record them.

use std::time::Duration;

use metrics::{counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram};

use crate::direct::caller_budget::CallerUsage;
use crate::direct::engines::load::SharedLoad;
use crate::direct::log_events::{LoadEvent, LogEvent, StreamEvent};
use crate::direct::peers::build::Build;
use crate::direct::statement::CallKind;
use crate::message::Ran;
use crate::refusal::Refusal;

/// Requests answered completely, by whether the deadline was met.
pub const COMPLETED: &str = "stackmast_requests_completed_total";
/// Requests refused, by reason and by how much had run.
pub const REFUSED: &str = "stackmast_requests_refused_total";
/// Time from a request's arrival to its complete response, in seconds.
pub const LATENCY: &str = "stackmast_request_seconds";
/// Time from sending an attempt to its dispatch to the endpoint, in seconds.
pub const STAGE_WAIT: &str = "stackmast_stage_wait_seconds";
/// Endpoint time in seconds spent on adopted results, by stage.
pub const STAGE_SECONDS: &str = "stackmast_stage_service_seconds_total";
/// Cost of adopted results by stage: seconds times the endpoint's relative cost.
pub const STAGE_COST: &str = "stackmast_stage_cost_total";
/// Attempts with an unknown outcome whose stage was run again, by stage.
pub const STAGE_WASTED: &str = "stackmast_stage_wasted_attempts_total";
/// Second and later attempts of a stage.
pub const RETRIES: &str = "stackmast_retries_total";
/// Retries currently available in the retry budget.
pub const RETRY_BUDGET: &str = "stackmast_retry_budget";
/// Replies that match no open call.
pub const STRAY_REPLIES: &str = "stackmast_stray_replies_total";
/// Results with a wrong length or digest.
pub const RESULT_MISMATCHES: &str = "stackmast_result_mismatches_total";
/// Invariant violations; always 0.
pub const INVARIANT_VIOLATIONS: &str = "stackmast_invariant_violations_total";
/// Requests in flight in a gateway, or attempts in flight in an agent.
pub const IN_FLIGHT: &str = "stackmast_in_flight";
/// Version of the configuration in force.
pub const CONFIG_VERSION: &str = "stackmast_config_version";
/// Seconds since the last response of the platform.
pub const PLATFORM_AGE: &str = "stackmast_platform_age_seconds";
/// Calls to the platform, by outcome.
pub const PLATFORM_CALLS: &str = "stackmast_platform_calls_total";
/// Configurations accepted, rejected or in conflict.
pub const CONFIG_CHANGES: &str = "stackmast_config_changes_total";
/// Bytes of documents sent to and received from peers and the platform.
pub const CONTROL_BYTES: &str = "stackmast_control_bytes_total";

/// Log lines dropped because standard output did not keep up.
pub const LINES_DROPPED: &str = "stackmast_log_lines_dropped_total";
/// Messages to other gateways dropped because the queue was full.
pub const PEER_DROPPED: &str = "stackmast_peer_messages_dropped_total";
/// Messages from other gateways that could not be decoded.
pub const PEER_UNREADABLE: &str = "stackmast_peer_messages_bad_total";
/// Other gateways that run another build.
pub const OTHER_BUILDS: &str = "stackmast_peers_of_other_builds";
/// Always 1; labelled with the version and commit of the build and its message form.
pub const BUILD_INFO: &str = "stackmast_build_info";
/// Bytes of messages between gateways, by direction and kind.
pub const PEER_BYTES: &str = "stackmast_peer_bytes_total";
/// Platform documents that could not be read, counted on each read.
pub const UNREADABLE_DOCUMENTS: &str = "stackmast_unreadable_documents_total";
/// Platform headers that are ignored in responses, by source.
pub const UNKNOWN_HEADERS: &str = "stackmast_unknown_headers_total";
/// Newest known era of the publisher's store.
pub const STORE_ERA: &str = "stackmast_store_era";
/// Version of the configuration last read from the publisher's store.
pub const PUBLISHED_VERSION: &str = "stackmast_published_version";
/// Connections of callers that were closed unread.
pub const CONNECTIONS_SHED: &str = "stackmast_connections_shed_total";
/// Open connections of callers.
pub const CALLER_CONNECTIONS: &str = "stackmast_caller_connections";
/// Bytes that connections and requests of callers hold.
pub const CALLER_BYTES: &str = "stackmast_caller_bytes";
/// Connections and requests of callers that reached a limit, by outcome.
pub const CALLERS_LIMITED: &str = "stackmast_callers_limited_total";
/// Data centres that are being evacuated.
pub const EVACUATED_DATA_CENTRES: &str = "stackmast_evacuated_data_centres";
/// Request contents refused because they crashed endpoints.
pub const POISON_REQUESTS: &str = "stackmast_poison_requests";
/// Parts of prompts refused because they crashed endpoints.
pub const POISON_PROMPT_PARTS: &str = "stackmast_poison_prompt_parts";
/// Ordered messages to endpoints that were withheld because the endpoint had since asked for none.
pub const MESSAGES_WITHHELD: &str = "stackmast_messages_withheld_total";
/// Decisions and changes of estimated state, by kind.
pub const DECISIONS: &str = "stackmast_decisions_total";
/// Places booked for refused callers.
pub const PLACES_BOOKED: &str = "stackmast_places_booked_total";
/// Places that ended, by outcome.
pub const PLACES_ENDED: &str = "stackmast_places_ended_total";
/// Places that are booked now, in the cell that changed last.
pub const PLACES: &str = "stackmast_places";
/// Streams that callers resumed, by how the software version that began them was determined.
pub const STREAMS_RESUMED: &str = "stackmast_streams_resumed_total";
/// Streams of other gateways whose origins this gateway holds.
pub const STREAM_ORIGINS_HELD: &str = "stackmast_stream_origins_held";
/// Software versions that a pool has, or had until recently, by pool.
pub const SOFTWARE_VERSIONS: &str = "stackmast_software_versions";
/// Duration of batch calls, in seconds.
pub const BATCH_SECONDS: &str = "stackmast_batch_seconds";
/// Pieces in a batch call.
pub const BATCH_PIECES: &str = "stackmast_batch_pieces";
/// Pieces sent outside their preferred data centre, by reason.
pub const PIECES_AWAY: &str = "stackmast_pieces_away_total";
/// Mean age of the fresh load reports of engines, in seconds.
pub const ENGINE_LOAD_AGE: &str = "stackmast_engine_load_age_seconds";
/// Bytes of load reports of engines that were sent to other gateways.
pub const LOAD_REPORT_BYTES: &str = "stackmast_engine_load_report_bytes_total";
/// Requests sent with the address of an engine that has parts of their prompt, by outcome.
pub const PROMPT_FETCHES: &str = "stackmast_prompt_fetches_total";

/// Requests accepted or refused after the order to stop, by place of the decision.
pub const STOP_DECIDED: &str = "stackmast_stop_decided_total";
/// Requests aborted by the end of the process, by kind.
pub const ABORTED_BY_STOP: &str = "stackmast_cut_by_stop_total";
/// Configurations sent to peers, by outcome.
pub const CONFIGS_SENT: &str = "stackmast_bulk_sent_total";
/// Time that events wait in the core's queue, in seconds.
pub const CORE_WAIT: &str = "stackmast_core_wait_seconds";
/// Time that the core takes to handle an event, in seconds.
pub const CORE_HANDLING: &str = "stackmast_core_event_seconds";

/// Registers the help text of every metric.
pub fn describe() {
    describe_counter!(COMPLETED, "Requests answered in full, by in_time");
    describe_counter!(REFUSED, "Requests refused, by reason and ran");
    describe_histogram!(LATENCY, "Seconds from arrival to the whole answer");
    describe_histogram!(STAGE_WAIT, "Seconds from sending an attempt to its hand-over");
    describe_counter!(STAGE_SECONDS, "Seconds of endpoint time of adopted results, by stage");
    describe_counter!(STAGE_COST, "Cost of adopted results, by stage");
    describe_counter!(STAGE_WASTED, "Attempts run again because of an unknown outcome, by stage");
    describe_counter!(RETRIES, "Second and further attempts");
    describe_gauge!(RETRY_BUDGET, "Retries that the budget holds");
    describe_counter!(STRAY_REPLIES, "Replies that matched no open call");
    describe_counter!(RESULT_MISMATCHES, "Results with a wrong length or digest");
    describe_counter!(INVARIANT_VIOLATIONS, "Invariants found broken");
    describe_gauge!(IN_FLIGHT, "Requests or attempts in flight");
    describe_gauge!(CONFIG_VERSION, "Version of the configuration in force");
    describe_gauge!(PLATFORM_AGE, "Seconds since the platform last answered");
    describe_counter!(PLATFORM_CALLS, "Calls to the platform, by outcome");
    describe_counter!(CONFIG_CHANGES, "Configurations accepted, rejected or in conflict");
    describe_counter!(CONTROL_BYTES, "Bytes of documents, by direction");
    describe_counter!(LINES_DROPPED, "Log lines dropped");
    describe_counter!(PEER_DROPPED, "Messages to gateways dropped");
    describe_counter!(PEER_UNREADABLE, "Messages of gateways that could not be read");
    describe_counter!(PEER_BYTES, "Bytes of messages between gateways, by direction and kind");
    describe_counter!(UNREADABLE_DOCUMENTS, "Documents of the platform that could not be read");
    describe_counter!(UNKNOWN_HEADERS, "Headers of the platform that are not read, by source");
    describe_counter!(CONNECTIONS_SHED, "Connections of callers that were closed unread");
    describe_gauge!(CALLER_CONNECTIONS, "Open connections of callers");
    describe_gauge!(CALLER_BYTES, "Bytes that connections and requests of callers hold");
    describe_counter!(CALLERS_LIMITED, "Connections and requests beyond a limit, by outcome");
    describe_gauge!(STORE_ERA, "Newest era of the publisher's store");
    describe_gauge!(PUBLISHED_VERSION, "Version of the configuration in the publisher's store");
    describe_gauge!(EVACUATED_DATA_CENTRES, "Data centres that get no new work by order");
    describe_counter!(PLACES_BOOKED, "Places booked for callers that were refused");
    describe_counter!(PLACES_ENDED, "Places of refused callers that ended, by outcome");
    describe_gauge!(PLACES, "Places of refused callers that are booked now");
    describe_gauge!(POISON_REQUESTS, "Contents refused because endpoints crashed under them");
    describe_gauge!(
        POISON_PROMPT_PARTS,
        "Prompt parts refused because endpoints crashed under them"
    );
    describe_counter!(
        MESSAGES_WITHHELD,
        "Ordered messages to endpoints that were not sent, by asked"
    );
    describe_counter!(DECISIONS, "Decisions and changes of belief, by kind");
    describe_counter!(STREAMS_RESUMED, "Streams that callers resumed, by source of their origin");
    describe_gauge!(STREAM_ORIGINS_HELD, "Streams of other gateways whose origins are held");
    describe_gauge!(SOFTWARE_VERSIONS, "Software versions of a pool, by pool");
    describe_histogram!(BATCH_SECONDS, "Seconds of calls with pieces");
    describe_histogram!(BATCH_PIECES, "Pieces in a call");
    describe_counter!(PIECES_AWAY, "Pieces sent outside their preferred data centre, by reason");
    describe_gauge!(ENGINE_LOAD_AGE, "Mean age of the load reports of engines in use, in seconds");
    describe_counter!(LOAD_REPORT_BYTES, "Bytes of load reports sent to other gateways");
    describe_counter!(
        PROMPT_FETCHES,
        "Requests whose engine was to fetch prompt parts, by outcome"
    );
    describe_counter!(
        STOP_DECIDED,
        "Requests taken or turned away while stopping, by at and taken"
    );
    describe_counter!(ABORTED_BY_STOP, "Requests cut by the end of the process, by what");
    describe_counter!(CONFIGS_SENT, "Configurations sent to peers, by outcome");
    describe_histogram!(CORE_WAIT, "Seconds that events wait for the core");
    describe_histogram!(CORE_HANDLING, "Seconds that the core takes for an event");
    describe_gauge!(OTHER_BUILDS, "Other gateways that run another build");
    describe_gauge!(BUILD_INFO, "1, by version, commit and form of messages");
    counter!(INVARIANT_VIOLATIONS).absolute(0);
    let Build { version, commit, form } = Build::own();
    let commit = commit.unwrap_or_default();
    gauge!(BUILD_INFO, "version" => version, "commit" => commit, "form" => form.to_string())
        .set(1.0);
}

/// Records a request that was answered completely.
pub fn completed(took: Duration, in_time: bool) {
    counter!(COMPLETED, "in_time" => if in_time { "true" } else { "false" }).increment(1);
    histogram!(LATENCY).record(took.as_secs_f64());
}

/// Records a refused request.
pub fn refused(refusal: &Refusal) {
    let ran = match refusal.ran {
        Ran::NotRun => "not_run",
        Ran::RanInPart => "ran_in_part",
        Ran::Unknown => "unknown",
    };
    counter!(REFUSED, "reason" => refusal.reason.as_str(), "ran" => ran).increment(1);
}

/// Records the time from sending an attempt to its dispatch.
pub fn stage_wait(time: Duration) {
    histogram!(STAGE_WAIT).record(time.as_secs_f64());
}

/// Records an adopted result of a stage. Counters are integers, so time and cost are in
/// microseconds.
pub fn stage_done(stage: &str, service: Duration, cost: f64) {
    let micros = service.as_micros() as u64;
    counter!(STAGE_SECONDS, "stage" => stage.to_owned(), "unit" => "us").increment(micros);
    let cost = (micros as f64 * cost) as u64;
    counter!(STAGE_COST, "stage" => stage.to_owned(), "unit" => "us").increment(cost);
}

/// Counts an attempt with an unknown outcome whose stage is run again.
pub fn stage_wasted(stage: &str) {
    counter!(STAGE_WASTED, "stage" => stage.to_owned()).increment(1);
}

/// Counts a second or later attempt of a stage.
pub fn retried() {
    counter!(RETRIES).increment(1);
}

/// Counts a reply that matches no open call.
pub fn stray_reply() {
    counter!(STRAY_REPLIES).increment(1);
}

/// Counts a result with a wrong length or digest.
pub fn result_mismatch() {
    counter!(RESULT_MISMATCHES).increment(1);
}

/// Records the mean age of the load reports of engines.
pub fn engine_load_age(age: Duration) {
    gauge!(ENGINE_LOAD_AGE).set(age.as_secs_f64());
}

/// Adds the bytes of load reports that are sent to a number of gateways.
pub fn load_reports_sent(reports: &[SharedLoad], receivers: usize) {
    let bytes = postcard::to_allocvec(reports).map_or(0, |bytes| bytes.len() * receivers);
    counter!(LOAD_REPORT_BYTES).increment(bytes as u64);
}

/// Counts a request whose engine was to fetch prompt parts; `started` if its first event arrived,
/// `not_started` if the call ended without one.
pub fn prompt_fetched(outcome: &'static str) {
    counter!(PROMPT_FETCHES, "outcome" => outcome).increment(1);
}

/// Adds document bytes in a direction, `in` or `out`.
pub fn control_bytes(direction: &'static str, bytes: usize) {
    counter!(CONTROL_BYTES, "direction" => direction).increment(bytes as u64);
}

/// Adds the bytes of a message from or to another gateway.
pub fn peer_bytes(direction: &'static str, kind: &'static str, bytes: usize) {
    counter!(PEER_BYTES, "direction" => direction, "kind" => kind).increment(bytes as u64);
}

/// Sets the number of retries available in the retry budget.
pub fn retry_budget(retries: f64) {
    gauge!(RETRY_BUDGET).set(retries);
}

/// Sets the number of requests or attempts in flight.
pub fn in_flight(count: usize) {
    gauge!(IN_FLIGHT).set(count as f64);
}

/// Counts a message that was withheld because its endpoint asked for none.
pub fn withheld(asked: CallKind) {
    counter!(MESSAGES_WITHHELD, "asked" => asked.as_str()).increment(1);
}

/// Sets the number of other gateways that run another build.
pub fn peers_of_other_builds(peers: usize) {
    gauge!(OTHER_BUILDS).set(peers as f64);
}

/// Counts a connection of a caller that was closed unread.
pub fn connection_shed() {
    counter!(CONNECTIONS_SHED).increment(1);
}

/// Records what callers make the process hold, and what reached a limit since the last time.
pub fn callers(usage: &CallerUsage) {
    gauge!(CALLER_CONNECTIONS).set(usage.connections as f64);
    gauge!(CALLER_BYTES).set(usage.bytes as f64);
    counter!(CALLERS_LIMITED, "outcome" => "gave_way").increment(usage.gave_way as u64);
    counter!(CALLERS_LIMITED, "outcome" => "refused").increment(usage.refused as u64);
}

/// Sets the numbers of request contents and parts of prompts refused because they crashed endpoints.
pub fn poison(contents: usize, prompt_parts: usize) {
    gauge!(POISON_REQUESTS).set(contents as f64);
    gauge!(POISON_PROMPT_PARTS).set(prompt_parts as f64);
}

/// Records the queueing delay and handling time of an event.
pub fn core_handled(waited: Duration, took: Duration) {
    histogram!(CORE_WAIT).record(waited.as_secs_f64());
    histogram!(CORE_HANDLING).record(took.as_secs_f64());
}

/// Records a newer era of the publisher's store.
pub fn store_era(era: u64) {
    gauge!(STORE_ERA).set(era as f64);
}

/// Records of how many streams of other gateways this gateway holds the origin.
pub fn stream_origins_held(streams: usize) {
    gauge!(STREAM_ORIGINS_HELD).set(streams as f64);
}

/// Records the version of a configuration read from the publisher's store.
pub fn published_version(version: u64) {
    gauge!(PUBLISHED_VERSION).set(version as f64);
}

/// Counts a decision or change of estimated state, and records its measurements.
pub fn log_event(event: &LogEvent) {
    counter!(DECISIONS, "kind" => event.kind()).increment(1);
    match event {
        LogEvent::Ended { took_ms, .. } => histogram!(LATENCY).record(*took_ms as f64 / 1_000.0),
        LogEvent::BatchEnded { took_ms, .. } => {
            histogram!(BATCH_SECONDS).record(*took_ms as f64 / 1_000.0);
        }
        LogEvent::Load(LoadEvent::PlaceBooked { booked, .. }) => {
            counter!(PLACES_BOOKED).increment(1);
            gauge!(PLACES).set(*booked as f64);
        }
        LogEvent::Load(LoadEvent::PlaceEnded { outcome, booked, .. }) => {
            counter!(PLACES_ENDED, "outcome" => *outcome).increment(1);
            gauge!(PLACES).set(*booked as f64);
        }
        LogEvent::Stream(StreamEvent::StreamOrigin { source, .. }) => {
            counter!(STREAMS_RESUMED, "source" => *source).increment(1);
        }
        LogEvent::Stream(StreamEvent::SoftwareVersions { pool, versions }) => {
            gauge!(SOFTWARE_VERSIONS, "pool" => pool.to_string()).set(versions.len() as f64);
        }
        LogEvent::BatchSent { pieces, away, .. } => {
            histogram!(BATCH_PIECES).record(pieces.len() as f64);
            for (reason, count) in away {
                counter!(PIECES_AWAY, "reason" => *reason).increment(*count as u64);
            }
        }
        LogEvent::StopDecided { at, taken, .. } => {
            let taken = if *taken { "true" } else { "false" };
            counter!(STOP_DECIDED, "at" => *at, "taken" => taken).increment(1);
        }
        LogEvent::Stopped { unanswered, streams, .. } => {
            counter!(ABORTED_BY_STOP, "what" => "unanswered").increment(*unanswered as u64);
            counter!(ABORTED_BY_STOP, "what" => "stream").increment(*streams as u64);
        }
        LogEvent::Evacuation { stands: true, .. } => gauge!(EVACUATED_DATA_CENTRES).increment(1.0),
        LogEvent::Evacuation { stands: false, .. } => gauge!(EVACUATED_DATA_CENTRES).decrement(1.0),
        LogEvent::Configured { version, .. } => gauge!(CONFIG_VERSION).set(*version as f64),
        _ => {}
    }
}
